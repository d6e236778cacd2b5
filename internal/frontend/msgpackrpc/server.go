// Package msgpackrpc is the front end for clients that speak MessagePack-RPC over TCP. It converts messages into requests
// to the core, and the core's answers into messages. It makes no routing decisions.
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

// Core processes the requests that the front end submits. Post, NewID, EarliestArrival, Snapshot, DrainStage and
// CountRefusal may be called from any goroutine, the other methods only on the core's goroutine.
type Core interface {
	Post(f func())
	NewID() balancer.RequestID
	EarliestArrival() time.Duration
	Snapshot() *core.Snapshot
	DrainStage() core.DrainStage
	CountRefusal(reason core.RefusalReason)

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
	budget  *netio.Budget             // bounds the bytes of unsent answers over all connections
}

// Listen opens a listener on addr, or uses the inherited listener if its descriptor is above 0. The budget bounds the
// bytes of answers that wait for slow clients, over all connections.
func Listen(addr string, inherited int, c Core, limits config.Limits, classes []balancer.Class, budget *netio.Budget) (*Server, error) {
	s := &Server{core: c, limits: limits, classes: make(map[string]balancer.Class, len(classes)), budget: budget}
	for _, class := range classes {
		s.classes[class.Name] = class
	}
	newHandler := func(transport *netio.Conn) netio.Handler {
		return &conn{server: s, transport: transport, openRequests: map[uint64]balancer.RequestID{}}
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

// idleTimeouts returns how long a connection without pending answers may stay open: while it is idle, and while a message
// is incomplete. A draining router still waits for incomplete messages, but gives up on them in stage core.CloseAll,
// before it counts as empty.
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
