package client

import (
	"context"
	"errors"
	"io"
	"sync"

	"hillknot/internal/clock"
	"hillknot/internal/rpc"
)

// ErrNotReady is the error that Health returns for a router that answered that it accepts no clients now.
var ErrNotReady = errors.New("takes no clients now")

// Health asks each router whether it accepts clients, on a connection of its own. It returns one error for each router,
// in the order of Config.Routers: nil if it accepts clients, ErrNotReady if it answered that it does not, and another
// error if it can't be reached or does not respond within Settings.DialWait plus Settings.CheckWait. Health neither
// uses nor changes what the client knows about the routers, and may be called after Close.
func (c *Client) Health(ctx context.Context) []error {
	ctx, cancel := context.WithTimeout(ctx, c.settings.DialWait+c.settings.CheckWait)
	defer cancel()
	results := make([]error, len(c.config.Routers))
	var checks sync.WaitGroup
	for i, address := range c.config.Routers {
		checks.Go(func() { results[i] = c.checkRouter(ctx, address) })
	}
	checks.Wait()
	return results
}

// checkRouter sends one health check. When ctx ends, the connection's deadline is set to the past, so that reading
// from it fails.
func (c *Client) checkRouter(ctx context.Context, address string) error {
	netConn, err := c.config.Dial(ctx, address)
	if err != nil {
		return err
	}
	defer netConn.Close()
	stop := context.AfterFunc(ctx, func() { _ = netConn.SetDeadline(clock.Past()) })
	defer stop()

	const id = 1
	if _, err := netConn.Write(rpc.AppendHealthRequest(nil, id)); err != nil {
		return err
	}
	header, err := readHeader(ctx, netConn)
	switch {
	case err != nil:
		return err
	case header.ID != id || header.Kind != rpc.ResponseHealth:
		return rpc.ErrMalformed
	case !header.Ready:
		return ErrNotReady
	}
	return nil
}

// readHeader reads a response up to its body.
func readHeader(ctx context.Context, from io.Reader) (rpc.ResponseHeader, error) {
	buf := make([]byte, 0, maxHeaderBytes)
	for len(buf) < cap(buf) {
		n, readErr := from.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		header, progress, err := rpc.ParseResponseHeader(buf, maxHeaderBytes, 0)
		switch {
		case err != nil:
			return rpc.ResponseHeader{}, err
		case progress.Consumed > 0:
			return header, nil
		case readErr != nil && ctx.Err() != nil:
			return rpc.ResponseHeader{}, context.Cause(ctx)
		case readErr != nil:
			return rpc.ResponseHeader{}, readErr
		}
	}
	return rpc.ResponseHeader{}, rpc.ErrMalformed
}
