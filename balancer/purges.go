package balancer

import (
	"maps"
	"time"
)

// Cache invalidation: purges, and the age of copies that they rule out.

// purgeKey identifies a purged object or group.
type purgeKey struct {
	byGroup bool
	id      uint64
}

// purgeTable remembers purges until no older copy can be left anywhere.
type purgeTable struct {
	purgedAt map[purgeKey]time.Duration
	floor    time.Duration // all copies older than this count as purged: set when the table is full
}

// record takes in a purge.
func (t *purgeTable) record(k purgeKey, at time.Duration) {
	if len(t.purgedAt) >= maxPurges {
		t.floor = max(t.floor, at)
	} else {
		t.purgedAt[k] = max(t.purgedAt[k], at)
	}
}

// latest is the time of the latest purge of an object, by itself or with its group; 0: there was none.
func (t *purgeTable) latest(object, group uint64) time.Duration {
	return max(t.purgedAt[purgeKey{false, object}], t.purgedAt[purgeKey{true, group}], t.floor)
}

func (b *Balancer) handlePurge(ev Purge) {
	maps.DeleteFunc(b.purges.purgedAt, func(_ purgeKey, at time.Duration) bool { return b.purgeIsOver(at) })
	k := purgeKey{ev.ByGroup, ev.Object}
	if ev.ByGroup {
		k.id = ev.Group
	}
	b.purges.record(k, max(b.now-ev.Age, 1)) // 0 would mean that there was none
}

// purgeIsOver tells whether all copies older than a purge are gone.
func (b *Balancer) purgeIsOver(at time.Duration) bool {
	return b.now-at > b.settings.PurgeWindow+purgeMargin
}

func (b *Balancer) purgedAt(r *request) time.Duration { return b.purges.latest(r.Object, r.Group) }

// maxAge is the age of the oldest copy that may be served, which rules out copies from before a purge. 0 means that
// the cache's own default for the class will do.
func (b *Balancer) maxAge(r *request) time.Duration {
	at := b.purgedAt(r)
	if at == 0 || b.purgeIsOver(at) {
		return 0
	}
	age := max(b.now-at-time.Microsecond, time.Microsecond)
	if r.class.FreshnessLifetime > 0 {
		age = min(age, r.class.FreshnessLifetime)
	}
	return age
}
