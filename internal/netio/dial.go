package netio

import (
	"fmt"
	"time"

	"github.com/cloudwego/netpoll"

	"hillknot/internal/config"
)

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
	c.open()
	c.handler = newHandler(c)
	if err := transport.AddCloseCallback(c.transportClosed); err != nil {
		c.Close()
		return nil, fmt.Errorf("dial: %w", err)
	}
	if err := transport.SetOnRequest(c.read); err != nil {
		c.Close()
		return nil, fmt.Errorf("dial: %w", err)
	}
	if !transport.IsActive() { // closed before the callbacks were set: netpoll leaves the cleanup to the caller
		c.Close()
	}
	return c, nil
}
