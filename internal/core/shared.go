package core

import (
	"container/heap"
	"time"

	"hillknot/balancer"
	"hillknot/internal/cluster/state"
)

// Talk sets up what a router shares with others that it may talk to.
type Talk struct {
	State   state.Settings
	Cold    state.Terms // of each page cache that started lately; a rate of 0: not shared
	Retries state.Terms // of attempts that follow one that may have run; a rate of 0: not shared
}

// Peers are the others, as the core needs them. No method may block.
type Peers interface {
	Send(letters []state.Letter)
	Know(all []state.Message)             // what one who has heard nothing is told
	Lost() uint64                         // letters that were dropped, as too many waited
	Alive() (others []string, owners int) // names in order; routers with a part of their own
}

// Shared is what this router shares with others, as the module asks for it. It belongs to the core's goroutine.
type Shared struct {
	talk  Talk
	state *state.State
	core  *Core
	peers Peers
	last  *FleetFigures
}

const (
	retries = "retries"
	cold    = "cold " // and the id of a page cache
)

// NewShared returns what a router shares that has just started. It goes into the settings of the module, as Together,
// before the core is made.
func NewShared(talk Talk) (*Shared, error) {
	state, err := state.New(talk.State)
	if err != nil {
		return nil, err
	}
	return &Shared{talk: talk, state: state}, nil
}

// Share begins to share. It is called once, on the core's goroutine, as soon as no process before this one spends any
// more.
func (c *Core) Share(s *Shared, p Peers) {
	c.shared, s.core, s.peers = s, c, p
	if s.talk.Retries.Rate > 0 {
		s.state.Open(c.now, retries, s.talk.Retries, 0)
	}
	for _, m := range c.members {
		s.listed(m)
	}
	c.beat()
}

// Hear takes what others said.
func (c *Core) Hear(msgs []state.Message) {
	if c.shared == nil {
		return
	}
	for _, m := range msgs {
		c.shared.state.Take(c.now, m)
	}
	c.shared.flush()
}

// beat is due every Settings.Beat.
func (c *Core) beat() {
	s := c.shared
	heap.Push(&c.timers, timer{at: c.now + s.talk.State.Beat, call: c.beat})
	s.state.Live(s.peers.Alive())
	c.balancer.VisitHealth(func(n balancer.EndpointID, fails int, well time.Duration) {
		if m := c.members[n]; m != nil {
			s.state.Observe(c.now, m.ID, fails, well)
		}
	})
	s.state.Beat(c.now)
	s.peers.Know(s.state.Whole(c.now))
	s.last = s.figures()
	s.flush()
}

func (s *Shared) flush() {
	if out := s.state.Outbox(); len(out) > 0 {
		s.peers.Send(out)
	}
}

// listed opens the budget of a member that has started lately, or closes that of one that has gone.
func (s *Shared) listed(m *Member) {
	warm := m.start + s.core.warm[m.kind]
	switch {
	case s.talk.Cold.Rate <= 0:
	case m.State == balancer.Removed:
		s.state.Close(cold + m.ID)
	case m.start > 0 && s.core.now < warm:
		s.state.Open(s.core.now, cold+m.ID, s.talk.Cold, warm)
	}
}

// count notes how an attempt ended.
func (s *Shared) count(a *Attempt, e End) {
	if a.Node == nil {
		return
	}
	switch {
	case e.Status == balancer.OK && (e.Note == balancer.Hit || e.Note == balancer.Stale):
		s.state.Count("hits "+a.Node.ID, 1)
	case e.Status == balancer.OK, e.Status == balancer.Miss:
		s.state.Count("misses "+a.Node.ID, 1)
	case !e.Status.NeverRan() && e.Status != balancer.Cancelled:
		s.state.Count("errors "+a.Node.ID, 1)
	}
}

// AdmitWarmingUp implements balancer.Coordinator.
func (s *Shared) AdmitWarmingUp(now time.Duration, n balancer.EndpointID) bool {
	m := s.member(n)
	return m == nil || s.state.May(now, cold+m.ID)
}

// AdmitRetry implements balancer.Coordinator.
func (s *Shared) AdmitRetry(now time.Duration) bool { return s.state.May(now, retries) }

// ProbedByPeer implements balancer.Coordinator.
func (s *Shared) ProbedByPeer(now time.Duration, n balancer.EndpointID) bool {
	m := s.member(n)
	return m != nil && s.state.Shun(now, m.ID)
}

// AttemptSent implements balancer.Coordinator.
func (s *Shared) AttemptSent(now time.Duration, g balancer.SendAttempt) {
	if g.MayHaveRun {
		s.state.Spend(now, retries)
	}
	if m := s.member(g.Endpoint); m != nil {
		s.state.Spend(now, cold+m.ID)
	}
	if m := s.member(g.Source); m != nil && g.Source != g.Endpoint {
		s.state.Spend(now, cold+m.ID)
	}
}

// member is nil as long as nothing is shared: then the module's own bounds hold alone.
func (s *Shared) member(n balancer.EndpointID) *Member {
	if s.core == nil {
		return nil
	}
	return s.core.members[n]
}

// FleetFigures are what a router shares, for operators.
type FleetFigures struct {
	Others int      // routers that are alive beside this one
	Lost   uint64   // letters to them that were dropped, as too many waited
	Sick   []string // page caches that all keep away from but one router
	Made   uint64   // verdicts so far
	Counts []FleetCount
	Spends []state.Holding
}

// FleetCount is a count over all routers.
type FleetCount struct {
	Key   string
	Total uint64
}

func (s *Shared) figures() *FleetFigures {
	f := &FleetFigures{}
	others, _ := s.peers.Alive()
	f.Others, f.Lost = len(others), s.peers.Lost()
	f.Sick, f.Made = s.state.Verdicts(s.core.now)
	for _, key := range s.state.Counts() {
		f.Counts = append(f.Counts, FleetCount{key, s.state.Total(key)})
	}
	f.Spends = s.state.Holdings(s.core.now)
	return f
}
