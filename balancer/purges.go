package balancer

import (
	"maps"
	"math"
	"time"
)

// This file implements cache invalidation: it remembers purges and limits the age of the copies that may be served.

// purgeKey identifies a purged object or group.
type purgeKey struct {
	byGroup bool
	id      uint64
}

// purgeTable remembers purges until no older copy can be left anywhere.
type purgeTable struct {
	purgedAt map[purgeKey]time.Duration
	oldest   time.Duration // no purge in purgedAt is older; valid while there is one
	floor    time.Duration // copies older than this count as purged; raised by purges that the full table can't hold
}

// record adds a purge. In a full table it raises the floor instead.
func (t *purgeTable) record(k purgeKey, at time.Duration) {
	if len(t.purgedAt) >= maxPurges {
		t.floor = max(t.floor, at)
	} else {
		if len(t.purgedAt) == 0 || at < t.oldest {
			t.oldest = at
		}
		t.purgedAt[k] = max(t.purgedAt[k], at)
	}
}

// deleteExpired deletes the purges that have expired. It looks at them only once the oldest one has.
func (t *purgeTable) deleteExpired(expired func(at time.Duration) bool) {
	if len(t.purgedAt) == 0 || !expired(t.oldest) {
		return
	}
	maps.DeleteFunc(t.purgedAt, func(_ purgeKey, at time.Duration) bool { return expired(at) })
	t.oldest = math.MaxInt64
	for _, at := range t.purgedAt {
		t.oldest = min(t.oldest, at)
	}
}

// latest returns the time of the latest purge of an object, by itself or with its group, or 0 if there was none.
func (t *purgeTable) latest(object, group uint64) time.Duration {
	return max(t.purgedAt[purgeKey{false, object}], t.purgedAt[purgeKey{true, group}], t.floor)
}

func (b *Balancer) handlePurge(ev Purge) {
	b.purges.deleteExpired(b.purgeExpired)
	k := purgeKey{ev.ByGroup, ev.Object}
	if ev.ByGroup {
		k.id = ev.Group
	}
	b.purges.record(k, max(b.now-ev.Age, 1)) // 0 would mean that there was no purge
}

// purgeExpired reports whether all copies older than a purge are gone.
func (b *Balancer) purgeExpired(at time.Duration) bool {
	return b.now-at > b.settings.PurgeWindow+purgeMargin
}

func (b *Balancer) purgedAt(r *request) time.Duration { return b.purges.latest(r.Object, r.Group) }

// maxAge returns the age of the oldest copy that may be served, which excludes copies from before a purge. 0 means that
// the cache's default for the class applies.
func (b *Balancer) maxAge(r *request) time.Duration {
	at := b.purgedAt(r)
	if at == 0 || b.purgeExpired(at) {
		return 0
	}
	age := max(b.now-at-time.Microsecond, time.Microsecond)
	if r.class.FreshnessLifetime > 0 {
		age = min(age, r.class.FreshnessLifetime)
	}
	return age
}
