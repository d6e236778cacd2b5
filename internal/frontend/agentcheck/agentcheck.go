// Package agentcheck tells load balancers how the router is, as the line that HAProxy's agent check reads.
package agentcheck

import (
	"hillknot/internal/config"
	"hillknot/internal/core"
	"hillknot/internal/netio"
)

// Core is what is asked.
type Core interface{ Snapshot() *core.Snapshot }

// Front answers checks on one address.
type Front struct{ *netio.Server }

// The words of HAProxy's agent check.
const (
	ready = "ready"
	drain = "drain"
	down  = "down"
)

func word(p core.Phase) string {
	switch p {
	case core.Standby, core.ShuttingDown:
		return drain
	case core.Serving:
		return ready
	}
	return down
}

// Listen opens the listener: every connection is answered with one line, as HAProxy's agent-check wants it.
func Listen(addr string, c Core, lim config.Limits) (*Front, error) {
	s, err := netio.Listen(addr, lim.CheckConns, lim.Check, netio.NewBudget(lim.CheckConns*lim.Check.Pending), func(nc *netio.Conn) netio.Handler {
		return &agent{core: c, nc: nc}
	})
	if err != nil {
		return nil, err
	}
	return &Front{s}, nil
}

type agent struct {
	core Core
	nc   *netio.Conn
}

var _ netio.OpenHandler = (*agent)(nil)

// Opened implements netio.OpenHandler.
func (a *agent) Opened() {
	a.nc.SendAndClose([]byte(word(a.core.Snapshot().Phase) + "\n"))
}

// Consume implements netio.Handler: what an agent check may send first is of no matter.
func (a *agent) Consume(buf []byte) (used, want int, err error) { return len(buf), 0, nil }

// Closed implements netio.Handler.
func (a *agent) Closed() {}
