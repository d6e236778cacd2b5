package core

import (
	"time"

	"hillknot/balancer"
	"hillknot/internal/cluster/state"
)

// ClusterSettings are the settings of the state that the routers of a cluster share.
type ClusterSettings struct {
	State   state.Settings
	WarmUp  state.BudgetLimits // the budget of each endpoint that is warming up; a rate of 0: not shared
	Retries state.BudgetLimits // the budget of attempts that follow one that may have run; a rate of 0: not shared
}

// Peers is the connection to the other routers of the cluster. No method may block.
type Peers interface {
	// Send sends messages, or drops them if too many are waiting.
	Send(messages []state.OutgoingMessage)
	// PublishFullState sets the messages that are sent to a router that knows nothing of this one yet.
	PublishFullState(fullState []state.Message)
	// DroppedMessages returns how many messages were dropped.
	DroppedMessages() uint64
	// Alive returns the sorted names of the other routers that are alive, and the number of routers that own a part of
	// the budgets.
	Alive() (others []string, owners int)
}

// ClusterState is this router's part of the state that the routers of a cluster share. It implements
// balancer.ClusterState, and belongs to the core's goroutine.
type ClusterState struct {
	settings ClusterSettings
	state    *state.State
	core     *Core // nil: nothing is shared yet
	peers    Peers
	metrics  *ClusterMetrics // as of the latest heartbeat
}

// Names of budgets and counters in messages between routers.
const (
	retryBudget        = "retries"
	warmUpBudgetPrefix = "cold " // the id of an endpoint follows, here and below
	hitsPrefix         = "hits "
	missesPrefix       = "misses "
	errorsPrefix       = "errors "
)

// NewClusterState returns the state of a router that has just started. It goes into the settings of the decision
// module, as their ClusterState, before the core is made.
func NewClusterState(settings ClusterSettings) (*ClusterState, error) {
	shared, err := state.New(settings.State)
	if err != nil {
		return nil, err
	}
	return &ClusterState{settings: settings, state: shared}, nil
}

// JoinCluster begins to share state with the peers. It is called once, as soon as no predecessor of this process spends
// from the budgets any more, or SetPredecessorUnheard was called.
func (c *Core) JoinCluster(s *ClusterState, peers Peers) {
	c.extensions.cluster, s.core, s.peers = s, c, peers
	c.updateReplaced()
	if s.settings.Retries.Rate > 0 {
		s.state.OpenBudget(c.iteration.now, retryBudget, s.settings.Retries, 0)
	}
	for _, e := range c.endpoints.byID {
		s.updateWarmUp(e)
	}
	s.heartbeat()
}

// ReceiveGossip takes messages from other routers. They are ignored before JoinCluster.
func (c *Core) ReceiveGossip(messages []state.Message) {
	s := c.extensions.cluster
	if s == nil {
		return
	}
	for _, m := range messages {
		s.state.ReceiveMessage(c.iteration.now, m)
	}
	s.flush()
}

// heartbeat sends the other routers what this one has observed, and updates the metrics. It schedules itself at
// State.TickInterval of the settings.
func (s *ClusterState) heartbeat() {
	now := s.core.iteration.now
	s.core.Schedule(now+s.settings.State.TickInterval, s.heartbeat)
	s.state.SetPeers(s.peers.Alive())
	s.core.module.VisitHealth(func(id balancer.EndpointID, consecutiveFailures int, lastResponse time.Duration) {
		if e := s.endpoint(id); e != nil {
			s.state.ObserveHealth(now, e.ID, consecutiveFailures, lastResponse)
		}
	})
	s.state.Tick(now)
	s.peers.PublishFullState(s.state.FullState(now))
	s.metrics = s.collectMetrics()
	s.flush()
}

func (s *ClusterState) flush() {
	if messages := s.state.OutgoingMessages(); len(messages) > 0 {
		s.peers.Send(messages)
	}
}

// updateWarmUp opens the budget of an endpoint that is warming up, and closes the budget of an endpoint that is removed.
func (s *ClusterState) updateWarmUp(e *Endpoint) {
	now := s.core.iteration.now
	warmUpEnd := e.startedAt + s.core.policy.warmUpTimes[e.kind]
	switch {
	case s.settings.WarmUp.Rate <= 0:
	case e.State == balancer.Removed:
		s.state.CloseBudget(warmUpBudgetPrefix + e.ID)
	case e.startedAt > 0 && now < warmUpEnd:
		s.state.OpenBudget(now, warmUpBudgetPrefix+e.ID, s.settings.WarmUp, warmUpEnd)
	}
}

// countResult counts the result of an attempt as a hit, miss or error of its endpoint, in the counters over all routers.
func (s *ClusterState) countResult(a *Attempt, result AttemptResult) {
	if a.Endpoint == nil {
		return
	}
	switch {
	case result.Status == balancer.OK && (result.Detail == balancer.Hit || result.Detail == balancer.Stale):
		s.state.IncrementCounter(hitsPrefix+a.Endpoint.ID, 1)
	case result.Status == balancer.OK, result.Status == balancer.Miss:
		s.state.IncrementCounter(missesPrefix+a.Endpoint.ID, 1)
	case !result.Status.NeverRan() && result.Status != balancer.Cancelled:
		s.state.IncrementCounter(errorsPrefix+a.Endpoint.ID, 1)
	}
}

// AdmitWarmingUp implements balancer.ClusterState.
func (s *ClusterState) AdmitWarmingUp(now time.Duration, id balancer.EndpointID) bool {
	e := s.endpoint(id)
	return e == nil || s.state.CanSpend(now, warmUpBudgetPrefix+e.ID)
}

// AdmitRetry implements balancer.ClusterState.
func (s *ClusterState) AdmitRetry(now time.Duration) bool { return s.state.CanSpend(now, retryBudget) }

// ProbedByPeer implements balancer.ClusterState.
func (s *ClusterState) ProbedByPeer(now time.Duration, id balancer.EndpointID) bool {
	e := s.endpoint(id)
	return e != nil && s.state.ProbedByPeer(now, e.ID)
}

// AttemptSent implements balancer.ClusterState.
func (s *ClusterState) AttemptSent(now time.Duration, sent balancer.SendAttempt) {
	if sent.MayHaveRun {
		s.state.Spend(now, retryBudget)
	}
	if e := s.endpoint(sent.Endpoint); e != nil {
		s.state.Spend(now, warmUpBudgetPrefix+e.ID)
	}
	if e := s.endpoint(sent.Source); e != nil && sent.Source != sent.Endpoint {
		s.state.Spend(now, warmUpBudgetPrefix+e.ID)
	}
}

// endpoint returns the endpoint with an id, or nil if it is not listed or nothing is shared yet. In that case only the
// module's own limits apply.
func (s *ClusterState) endpoint(id balancer.EndpointID) *Endpoint {
	if s.core == nil {
		return nil
	}
	return s.core.endpoints.byID[id]
}
