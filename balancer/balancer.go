package balancer

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Balancer decides for one router. It is not safe for concurrent use: one goroutine owns it and calls its methods.
type Balancer struct {
	settings  Settings
	slowStart [roleCount]SlowStartRule // by role; the origin has none
	now       time.Duration            // of the call of Handle that is in progress
	actions   []Action                 // what Handle returns; reused by its next call

	classes   classTable
	endpoints endpointTable
	requests  requestTable
	objects   objectTable
	purges    purgeTable
	link      linkUse
	load      [roleCount]load    // usual load by role
	bestScore [roleCount]float64 // the highest health score of a usable endpoint, by role
}

// New returns a balancer without endpoints. Settings that contradict themselves are an error.
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
		objects:   objectTable{young: map[objectKey]*object{}},
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
	site := &s.Topology
	if len(s.Classes) == 0 {
		return errors.New("no classes")
	}
	if !slices.Contains(site.Zones, site.Zone) {
		return fmt.Errorf("own location %q is not listed", site.Zone)
	}
	if site.ParentKind >= len(site.Kinds) || site.OriginKind >= len(site.Kinds) {
		return errors.New("kind of the parents or the origin is not listed")
	}
	for _, d := range []time.Duration{s.PurgeWindow, s.CacheSlowStart.WarmUpTime, s.CacheSlowStart.OverloadWindow,
		s.ParentSlowStart.WarmUpTime, s.ParentSlowStart.OverloadWindow} {
		if d < 0 {
			return errors.New("negative time")
		}
	}
	for _, c := range s.Classes {
		if c.LatencyObjective < 0 || c.Deadline < 0 || c.DedupWindow < 0 || c.FreshnessLifetime < 0 {
			return fmt.Errorf("class %q: negative time", c.Name)
		}
	}
	return nil
}

// routerCount is the number of routers in all zones.
func (b *Balancer) routerCount() float64 {
	n := 0.0
	for _, inZone := range b.settings.Topology.RoutersPerZone {
		n += float64(max(inZone, 0))
	}
	return n
}

// routersInZone is the number of routers that share this zone's caches and link, at least 1.
func (b *Balancer) routersInZone() float64 {
	site := &b.settings.Topology
	if i := slices.Index(site.Zones, site.Zone); i < len(site.RoutersPerZone) && site.RoutersPerZone[i] > 1 {
		return float64(site.RoutersPerZone[i])
	}
	return 1
}

// standalone is the Coordinator of a router that shares no state with others.
type standalone struct{}

// AdmitWarmingUp implements Coordinator.
func (standalone) AdmitWarmingUp(time.Duration, EndpointID) bool { return true }

// AdmitRetry implements Coordinator.
func (standalone) AdmitRetry(time.Duration) bool { return true }

// ProbedByPeer implements Coordinator.
func (standalone) ProbedByPeer(time.Duration, EndpointID) bool { return false }

// AttemptSent implements Coordinator.
func (standalone) AttemptSent(time.Duration, SendAttempt) {}
