package discovery

import (
	"strconv"
	"time"

	"hillknot/balancer"
	"hillknot/internal/clock"
	"hillknot/internal/core"
	"hillknot/internal/jsonfields"
)

// Event is one event of the journal: a list of members, or changes to it, or a purge.
type Event struct {
	Pos   int64
	List  bool
	Full  bool
	Hosts []core.EndpointUpdate

	Purge         bool
	ByGroup       bool
	Object, Group uint64
	Stamp         clock.Stamp   // of the purge
	At            time.Duration // when that was, on the core's clock
}

// apply hands the event to the core.
func (e Event) apply(c EventHandler) {
	switch {
	case e.List && e.Full:
		c.ReplaceEndpoints(e.Hosts)
	case e.List:
		c.UpdateEndpoints(e.Hosts)
	case e.Purge && e.ByGroup:
		c.PurgeGroup(e.Group, e.At)
	case e.Purge:
		c.PurgeObject(e.Object, e.At)
	}
}

// date turns the stamps of an event that arrived at now into times of the core's clock, once and for all. Earliest bounds
// those of changes: the journal did not hold them by then. A whole list also tells of starts that are long past.
func (e *Event) date(now, wall, earliest time.Duration) {
	if e.Full {
		earliest = 0
	}
	for i := range e.Hosts {
		if h := &e.Hosts[i]; h.StartStamp != 0 {
			h.StartedAt = h.StartStamp.Date(now, wall, earliest)
		}
	}
	if e.Purge {
		e.At = e.Stamp.Date(now, wall, earliest)
	}
}

// known reads the events of the start; the last position comes with them.
func known(o jsonfields.Object) (evs []Event, last int64, err error) {
	for _, e := range o.Objects("entries") {
		evs = append(evs, read(e))
	}
	last = o.Int("pos", 0)
	return evs, last, o.Err()
}

var states = map[string]balancer.EndpointState{"ready": balancer.InService, "draining": balancer.Draining, "gone": balancer.Removed}

func read(o jsonfields.Object) Event {
	e := Event{Pos: o.Int("pos", 0), List: o.Has("hosts"), Purge: o.Has("expire")}
	if e.List {
		l := o.Object("hosts")
		e.Full = l.Flag("reset")
		for _, h := range l.Objects("instances") {
			e.Hosts = append(e.Hosts, readHost(h))
		}
	}
	if e.Purge {
		p := o.Object("expire")
		p.Must("stamp")
		e.Stamp = clock.Stamp(p.Span("stamp", time.Millisecond, 0))
		if e.ByGroup = !p.Has("name"); e.ByGroup {
			p.Must("set")
			e.Group = uint64(p.Count("set", 0, 0))
		} else {
			n, err := strconv.ParseUint(p.Text("name", ""), 16, 64)
			if err != nil {
				p.Fail("name", "is no object")
			}
			e.Object = n
		}
	}
	return e
}

// readHost reads a line of the list.
func readHost(h jsonfields.Object) core.EndpointUpdate {
	h.Must("instanceId", "lifecycle")
	state, ok := states[h.Text("lifecycle", "")]
	if !ok {
		h.Fail("lifecycle", "is no state that is known")
	}
	return core.EndpointUpdate{ID: h.Text("instanceId", ""), Addr: h.Text("hostPort", ""),
		Kind: h.Text("machineType", ""), Zone: h.Text("zone", ""), Cell: int(h.Int("cell", 0)),
		Weight: h.Number("weight", 1), State: state, StartStamp: clock.Stamp(h.Span("startedAtMs", time.Millisecond, 0))}
}
