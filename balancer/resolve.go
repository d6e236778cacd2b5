package balancer

import "slices"

// This file answers DNS resolvers, which name endpoints to their own clients.

// handleResolve names endpoints to a resolver by the same hash and under the same limits as for requests: draining
// endpoints are left out, and one in slow start is named only for the rising fraction of its range and within its budget.
// The resolver keeps its answer for the TTL, so the load of its clients counts for all that time.
func (b *Balancer) handleResolve(ev Resolve) {
	r := &request{Request: Request{Object: ev.Key}, class: newClass(Class{}), leaseLoad: max(ev.Load, minLeaseLoad)}
	candidates := b.resolvableCaches(ev.OnlyEndpoint)
	anyResolvable, key := len(candidates) > 0, mix(ev.Key)
	var chosen []EndpointID
	for len(chosen) < max(ev.MaxEndpoints, 1) {
		e := b.pick(r, key, candidates, saltCache, nil)
		if e == nil || len(chosen) > 0 && !b.servesKey(key, e) {
			break // it is better to name fewer endpoints than to exceed the part of an endpoint in slow start
		}
		chosen = append(chosen, e.id)
		candidates = slices.DeleteFunc(candidates, func(o *endpoint) bool { return o == e })
		b.chargeLease(e, ev, r.leaseLoad)
	}
	switch {
	case len(chosen) > 0:
		b.emit(ResolveAnswer{ID: ev.ID, Endpoints: chosen})
	case anyResolvable:
		b.emit(Reject{ID: ev.ID, RetryAfter: b.settings.MaxRetryAfter})
	default:
		b.emit(Fail{ID: ev.ID})
	}
}

// resolvableCaches returns the caches that may be named to a resolver. If only is not 0, it returns at most that one.
func (b *Balancer) resolvableCaches(only EndpointID) []*endpoint {
	var list []*endpoint
	for _, e := range b.endpoints.caches {
		if e.inService() && !e.health.ejected && (only == 0 || e.id == only) {
			list = append(list, e)
		}
	}
	return list
}

// chargeLease counts the load that a resolver's clients put on an endpoint: as a lease while the endpoint is warming up,
// else in the usual load.
func (b *Balancer) chargeLease(e *endpoint, ev Resolve, load float64) {
	if b.isWarmingUp(e) {
		e.warmUp.leases = append(e.warmUp.leases, resolverLease{load, b.now + ev.TTL})
	} else {
		b.recordLoad(roleCache, b.classes.inOrder[0], load*ev.TTL.Seconds())
	}
}
