package balancer

import (
	"slices"
)

// Answers to resolvers.

// resolve names members to a resolver by the same hash and under the same bounds as requests: those that
// drain are left out, a started one enters by its rising share and within its budget. A resolver keeps its
// answer, so its load counts for all that time.
func (b *Balancer) resolve(ev Resolve) {
	r := &request{Request: Request{Object: ev.Key}, class: newClass(Class{}), lease: max(ev.Load, leastLease)}
	var from []*member
	for _, m := range b.caches {
		if b.inService(m) && !m.bad && (ev.OnlyEndpoint == 0 || m.id == ev.OnlyEndpoint) {
			from = append(from, m)
		}
	}
	some, key := len(from) > 0, mix(ev.Key)
	var nodes []EndpointID
	for len(nodes) < max(ev.MaxEndpoints, 1) {
		m := b.pick(r, key, from, saltCache, nil)
		if m == nil || len(nodes) > 0 && !b.owns(key, m) {
			break // a further name is worth less than the share of a started member
		}
		nodes = append(nodes, m.id)
		from = slices.DeleteFunc(from, func(o *member) bool { return o == m })
		if b.cold(m) {
			m.leases = append(m.leases, lease{r.lease, b.now + ev.TTL})
		} else {
			b.recordLoad(cache, b.kinds[0], r.lease*ev.TTL.Seconds())
		}
	}
	switch {
	case len(nodes) > 0:
		b.do(ResolveAnswer{ID: ev.ID, Endpoints: nodes})
	case some:
		b.do(Reject{ID: ev.ID, RetryAfter: b.s.MaxRetryAfter})
	default:
		b.do(Fail{ID: ev.ID})
	}
}
