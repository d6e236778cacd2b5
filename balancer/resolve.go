package balancer

import "slices"

// Answers to resolvers, which name endpoints to clients of their own.

// handleResolve names endpoints to a resolver by the same hash and under the same bounds as for requests: draining
// ones are left out, and one in slow start enters by its rising part of its range and within its budget. The
// resolver keeps its answer for a time, so the load of its clients counts for all that time.
func (b *Balancer) handleResolve(ev Resolve) {
	r := &request{Request: Request{Object: ev.Key}, class: newClass(Class{}), leaseLoad: max(ev.Load, minLeaseLoad)}
	candidates := b.resolvable(ev.OnlyEndpoint)
	found, key := len(candidates) > 0, mix(ev.Key)
	var chosen []EndpointID
	for len(chosen) < max(ev.MaxEndpoints, 1) {
		e := b.pick(r, key, candidates, saltCache, nil)
		if e == nil || len(chosen) > 0 && !b.servesKey(key, e) {
			break // a further name is worth less than keeping an endpoint in slow start to its part
		}
		chosen = append(chosen, e.id)
		candidates = slices.DeleteFunc(candidates, func(o *endpoint) bool { return o == e })
		b.chargeLease(e, ev, r.leaseLoad)
	}
	switch {
	case len(chosen) > 0:
		b.emit(ResolveAnswer{ID: ev.ID, Endpoints: chosen})
	case found:
		b.emit(Reject{ID: ev.ID, RetryAfter: b.settings.MaxRetryAfter})
	default:
		b.emit(Fail{ID: ev.ID})
	}
}

// resolvable returns the caches that may be named at all; only, unless 0, is the one asked for.
func (b *Balancer) resolvable(only EndpointID) []*endpoint {
	var list []*endpoint
	for _, e := range b.endpoints.caches {
		if e.inService() && !e.health.ejected && (only == 0 || e.id == only) {
			list = append(list, e)
		}
	}
	return list
}

// chargeLease counts the load that a resolver's clients bring to an endpoint.
func (b *Balancer) chargeLease(e *endpoint, ev Resolve, load float64) {
	if b.isWarmingUp(e) {
		e.warmUp.leases = append(e.warmUp.leases, resolverLease{load, b.now + ev.TTL})
	} else {
		b.recordLoad(roleCache, b.classes.inOrder[0], load*ev.TTL.Seconds())
	}
}
