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

// classPolicy holds the settings of a class of requests. It is the zero value for an unknown class.
type classPolicy struct {
	nonIdempotent     bool          // a retry may do harm once a request may have run; a client may not be told otherwise
	retryWindow       time.Duration // if nonIdempotent: for how long a retry is safe after an attempt that may have run; 0: never
	freshnessLifetime time.Duration // how long a cached copy is fresh; 0: until it is purged
}

func newRequestPolicy(settings *balancer.Settings) requestPolicy {
	p := requestPolicy{
		classes:       map[string]classPolicy{},
		maxRetryAfter: settings.MaxRetryAfter,
		warmUpTimes:   map[string]time.Duration{},
	}
	for _, class := range settings.Classes {
		policy := classPolicy{nonIdempotent: class.Idempotency != balancer.Idempotent, freshnessLifetime: class.FreshnessLifetime}
		if class.Idempotency == balancer.IdempotentByKey {
			policy.retryWindow = class.DedupWindow
		}
		p.classes[class.Name] = policy
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

// mayRetry reports whether another attempt does no harm when the first attempt that may have run was sent sinceFirst ago.
func (p classPolicy) mayRetry(sinceFirst time.Duration) bool {
	return !p.nonIdempotent || sinceFirst < p.retryWindow
}
