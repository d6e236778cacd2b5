package core

import (
	"time"

	"hillknot/balancer"
)

// requestPolicy holds those of the module's settings that the core also needs.
type requestPolicy struct {
	classes       map[string]classPolicy
	maxRetryAfter time.Duration            // the longest time that a client may be asked to stay away
	warmUpTimes   map[string]time.Duration // by kind of endpoint: how long an endpoint warms up after its start
}

// classPolicy holds the settings of a class of requests. It is the zero value for an unknown class, whose requests are not
// idempotent.
type classPolicy struct {
	repeat            balancer.RepeatRule
	freshnessLifetime time.Duration // how long a cached copy is fresh; 0: until it is purged
}

// nonIdempotent reports whether a retry may do harm once a request may have run. A client may not be told otherwise then.
func (p classPolicy) nonIdempotent() bool { return p.repeat.Idempotency != balancer.Idempotent }

func newRequestPolicy(settings *balancer.Settings) requestPolicy {
	p := requestPolicy{
		classes:       map[string]classPolicy{},
		maxRetryAfter: settings.MaxRetryAfter,
		warmUpTimes:   map[string]time.Duration{},
	}
	for _, class := range settings.Classes {
		p.classes[class.Name] = classPolicy{repeat: class.RepeatRule(), freshnessLifetime: class.FreshnessLifetime}
	}
	for i, kind := range settings.Topology.Kinds {
		switch i {
		case settings.Topology.ParentKind:
			p.warmUpTimes[kind] = settings.ParentSlowStart.WarmUpTime
		case settings.Topology.OriginKind: // an origin is never warming up
		default:
			p.warmUpTimes[kind] = settings.CacheSlowStart.WarmUpTime
		}
	}
	return p
}
