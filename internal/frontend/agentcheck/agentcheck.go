// Package agentcheck is the front end for load balancers that use HAProxy's agent check. It answers every connection with
// one line that reports whether the router accepts clients.
package agentcheck

import (
	"hillknot/internal/config"
	"hillknot/internal/core"
	"hillknot/internal/netio"
)

// Core reports the state of the router. Snapshot may be called from any goroutine.
type Core interface{ Snapshot() *core.Snapshot }

// Server answers agent checks on one address.
type Server struct{ *netio.Server }

// Answers of HAProxy's agent check protocol.
const (
	wordReady = "ready"
	wordDrain = "drain"
	wordDown  = "down"
)

// Listen opens the listener. Its connections have a limit of their own, so that clients can't use it up.
func Listen(addr string, c Core, limits config.Limits) (*Server, error) {
	budget := netio.NewBudget(limits.AgentCheckConns * limits.AgentCheck.MaxPendingBytes)
	s, err := netio.Listen(addr, limits.AgentCheckConns, limits.AgentCheck, budget, func(transport *netio.Conn) netio.Handler {
		return &conn{core: c, transport: transport}
	})
	if err != nil {
		return nil, err
	}
	return &Server{s}, nil
}

// conn is a load balancer's connection.
type conn struct {
	core      Core
	transport *netio.Conn
}

var _ netio.OpenHandler = (*conn)(nil)

// Opened implements netio.OpenHandler. It sends the state of the router and closes the connection.
func (c *conn) Opened() {
	c.transport.SendAndClose([]byte(stateWord(c.core.Snapshot().Phase) + "\n"))
}

// Consume implements netio.Handler. It ignores all input, as HAProxy may send a line first (agent-send).
func (c *conn) Consume(buf []byte) (used, needed int, err error) { return len(buf), 0, nil }

// Closed implements netio.Handler.
func (c *conn) Closed() {}

// stateWord returns the word that reports a phase of the router.
func stateWord(phase core.Phase) string {
	switch phase {
	case core.Serving:
		return wordReady
	case core.Standby, core.ShuttingDown:
		return wordDrain
	}
	return wordDown
}
