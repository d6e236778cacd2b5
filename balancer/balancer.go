package balancer

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Balancer makes the decisions of one router. It is not safe for concurrent use: one goroutine owns it and calls its
// methods.
type Balancer struct {
	settings  Settings
	slowStart [roleCount]SlowStartRule // by role; the origin has none
	now       time.Duration            // clock time of the current call of Handle
	actions   []Action                 // result of Handle; reused by its next call

	classes   classTable
	endpoints endpointTable
	requests  requestTable
	objects   objectTable
	purges    purgeTable
	link      linkUse
	load      [roleCount]load    // usual load by role
	bestScore [roleCount]float64 // highest health score of a usable endpoint, by role
}

// New returns a balancer without endpoints. It returns an error if the settings are invalid.
func New(s Settings) (*Balancer, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	if s.ClusterState == nil {
		s.ClusterState = standalone{}
	}
	b := &Balancer{
		settings:  s,
		slowStart: [roleCount]SlowStartRule{roleCache: s.CacheSlowStart, roleParent: s.ParentSlowStart},
		classes:   newClassTable(s.Classes),
		endpoints: endpointTable{byID: map[EndpointID]*endpoint{}},
		requests:  requestTable{byID: map[RequestID]*request{}},
		objects:   objectTable{current: map[objectKey]*object{}},
		purges:    purgeTable{purgedAt: map[purgeKey]time.Duration{}},
	}
	for r := range b.bestScore {
		b.bestScore[r] = 1
	}
	b.link = b.newLinkUse()
	for i := range b.load {
		b.load[i].rate = make(callsByClass, len(b.classes.inOrder))
		b.load[i].peak = make(callsByClass, len(b.classes.inOrder))
	}
	return b, nil
}

func (s *Settings) validate() error {
	topology := &s.Topology
	if len(s.Classes) == 0 {
		return errors.New("no request classes")
	}
	if !slices.Contains(topology.Zones, topology.Zone) {
		return fmt.Errorf("the router's zone %q is not in the list of zones", topology.Zone)
	}
	if topology.ParentKind >= len(topology.Kinds) || topology.OriginKind >= len(topology.Kinds) {
		return errors.New("the kind of the parents or of the origin is not in the list of kinds")
	}
	for _, d := range []time.Duration{s.PurgeWindow, s.CacheSlowStart.WarmUpTime, s.CacheSlowStart.OverloadWindow,
		s.ParentSlowStart.WarmUpTime, s.ParentSlowStart.OverloadWindow} {
		if d < 0 {
			return errors.New("purge window, warm-up time or overload window is negative")
		}
	}
	for _, c := range s.Classes {
		if c.LatencyObjective < 0 || c.Deadline < 0 || c.DedupWindow < 0 || c.FreshnessLifetime < 0 {
			return fmt.Errorf("class %q: objective, deadline, deduplication window or freshness lifetime is negative", c.Name)
		}
	}
	return nil
}

// routerCount returns the number of routers in all zones.
func (b *Balancer) routerCount() float64 {
	n := 0.0
	for _, inZone := range b.settings.Topology.RoutersPerZone {
		n += float64(max(inZone, 0))
	}
	return n
}

// routersInZone returns the number of routers that share this zone's caches and link, at least 1.
func (b *Balancer) routersInZone() float64 {
	topology := &b.settings.Topology
	if i := slices.Index(topology.Zones, topology.Zone); i < len(topology.RoutersPerZone) && topology.RoutersPerZone[i] > 1 {
		return float64(topology.RoutersPerZone[i])
	}
	return 1
}

// standalone is the ClusterState of a router that shares no state with others. It allows everything.
type standalone struct{}

// AdmitWarmingUp implements ClusterState.
func (standalone) AdmitWarmingUp(time.Duration, EndpointID) bool { return true }

// AdmitRetry implements ClusterState.
func (standalone) AdmitRetry(time.Duration) bool { return true }

// ProbedByPeer implements ClusterState.
func (standalone) ProbedByPeer(time.Duration, EndpointID) bool { return false }

// AttemptSent implements ClusterState.
func (standalone) AttemptSent(time.Duration, SendAttempt) {}
