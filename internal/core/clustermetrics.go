package core

import "hillknot/internal/cluster/state"

// ClusterMetrics are figures for operators on the state that the routers of a cluster share.
type ClusterMetrics struct {
	Peers           int      // other routers that are alive
	DroppedMessages uint64   // messages to them that were dropped because too many were waiting
	Ejected         []string // endpoints that all routers avoid, except for the one that probes them
	Ejections       uint64   // number of ejections so far
	Counters        []ClusterCounter
	Budgets         []state.BudgetStatus
}

// ClusterCounter is a counter and its total over all routers.
type ClusterCounter struct {
	Key   string
	Total uint64
}

func (s *ClusterState) collectMetrics() *ClusterMetrics {
	now := s.core.iteration.now
	others, _ := s.peers.Alive()
	m := &ClusterMetrics{
		Peers:           len(others),
		DroppedMessages: s.peers.DroppedMessages(),
		Budgets:         s.state.BudgetStatuses(now),
	}
	m.Ejected, m.Ejections = s.state.Ejections(now)
	for _, key := range s.state.CounterKeys() {
		m.Counters = append(m.Counters, ClusterCounter{key, s.state.CounterTotal(key)})
	}
	return m
}
