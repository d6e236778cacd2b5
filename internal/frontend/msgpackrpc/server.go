// Package msgpackrpc is the front end for clients that speak MessagePack-RPC over TCP. It converts messages into requests
// to the core, and the core's answers into messages. It makes no routing decisions.
package msgpackrpc

import (
	"sync/atomic"
	"time"

	"hillknot/balancer"
	"hillknot/internal/config"
	"hillknot/internal/core"
	"hillknot/internal/logging"
	"hillknot/internal/netio"
)

var log = logging.For("msgpackrpc")

// Core processes the requests that the front end submits. Submit, CancelRequest and AbortRequest may be called only on the
// core's goroutine, the other methods from any goroutine.
type Core interface {
	Post(f func())
	NewID() balancer.RequestID
	EarliestArrival() time.Duration
	Snapshot() *core.Snapshot
	DrainStage() core.DrainStage
	CountRefusal(reason core.RefusalReason)
	CountAnswer(class string, v core.Verdict)

	Submit(id balancer.RequestID, q core.Request)
	CancelRequest(id balancer.RequestID)
	AbortRequest(id balancer.RequestID)
}

// Server serves clients on one address.
type Server struct {
	*netio.Server
	core      Core
	limits    config.Limits
	classes   map[string]balancer.Class // by method name
	admission serverAdmission
	isClosing atomic.Bool // Shutdown was called
}

// Listen opens a listener on addr, or uses the inherited listener if its descriptor is above 0. The budget bounds the
// bytes of requests and of answers that wait for slow clients, over all connections.
func Listen(addr string, inherited int, c Core, limits config.Limits, classes []balancer.Class, budget *netio.Budget) (*Server, error) {
	s := &Server{core: c, limits: limits, classes: make(map[string]balancer.Class, len(classes)),
		admission: serverAdmission{openRequests: int64(limits.OpenRequests), budget: budget}}
	for _, class := range classes {
		s.classes[class.Name] = class
	}
	newHandler := func(transport *netio.Conn) netio.Handler {
		return s.newConn(transport)
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

// Shutdown is netio.Server.Shutdown. Requests that arrive meanwhile are answered, but no more of a client than it may have open:
// one that sends without pause would take the time in which the requests of the others are to be read.
func (s *Server) Shutdown(deadline time.Duration) {
	s.isClosing.Store(true)
	s.Server.Shutdown(deadline)
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
