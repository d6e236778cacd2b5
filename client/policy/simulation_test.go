package policy

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// simulation simulates routers and the network for a policy, in virtual time. It checks each action: calls are sent
// only where they may be sent, retries are marked, and each call ends once and in time.
type simulation struct {
	t        rapid.TB
	policy   *Policy
	settings Settings
	now      time.Duration
	events   []simEvent
	routers  []*simRouter
	conns    map[*Conn]*simConn
	dialed   []*Conn // in the order of the dials

	sent       map[*Call]int // number of attempts
	mayHaveRun map[*Call]int // number of attempts for which nothing proves that they did not run
	outcomes   map[*Call]Outcome
	endedAt    map[*Call]time.Duration
	trace      []string // formatted actions
}

// simEvent is an event that happens at a given time.
type simEvent struct {
	at time.Duration
	do func()
}

// simRouter is a router of the simulation.
type simRouter struct {
	down         bool // refuses connections
	silent       bool // accepts connections and answers nothing
	draining     bool // answers health checks by reporting that it accepts no clients
	respond      func() simResponse
	received     []time.Duration // times of received calls
	accepted     []time.Duration // times of accepted connections
	rejectsUntil time.Duration   // end of its own Retry-After
}

// simResponse is how a router answers a call.
type simResponse struct {
	after      time.Duration
	result     Result
	retryAfter time.Duration
}

// simConn is a connection of the simulation.
type simConn struct {
	router   *simRouter
	up       bool
	inFlight []*Call
}

func newSimulation(t rapid.TB, routers int, change func(*Settings)) *simulation {
	t.Helper()
	s := &simulation{
		t:          t,
		settings:   Defaults(),
		now:        time.Second,
		conns:      map[*Conn]*simConn{},
		sent:       map[*Call]int{},
		mayHaveRun: map[*Call]int{},
		outcomes:   map[*Call]Outcome{},
		endedAt:    map[*Call]time.Duration{},
	}
	s.settings.Seed = 7
	if change != nil {
		change(&s.settings)
	}
	if err := s.settings.Check(); err != nil {
		t.Fatal(err)
	}
	for range routers {
		s.routers = append(s.routers, &simRouter{respond: serveAfter(10 * ms)})
	}
	s.policy = New(s.settings, routers, 2)
	return s
}

func always(response simResponse) func() simResponse { return func() simResponse { return response } }

func serveAfter(after time.Duration) func() simResponse {
	return always(simResponse{after: after, result: ResultServed})
}

func reject(retryAfter time.Duration) func() simResponse {
	return always(simResponse{after: ms, result: ResultRejected, retryAfter: retryAfter})
}

func fail() func() simResponse { return always(simResponse{after: ms, result: ResultFailed}) }

func (s *simulation) setResponses(respond func() simResponse) {
	for _, r := range s.routers {
		r.respond = respond
	}
}

// schedule adds an event that happens after a time.
func (s *simulation) schedule(after time.Duration, do func()) {
	s.events = append(s.events, simEvent{s.now + after, do})
}

// start starts a call and carries out the resulting actions.
func (s *simulation) start(idempotent bool, limit time.Duration) *Call {
	call := s.policy.StartCall(s.now, CallSpec{Idempotent: idempotent, Deadline: s.now + limit})
	s.runActions()
	return call
}

// startEvery starts idempotent calls at regular intervals for a time, and returns them.
func (s *simulation) startEvery(interval, d time.Duration) (calls []*Call) {
	for until := s.now + d; s.now < until; s.run(interval) {
		calls = append(calls, s.start(true, 3*time.Second))
	}
	return calls
}

// run advances the virtual time by d, and handles the events and timers that are due.
func (s *simulation) run(d time.Duration) {
	for until := s.now + d; ; {
		next := s.nextEvent()
		tick, timerSet := s.policy.NextTick()
		switch {
		case next >= 0 && s.events[next].at <= until && (!timerSet || s.events[next].at <= tick):
			event := s.events[next]
			s.events = slices.Delete(s.events, next, next+1)
			s.now = max(s.now, event.at)
			event.do()
		case timerSet && tick <= until:
			s.now = max(s.now, tick)
			s.policy.Tick(s.now)
		default:
			s.now = until
			return
		}
		s.runActions()
	}
}

// nextEvent returns the index of the earliest event; -1 if there is none.
func (s *simulation) nextEvent() int {
	next := -1
	for i, event := range s.events {
		if next < 0 || event.at < s.events[next].at {
			next = i
		}
	}
	return next
}

func (s *simulation) runActions() {
	for actions := slices.Clone(s.policy.Actions()); len(actions) > 0; actions = slices.Clone(s.policy.Actions()) {
		for _, a := range actions {
			s.trace = append(s.trace, fmt.Sprint(s.now, a.Kind, a.Router, a.Retry, a.Outcome))
			s.runAction(a)
		}
	}
}

