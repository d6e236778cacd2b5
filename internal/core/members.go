package core

import (
	"cmp"
	"log/slog"
	"time"

	"hillknot/balancer"
	"hillknot/internal/clock"
)

// The list of members as the journal tells it, and purges.

// EndpointUpdate is a line of the list.
type EndpointUpdate struct {
	ID, Addr, Kind, Zone string
	Cell                 int
	Weight               float64
	State                balancer.EndpointState
	StartStamp           clock.Stamp   // of a late start, by which it is known; 0: long ago
	StartedAt            time.Duration // when that was, on the core's clock
}

// EndpointIDOf is the module's id of a member. All routers derive the same.
func EndpointIDOf(id string) balancer.EndpointID {
	h := uint64(14695981039346656037) // FNV-1a
	for i := range len(id) {
		h = (h ^ uint64(id[i])) * 1099511628211
	}
	return balancer.EndpointID(h)
}

// ReplaceEndpoints takes a whole list. What it lacks is gone.
func (c *Core) ReplaceEndpoints(all []EndpointUpdate) { c.applyEndpoints(true, all) }

// UpdateEndpoints takes changes to the list.
func (c *Core) UpdateEndpoints(changed []EndpointUpdate) { c.applyEndpoints(false, changed) }

func (c *Core) applyEndpoints(full bool, hosts []EndpointUpdate) {
	ev := balancer.EndpointUpdate{Complete: full, Endpoints: make([]balancer.Endpoint, 0, len(hosts))}
	for _, h := range hosts {
		n := EndpointIDOf(h.ID)
		m := c.members[n]
		if m == nil {
			m = &Endpoint{ID: h.ID, node: n}
		}
		restarted := m.started(h)
		if m.Addr != "" && (m.Addr != h.Addr || restarted) {
			c.up.CloseEndpoint(m) // another process is there now
		}
		m.Addr, m.State, m.kind = h.Addr, h.State, h.Kind
		c.members[n] = m
		if c.shared != nil {
			c.shared.listed(m)
		}
		if h.State == balancer.Removed {
			c.gone(m)
		}
		ev.Endpoints = append(ev.Endpoints, balancer.Endpoint{ID: n, Kind: h.Kind, Zone: h.Zone, Cell: h.Cell,
			Weight: h.Weight, StartedAt: m.start, State: h.State})
	}
	if full {
		c.dropUnlisted(hosts)
	}
	if len(c.members) > 0 {
		c.lifecycle.unblock(endpointsUnknown)
	}
	c.events = append(c.events, ev)
	c.listChanges.note(c, full, len(hosts))
}

// dropUnlisted takes all members to be gone that a whole list lacks.
func (c *Core) dropUnlisted(hosts []EndpointUpdate) {
	listed := make(map[balancer.EndpointID]bool, len(hosts))
	for _, h := range hosts {
		listed[EndpointIDOf(h.ID)] = true
	}
	for n, m := range c.members {
		if !listed[n] {
			c.gone(m)
		}
	}
}

// listChanges are changes of the list that the log has yet to tell.
type listChanges struct {
	events, lines int
	full          bool
	due           bool // the line is to be written
}

// listLogEvery is how often the log tells of changes to the list, at most: a release brings thousands.
const listLogEvery = time.Second

// note has the log tell of changes, the first at once and what follows within a while in one line.
func (l *listChanges) note(c *Core, full bool, lines int) {
	l.events, l.lines, l.full = l.events+1, l.lines+lines, l.full || full
	if l.due {
		return
	}
	l.due = true
	l.tell(c)
	c.Schedule(c.now+listLogEvery, func() {
		l.due = false
		if l.events > 0 {
			l.tell(c)
		}
	})
}

func (l *listChanges) tell(c *Core) {
	slog.Info("members", "full", l.full, "events", l.events, "changed", l.lines, "known", len(c.members))
	l.events, l.lines, l.full = 0, 0, false
}

// started takes the start that the list tells of a member, and tells whether it is another than was told before. A stamp is
// compared with its own kind alone: it is the word of a clock that may have been stepped between two starts.
func (m *Endpoint) started(h EndpointUpdate) bool {
	if h.StartStamp == 0 || h.StartStamp == m.stamp {
		return false
	}
	m.stamp, m.start = h.StartStamp, max(h.StartedAt, m.start+1) // a later start is later, however they were dated
	return true
}

func (c *Core) gone(m *Endpoint) {
	m.State = balancer.Removed
	if c.shared != nil {
		c.shared.listed(m)
	}
	c.up.CloseEndpoint(m)
	delete(c.members, m.node)
}

// told is a purge as the journal told it.
type told struct {
	byGroup       bool
	object, group uint64
	at            time.Duration
}

// PurgeObject takes a purge of one object, made at the given time of the core's clock. It counts for what was decided
// before, too: an attempt may still wait for a connection, or for its turn to be sent.
func (c *Core) PurgeObject(object uint64, at time.Duration) { c.purge(false, object, 0, at) }

// PurgeGroup is PurgeObject for all objects of a group.
func (c *Core) PurgeGroup(group uint64, at time.Duration) { c.purge(true, 0, group, at) }

// purge takes a purge made at the given time of the core's clock. It counts for what was decided before, too: an attempt may
// still wait for a connection, or for its turn to be sent.
func (c *Core) purge(byGroup bool, object, group uint64, at time.Duration) {
	p := told{byGroup, object, group, at}
	for _, r := range c.open {
		if r.attempt != nil {
			c.bar(r.attempt, p)
		}
	}
	c.purged = append(c.purged, p)
	c.events = append(c.events, balancer.Purge{ByGroup: byGroup, Object: object, Group: group, Age: max(c.now-at, 0)})
}

// bar has an attempt ask for no copy of before a purge.
func (c *Core) bar(a *Attempt, p told) {
	r := a.owner
	if r.Write || p.byGroup && r.Group != p.group || !p.byGroup && r.Object != p.object {
		return
	}
	age := max(c.now-p.at-time.Microsecond, time.Microsecond)
	if most := cmp.Or(a.Decision.MaxAge, c.fresh[r.Class]); most == 0 || age < most {
		a.Decision.MaxAge = age
	}
}
