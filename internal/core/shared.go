package core

import (
	"container/heap"
	"time"

	"hillknot/balancer"
	"hillknot/internal/cluster/state"
)

// ClusterSettings sets up what a router shares with others that it may talk to.
type ClusterSettings struct {
	State   state.Settings
	WarmUp  state.Terms // of each page cache that started lately; a rate of 0: not shared
	Retries state.Terms // of attempts that follow one that may have run; a rate of 0: not shared
}

// Peers are the others, as the core needs them. No method may block.
type Peers interface {
	Send(letters []state.Letter)
	PublishFullState(all []state.Message) // what one who has heard nothing is told
	DroppedMessages() uint64              // letters that were dropped, as too many waited
	Alive() (others []string, owners int) // names in order; routers with a part of their own
}

// ClusterState is what this router shares with others, as the module asks for it. It belongs to the core's goroutine.
type ClusterState struct {
	talk  ClusterSettings
	state *state.State
	core  *Core
	peers Peers
	last  *ClusterMetrics
}

const (
	retries = "retries"
	cold    = "cold " // and the id of a page cache
)

// NewClusterState returns what a router shares that has just started. It goes into the settings of the module, as Together,
// before the core is made.
func NewClusterState(talk ClusterSettings) (*ClusterState, error) {
	state, err := state.New(talk.State)
	if err != nil {
		return nil, err
	}
	return &ClusterState{talk: talk, state: state}, nil
}

// JoinCluster begins to share. It is called once, on the core's goroutine, as soon as no process before this one spends any
// more.
func (c *Core) JoinCluster(s *ClusterState, p Peers) {
	c.shared, s.core, s.peers = s, c, p
	if s.talk.Retries.Rate > 0 {
		s.state.Open(c.now, retries, s.talk.Retries, 0)
	}
	for _, m := range c.members {
		s.listed(m)
	}
	c.beat()
}

// ReceiveGossip takes what others said.
func (c *Core) ReceiveGossip(msgs []state.Message) {
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
	s.peers.PublishFullState(s.state.Whole(c.now))
	s.last = s.figures()
	s.flush()
}

func (s *ClusterState) flush() {
	if out := s.state.Outbox(); len(out) > 0 {
		s.peers.Send(out)
	}
}

// listed opens the budget of a member that has started lately, or closes that of one that has gone.
func (s *ClusterState) listed(m *Endpoint) {
	warm := m.start + s.core.warm[m.kind]
	switch {
	case s.talk.WarmUp.Rate <= 0:
	case m.State == balancer.Removed:
		s.state.Close(cold + m.ID)
	case m.start > 0 && s.core.now < warm:
		s.state.Open(s.core.now, cold+m.ID, s.talk.WarmUp, warm)
	}
}

// count notes how an attempt ended.
func (s *ClusterState) count(a *Attempt, e AttemptResult) {
	if a.Endpoint == nil {
		return
	}
	switch {
	case e.Status == balancer.OK && (e.Detail == balancer.Hit || e.Detail == balancer.Stale):
		s.state.Count("hits "+a.Endpoint.ID, 1)
	case e.Status == balancer.OK, e.Status == balancer.Miss:
		s.state.Count("misses "+a.Endpoint.ID, 1)
	case !e.Status.NeverRan() && e.Status != balancer.Cancelled:
		s.state.Count("errors "+a.Endpoint.ID, 1)
	}
}

// AdmitWarmingUp implements balancer.Coordinator.
func (s *ClusterState) AdmitWarmingUp(now time.Duration, n balancer.EndpointID) bool {
	m := s.member(n)
	return m == nil || s.state.May(now, cold+m.ID)
}

// AdmitRetry implements balancer.Coordinator.
func (s *ClusterState) AdmitRetry(now time.Duration) bool { return s.state.May(now, retries) }

// ProbedByPeer implements balancer.Coordinator.
func (s *ClusterState) ProbedByPeer(now time.Duration, n balancer.EndpointID) bool {
	m := s.member(n)
	return m != nil && s.state.Shun(now, m.ID)
}

// AttemptSent implements balancer.Coordinator.
func (s *ClusterState) AttemptSent(now time.Duration, g balancer.SendAttempt) {
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
func (s *ClusterState) member(n balancer.EndpointID) *Endpoint {
	if s.core == nil {
		return nil
	}
	return s.core.members[n]
}

// ClusterMetrics are what a router shares, for operators.
type ClusterMetrics struct {
	Peers           int      // routers that are alive beside this one
	DroppedMessages uint64   // letters to them that were dropped, as too many waited
	Ejected         []string // page caches that all keep away from but one router
	Verdicts        uint64   // verdicts so far
	Counters        []ClusterCounter
	Budgets         []state.Holding
}

// ClusterCounter is a count over all routers.
type ClusterCounter struct {
	Key   string
	Total uint64
}

func (s *ClusterState) figures() *ClusterMetrics {
	f := &ClusterMetrics{}
	others, _ := s.peers.Alive()
	f.Peers, f.DroppedMessages = len(others), s.peers.DroppedMessages()
	f.Ejected, f.Verdicts = s.state.Verdicts(s.core.now)
	for _, key := range s.state.Counts() {
		f.Counters = append(f.Counters, ClusterCounter{key, s.state.Total(key)})
	}
	f.Budgets = s.state.Holdings(s.core.now)
	return f
}
