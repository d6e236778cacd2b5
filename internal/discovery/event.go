package discovery

import (
	"strconv"
	"time"

	"hillknot/balancer"
	"hillknot/internal/clock"
	"hillknot/internal/core"
	"hillknot/internal/jsonfields"
)

// event is one event of the service's event log.
type event struct {
	position  int64 // in the event log; 0: the event has none
	kind      eventKind
	endpoints endpointList // set for eventEndpoints
	purge     purge        // set for eventPurge
}

// eventKind is the kind of an event.
type eventKind uint8

const (
	eventEmpty     eventKind = iota // holds nothing that concerns a router
	eventEndpoints                  // holds the endpoint list, or changes to it
	eventPurge                      // invalidates cached copies
)

// endpointList is the complete endpoint list, or changes to it.
type endpointList struct {
	complete bool // endpoints that are not in updates are removed
	updates  []core.EndpointUpdate
}

// purge is the invalidation of the cached copies of an object, or of all objects of a group.
type purge struct {
	scope       purgeScope
	key         uint64        // the object or the group, as scope says
	stamp       clock.Stamp   // when the service published it, by the service's wall clock
	publishedAt time.Duration // the same moment as a reading of package clock; set by convertStamps
}

// purgeScope is what the key of a purge names.
type purgeScope uint8

const (
	purgeObject purgeScope = iota
	purgeGroup
)

// apply calls the method of the handler that fits the event. An empty event calls none.
func (e *event) apply(handler EventHandler) {
	switch {
	case e.kind == eventEndpoints && e.endpoints.complete:
		handler.ReplaceEndpoints(e.endpoints.updates)
	case e.kind == eventEndpoints:
		handler.UpdateEndpoints(e.endpoints.updates)
	case e.kind == eventPurge && e.purge.scope == purgeGroup:
		handler.PurgeGroup(e.purge.key, e.purge.publishedAt)
	case e.kind == eventPurge:
		handler.PurgeObject(e.purge.key, e.purge.publishedAt)
	}
}

// convertStamps converts the stamps of an event, which are wall clock times of the service, to readings of package clock.
// It is called once for each event; now and wall are the readings of package clock and of this machine's wall clock when
// the event arrived. A change or a purge is dated no earlier than earliest, the latest moment at which the service had not
// published it yet. This bound does not apply to a complete list, as its endpoints may have started long before.
func (e *event) convertStamps(now, wall, earliest time.Duration) {
	if e.endpoints.complete {
		earliest = 0
	}
	for i := range e.endpoints.updates {
		if update := &e.endpoints.updates[i]; update.StartStamp != 0 {
			update.StartedAt = update.StartStamp.Date(now, wall, earliest)
		}
	}
	if e.kind == eventPurge {
		e.purge.publishedAt = e.purge.stamp.Date(now, wall, earliest)
	}
}

// parseKnownEvents reads the events that the configuration of a router holds. It returns them with the position of the
// latest event, which the configuration states separately.
func parseKnownEvents(o jsonfields.Object) (events []event, last int64, err error) {
	for _, entry := range o.Objects("entries") {
		events = append(events, readEvent(entry))
	}
	last = o.Int("pos", 0)
	return events, last, o.Err()
}

// readEvent reads an event. The object's Err returns the faults. Where an event holds both endpoints and a purge, its kind
// is eventEndpoints.
func readEvent(o jsonfields.Object) event {
	e := event{position: o.Int("pos", 0)}
	if o.Has("hosts") {
		e.kind, e.endpoints = eventEndpoints, readEndpointList(o.Object("hosts"))
	}
	if o.Has("expire") {
		e.purge = readPurge(o.Object("expire"))
		if e.kind == eventEmpty {
			e.kind = eventPurge
		}
	}
	return e
}

func readEndpointList(o jsonfields.Object) endpointList {
	list := endpointList{complete: o.Bool("reset")}
	for _, instance := range o.Objects("instances") {
		list.updates = append(list.updates, readEndpoint(instance))
	}
	return list
}

func readPurge(o jsonfields.Object) purge {
	o.Require("stamp")
	p := purge{stamp: clock.Stamp(o.Duration("stamp", time.Millisecond, 0))}
	if !o.Has("name") {
		o.Require("set")
		p.scope, p.key = purgeGroup, uint64(o.Count("set", 0, 0))
		return p
	}
	object, err := strconv.ParseUint(o.String("name", ""), 16, 64)
	if err != nil {
		o.Fail("name", "is not a hexadecimal object id")
	}
	p.scope, p.key = purgeObject, object
	return p
}

// endpointStates maps the words on the wire to the states of an endpoint.
var endpointStates = map[string]balancer.EndpointState{
	"ready":    balancer.InService,
	"draining": balancer.Draining,
	"gone":     balancer.Removed,
}

// readEndpoint reads one instance of an endpoint list.
func readEndpoint(o jsonfields.Object) core.EndpointUpdate {
	o.Require("instanceId", "lifecycle")
	state, ok := endpointStates[o.String("lifecycle", "")]
	if !ok {
		o.Fail("lifecycle", "is not a known state")
	}
	return core.EndpointUpdate{
		ID:         o.String("instanceId", ""),
		Addr:       o.String("hostPort", ""),
		Kind:       o.String("machineType", ""),
		Zone:       o.String("zone", ""),
		Cell:       int(o.Int("cell", 0)),
		Weight:     o.Number("weight", 1),
		State:      state,
		StartStamp: clock.Stamp(o.Duration("startedAtMs", time.Millisecond, 0)),
	}
}
