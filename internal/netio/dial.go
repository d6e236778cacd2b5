package netio

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"hillknot/internal/config"
)

// ErrUnsolicitedInput is returned by Dial when the peer sends before anything was sent to it, which no protocol of this package's
// users allows.
var ErrUnsolicitedInput = errors.New("unsolicited input")

// Dial is DialContext with a timeout for the opening of the connection.
func Dial(
	addr string, timeout time.Duration, limits config.ConnLimits, budget *Budget, newHandler func(*Conn) Handler,
) (*Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return DialContext(ctx, addr, limits, budget, newHandler)
}

// DialContext connects to an address with a port, or to the path of a Unix socket, and passes input to the handler that
// newHandler returns. The caller closes the connection. The context bounds the opening of the connection only.
func DialContext(
	ctx context.Context, addr string, limits config.ConnLimits, budget *Budget, newHandler func(*Conn) Handler,
) (*Conn, error) {
	transport, err := dialTransport(ctx, addr)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	c := newConn(transport, limits, budget)
	c.origin.remote = transport.RemoteAddr()
	if fd, ok := c.socket(); ok && limits.ReceiveBuffer > 0 {
		_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, limits.ReceiveBuffer) // the default size serves too
	}
	c.open()
	c.handler = newHandler(c)
	if err := transport.AddCloseCallback(c.transportClosed); err != nil {
		c.Close()
		return nil, fmt.Errorf("dial: %w", err)
	}
	if transport.Reader().Len() > 0 { // netpoll reads without a limit until the callback is set
		c.Close()
		return nil, fmt.Errorf("dial: %w", ErrUnsolicitedInput)
	}
	c.origin.dialed = true
	if err := transport.SetOnRequest(c.read); err != nil {
		c.Close()
		return nil, fmt.Errorf("dial: %w", err)
	}
	if !transport.IsActive() { // closed before the callbacks were set: netpoll leaves the cleanup to the caller
		c.Close()
	}
	return c, nil
}

// dialTransport opens a connection. Netpoll's own dialer takes a timeout, but can't be cancelled.
func dialTransport(ctx context.Context, addr string) (netpoll.Connection, error) {
	if network(addr) == "unix" {
		return netpoll.NewDialer().DialConnection("unix", addr, 0) // never waits
	}
	candidates, err := resolve(ctx, addr)
	if err != nil {
		return nil, err
	}
	var firstErr error // most relevant, as the addresses are in order of preference
	for _, candidate := range candidates {
		conn, err := netpoll.DialTCP(ctx, "tcp", nil, &netpoll.TCPAddr{TCPAddr: candidate})
		if err == nil {
			return conn, nil
		}
		if firstErr == nil {
			firstErr = err
		}
	}
	return nil, firstErr
}

// resolve returns the TCP addresses, at least one, that an address with a port stands for.
func resolve(ctx context.Context, addr string) ([]net.TCPAddr, error) {
	host, service, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, err
	}
	port, err := net.DefaultResolver.LookupPort(ctx, "tcp", service)
	if err != nil {
		return nil, err
	}
	if host == "" {
		return []net.TCPAddr{{Port: port}}, nil
	}
	hosts, err := net.DefaultResolver.LookupIPAddr(ctx, host)
	if err != nil {
		return nil, err
	}
	if len(hosts) == 0 {
		return nil, &net.DNSError{Err: "no such host", Name: host, IsNotFound: true}
	}
	var addresses []net.TCPAddr
	for _, h := range hosts {
		addresses = append(addresses, net.TCPAddr{IP: h.IP, Port: port, Zone: h.Zone})
	}
	return addresses, nil
}
