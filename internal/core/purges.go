package core

import (
	"cmp"
	"time"

	"hillknot/balancer"
)

// purgeScope is the scope of a purge.
type purgeScope uint8

const (
	purgeObject purgeScope = iota // one object
	purgeGroup                    // all objects of a group
)

// purge is the invalidation of cached copies that were made before a time.
type purge struct {
	scope purgeScope
	key   uint64        // the object or the group
	at    time.Duration // on the core's clock
}

// covers reports whether a purge invalidates cached copies of the object that a request reads.
func (p purge) covers(q *Request) bool {
	switch {
	case q.Write:
		return false
	case p.scope == purgeGroup:
		return q.Group == p.key
	}
	return q.Object == p.key
}

// PurgeObject takes the purge of an object, made at a time on the core's clock. The purge also applies to attempts that
// were decided before: such an attempt may still wait for a connection, or for its turn to be sent.
func (c *Core) PurgeObject(object uint64, at time.Duration) {
	c.applyPurge(purge{scope: purgeObject, key: object, at: at})
	c.emit(balancer.Purge{Object: object, Age: max(c.iteration.now-at, 0)})
}

// PurgeGroup is PurgeObject for all objects of a group.
func (c *Core) PurgeGroup(group uint64, at time.Duration) {
	c.applyPurge(purge{scope: purgeGroup, key: group, at: at})
	c.emit(balancer.Purge{ByGroup: true, Group: group, Age: max(c.iteration.now-at, 0)})
}

// applyPurge applies a purge to the open attempts, and keeps it for the attempts that are decided and not started yet.
func (c *Core) applyPurge(p purge) {
	for _, r := range c.requests.open {
		if r.attempt != nil {
			c.excludeOlderCopies(r.attempt, p)
		}
	}
	c.iteration.pendingPurges = append(c.iteration.pendingPurges, p)
}

// excludeOlderCopies has an attempt ask only for copies made after a purge, if the purge covers its request.
func (c *Core) excludeOlderCopies(a *Attempt, p purge) {
	if !p.covers(a.Request) {
		return
	}
	age := max(c.iteration.now-p.at-time.Microsecond, time.Microsecond)
	if maxAge := cmp.Or(a.Decision.MaxAge, a.owner.policy.freshnessLifetime); maxAge == 0 || age < maxAge {
		a.Decision.MaxAge = age
	}
}
