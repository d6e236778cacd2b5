package balancer

import (
	"maps"
	"time"
)

// Purges, and the age of copies that they bar.

func (b *Balancer) purge(ev Purge) {
	maps.DeleteFunc(b.purges, func(_ purgeKey, at time.Duration) bool {
		return b.now-at > b.s.PurgeWindow+purgeMargin
	})
	k, at := purgeKey{ev.ByGroup, ev.Object}, max(b.now-ev.Age, 1) // 0 would say that there was none
	if ev.ByGroup {
		k.name = ev.Group
	}
	if len(b.purges) >= purgeTable {
		b.floor = max(b.floor, at)
	} else {
		b.purges[k] = max(b.purges[k], at)
	}
}

func (b *Balancer) purgedAt(r *request) time.Duration {
	return max(b.purges[purgeKey{false, r.Object}], b.purges[purgeKey{true, r.Group}], b.floor)
}

// maxAge is the age that bars copies from before any purge told of the object; 0 is the class default.
func (b *Balancer) maxAge(r *request) time.Duration {
	at := b.purgedAt(r)
	if at == 0 || b.now-at > b.s.PurgeWindow+purgeMargin {
		return 0
	}
	age := max(b.now-at-time.Microsecond, time.Microsecond)
	if r.class.FreshnessLifetime > 0 {
		age = min(age, r.class.FreshnessLifetime)
	}
	return age
}
