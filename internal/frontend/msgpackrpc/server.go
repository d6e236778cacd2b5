// Package msgpackrpc is the front end for clients that speak MessagePack-RPC over TCP. It turns messages into requests of
// the core, and the core's answers into messages. It decides nothing.
package msgpackrpc

import (
	"time"

	"hillknot/balancer"
	"hillknot/internal/config"
	"hillknot/internal/core"
	"hillknot/internal/logging"
	"hillknot/internal/netio"
)

var log = logging.For("msgpackrpc")

// Core is what the front end submits requests to. Post, NewID, EarliestArrival, Snapshot and DrainStage may be called
// anywhere; the other methods are called on the core's goroutine.
type Core interface {
	Post(f func())
	NewID() balancer.RequestID
	EarliestArrival() time.Duration
	Snapshot() *core.Snapshot
	DrainStage() core.DrainStage

	Submit(id balancer.RequestID, q core.Request)
	CancelRequest(id balancer.RequestID)
	AbortRequest(id balancer.RequestID)
	CountAnswer(class string, v core.Verdict)
}

// Server serves clients on one address.
type Server struct {
	*netio.Server
	core    Core
	limits  config.Limits
	classes map[string]balancer.Class // by method name
	budget  *netio.Budget             // bounds the answers that wait for slow clients, over all connections
}

// Listen opens the listener, or takes the one that the process inherited under a descriptor above 0. The budget
// bounds the answers that wait for slow clients, over all connections.
func Listen(addr string, inherited int, c Core, limits config.Limits, classes []balancer.Class, budget *netio.Budget) (*Server, error) {
	s := &Server{core: c, limits: limits, classes: make(map[string]balancer.Class, len(classes)), budget: budget}
	for _, class := range classes {
		s.classes[class.Name] = class
	}
	newHandler := func(transport *netio.Conn) netio.Handler {
		return &conn{server: s, transport: transport, open: map[uint64]balancer.RequestID{}}
	}
	var err error
	if inherited > 0 {
		s.Server, err = netio.ListenInherited(inherited, limits.ClientConns, limits.Client, budget, newHandler)
	} else {
		s.Server, err = netio.Listen(addr, limits.ClientConns, limits.Client, budget, newHandler)
	}
	if err != nil {
		return nil, err
	}
	s.IdleTimeouts = s.idleTimeouts
	return s, nil
}

// idleTimeouts returns how long a client may hold a connection that awaits no answer: idle, and in the middle of a
// message. A router that drains waits for a request that is being written, but not up to the moment at which it counts
// as empty.
func (s *Server) idleTimeouts() (idle, partial time.Duration) {
	switch s.core.DrainStage() {
	case core.CloseIdle:
		return s.limits.DrainIdleTime, s.limits.Client.MessageTimeout
	case core.RejectNew:
		return 0, s.limits.Client.MessageTimeout
	case core.CloseAll:
		return 0, 0
	}
	return s.limits.Client.IdleTimeout, s.limits.Client.MessageTimeout
}