func (s *simulation) runAction(action Action) {
	conn := s.conns[action.Conn]
	switch action.Kind {
	case ActionDial:
		s.dial(action)
	case ActionCheckHealth:
		s.schedule(ms, func() {
			if conn.up && !conn.router.silent {
				s.policy.HealthReceived(s.now, action.Conn, !conn.router.draining)
			}
		})
	case ActionSend:
		s.send(action, conn)
	case ActionCancel:
		conn.inFlight = slices.DeleteFunc(conn.inFlight, func(call *Call) bool { return call == action.Call })
	case ActionClose:
		s.breakConn(action.Conn, callsLost)
	case ActionFinish:
		s.finish(action)
	}
}

func (s *simulation) dial(action Action) {
	conn := &simConn{router: s.routers[action.Router]}
	s.conns[action.Conn] = conn
	s.dialed = append(s.dialed, action.Conn)
	s.schedule(ms, func() {
		if conn.up = !conn.router.down; conn.up {
			conn.router.accepted = append(conn.router.accepted, s.now)
			s.policy.Connected(s.now, action.Conn)
		} else {
			s.policy.DialFailed(s.now, action.Conn)
		}
	})
}

func (s *simulation) finish(action Action) {
	if _, twice := s.outcomes[action.Call]; twice {
		s.t.Fatalf("a call ended a second time, as %+v", action.Outcome)
	}
	if s.now > action.Call.deadline {
		s.t.Fatalf("a call ended %v after its deadline", s.now-action.Call.deadline)
	}
	s.outcomes[action.Call], s.endedAt[action.Call] = action.Outcome, s.now
}

func (s *simulation) send(action Action, conn *simConn) {
	call := action.Call
	limit, ok := s.policy.PrepareWrite(s.now, call, 100)
	if !ok {
		return
	}
	s.checkSend(action, conn, limit)
	s.sent[call]++
	s.mayHaveRun[call]++
	conn.inFlight = append(conn.inFlight, call)
	conn.router.received = append(conn.router.received, s.now)
	if conn.router.silent {
		return
	}
	response := conn.router.respond()
	s.schedule(response.after, func() { s.deliver(call, conn, response) })
}

// checkSend checks that a call may be sent on the given connection with the given limit.
func (s *simulation) checkSend(action Action, conn *simConn, limit time.Duration) {
	s.t.Helper()
	call := action.Call
	_, ended := s.outcomes[call]
	switch remaining := call.deadline - s.now; {
	case !conn.up || len(conn.inFlight) >= s.settings.OpenPerConn:
		s.t.Fatalf("a call is sent on a connection with up=%v and %d calls in flight", conn.up, len(conn.inFlight))
	case ended || limit > remaining || limit <= 0:
		s.t.Fatalf("a call is sent with ended=%v, limit %v and %v left to its deadline", ended, limit, remaining)
	case conn.router.rejectsUntil > s.now:
		s.t.Fatalf("a call is sent %v before the end of a Retry-After", conn.router.rejectsUntil-s.now)
	case !call.idempotent && s.mayHaveRun[call] > 0:
		s.t.Fatalf("a call that is not idempotent is sent again after it may have run")
	case action.Retry != (s.sent[call] > 0):
		s.t.Fatalf("attempt %d is marked as retry: %v", s.sent[call]+1, action.Retry)
	}
}

// deliver reports a router's response, unless its call has been canceled or its connection lost.
func (s *simulation) deliver(call *Call, conn *simConn, response simResponse) {
	i := slices.Index(conn.inFlight, call)
	if i < 0 || !conn.up || conn.router.silent {
		return
	}
	conn.inFlight = slices.Delete(conn.inFlight, i, i+1)
	if response.result == ResultRejected || response.result == ResultInvalid {
		s.mayHaveRun[call]--
	}
	if response.result == ResultRejected {
		conn.router.rejectsUntil = max(conn.router.rejectsUntil, s.now+response.retryAfter)
	}
	s.policy.ResponseReceived(s.now, call, response.result, response.retryAfter)
}

// breakage says whether the calls in flight on a broken connection may have run.
type breakage int

const (
	callsLost   breakage = iota // they may have run
	callsUnsent                 // certainly no byte of them was written
)

// breakConn ends a connection and reports the calls in flight on it.
func (s *simulation) breakConn(conn *Conn, kind breakage) {
	sim := s.conns[conn]
	sim.up = false
	if kind == callsUnsent {
		for _, call := range sim.inFlight {
			s.sent[call]--
			s.mayHaveRun[call]--
		}
		s.policy.ConnectionClosed(s.now, conn, sim.inFlight, nil)
	} else {
		s.policy.ConnectionClosed(s.now, conn, nil, sim.inFlight)
	}
	sim.inFlight = nil
}

// breakAll ends all connections to a router.
func (s *simulation) breakAll(r *simRouter, kind breakage) {
	for _, conn := range s.dialed {
		if sim := s.conns[conn]; sim.router == r && sim.up {
			s.breakConn(conn, kind)
			s.runActions()
		}
	}
}

// share returns the share of calls that ended with the given verdict.
func (s *simulation) share(calls []*Call, verdict Verdict) float64 {
	n := 0
	for _, call := range calls {
		if outcome, ended := s.outcomes[call]; ended && outcome.Verdict == verdict {
			n++
		}
	}
	return float64(n) / float64(len(calls))
}
