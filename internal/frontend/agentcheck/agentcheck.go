// Package agentcheck is the front end for load balancers that use HAProxy's agent check: it answers every connection with
// one line that says whether the router takes clients.
package agentcheck

import (
	"hillknot/internal/config"
	"hillknot/internal/core"
	"hillknot/internal/netio"
)

// Core tells the state of the router. Any goroutine may call it.
type Core interface{ Snapshot() *core.Snapshot }

// Server answers agent checks on one address.
type Server struct{ *netio.Server }

// Words of HAProxy's agent check.
const (
	wordReady = "ready"
	wordDrain = "drain"
	wordDown  = "down"
)

// Listen opens the listener. Its connections have places of their own: clients can't take them.
func Listen(addr string, c Core, limits config.Limits) (*Server, error) {
	budget := netio.NewBudget(limits.AgentCheckConns * limits.AgentCheck.MaxPendingBytes)
	s, err := netio.Listen(addr, limits.AgentCheckConns, limits.AgentCheck, budget, func(nc *netio.Conn) netio.Handler {
		return &conn{core: c, nc: nc}
	})
	if err != nil {
		return nil, err
	}
	return &Server{s}, nil
}

// conn is a load balancer's connection.
type conn struct {
	core Core
	nc   *netio.Conn
}

var _ netio.OpenHandler = (*conn)(nil)

// Opened implements netio.OpenHandler.
func (c *conn) Opened() {
	c.nc.SendAndClose([]byte(word(c.core.Snapshot().Phase) + "\n"))
}

// Consume implements netio.Handler. HAProxy may send a line first (agent-send); it changes nothing.
func (c *conn) Consume(buf []byte) (used, want int, err error) { return len(buf), 0, nil }

// Closed implements netio.Handler.
func (c *conn) Closed() {}

func word(p core.Phase) string {
	switch p {
	case core.Serving:
		return wordReady
	case core.Standby, core.ShuttingDown:
		return wordDrain
	}
	return wordDown
}
