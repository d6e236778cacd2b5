package core

import (
	"time"

	"hillknot/balancer"
)

// requestPolicy is what the core needs of the module's settings.
type requestPolicy struct {
	classes       map[string]classPolicy
	maxRetryAfter time.Duration            // the longest that a client may be asked to stay away
	warmUpTimes   map[string]time.Duration // by kind of endpoint: how long after its start one is warming up
}

// classPolicy is what the core needs to know of a class of requests. That of an unknown class is the zero value.
type classPolicy struct {
	nonIdempotent     bool          // a client may not be told that a retry does no harm once a request may have run
	retryWindow       time.Duration // of these: how long after an attempt that may have run another does no harm; 0: never
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

// mayRetry reports whether an attempt does no harm that is sent some time after one that may have run.
func (p classPolicy) mayRetry(sinceFirst time.Duration) bool {
	return !p.nonIdempotent || sinceFirst < p.retryWindow
}
