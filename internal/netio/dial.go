package netio

import (
	"errors"
	"fmt"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"hillknot/internal/config"
)

// ErrUnsolicitedInput is returned by Dial when the peer sends before anything was sent to it, which no protocol of this package's
// users allows.
var ErrUnsolicitedInput = errors.New("unsolicited input")

// Dial connects to an address with a port, or to the path of a Unix socket, and passes input to the handler that
// newHandler returns. The caller closes the connection.
func Dial(
	addr string, timeout time.Duration, limits config.ConnLimits, budget *Budget, newHandler func(*Conn) Handler,
) (*Conn, error) {
	transport, err := netpoll.NewDialer().DialConnection(network(addr), addr, timeout)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	c := newConn(transport, limits, budget)
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
	c.dialed = true
	if err := transport.SetOnRequest(c.read); err != nil {
		c.Close()
		return nil, fmt.Errorf("dial: %w", err)
	}
	if !transport.IsActive() { // closed before the callbacks were set: netpoll leaves the cleanup to the caller
		c.Close()
	}
	return c, nil
}
