package discovery

import (
	"strconv"
	"time"

	"hillknot/balancer"
	"hillknot/internal/clock"
	"hillknot/internal/core"
	"hillknot/internal/jsonfields"
)

// event is one event of the service's log.
type event struct {
	position  int64
	kind      eventKind
	endpoints endpointList // of eventEndpoints
	purge     purge        // of eventPurge
}

// eventKind is what an event is about.
type eventKind uint8

const (
	eventEmpty     eventKind = iota // nothing that concerns a router
	eventEndpoints                  // the list of endpoints, or changes to it
	eventPurge                      // cached copies that are outdated
)

// endpointList is the list of endpoints, or changes to it.
type endpointList struct {
	complete bool // endpoints that are not named are removed
	updates  []core.EndpointUpdate
}

// purge is the invalidation of the cached copies of an object, or of all objects of a group.
type purge struct {
	scope purgeScope
	key   uint64        // the object or the group
	stamp clock.Stamp   // when the service published it
	at    time.Duration // when that was, on the core's clock
}

type purgeScope uint8

const (
	purgeObject purgeScope = iota
	purgeGroup
)

// apply hands the event to the handler.
func (e *event) apply(handler EventHandler) {
	switch {
	case e.kind == eventEndpoints && e.endpoints.complete:
		handler.ReplaceEndpoints(e.endpoints.updates)
	case e.kind == eventEndpoints:
		handler.UpdateEndpoints(e.endpoints.updates)
	case e.kind == eventPurge && e.purge.scope == purgeGroup:
		handler.PurgeGroup(e.purge.key, e.purge.at)
	case e.kind == eventPurge:
		handler.PurgeObject(e.purge.key, e.purge.at)
	}
}

// setTimes turns the stamps of an event that arrived at now, with the own wall clock at wall, into times of the core's
// clock, once and for all. Changes are no older than earliest, the latest moment at which the service had not published
// them yet. A complete list also tells of starts that are long past.
func (e *event) setTimes(now, wall, earliest time.Duration) {
	if e.endpoints.complete {
		earliest = 0
	}
	for i := range e.endpoints.updates {
		if update := &e.endpoints.updates[i]; update.StartStamp != 0 {
			update.StartedAt = update.StartStamp.Date(now, wall, earliest)
		}
	}
	if e.kind == eventPurge {
		e.purge.at = e.purge.stamp.Date(now, wall, earliest)
	}
}

// parseStart reads the events that the configuration of a router brings. It returns them with the position of the
// latest.
func parseStart(o jsonfields.Object) (events []event, last int64, err error) {
	for _, entry := range o.Objects("entries") {
		events = append(events, readEvent(entry))
	}
	last = o.Int("pos", 0)
	return events, last, o.Err()
}

// readEvent reads an event. What is wrong with it is told by the Err of its object.
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
		o.Fail("name", "is no object")
	}
	p.scope, p.key = purgeObject, object
	return p
}

// endpointStates are the states of endpoints, by their words on the wire.
var endpointStates = map[string]balancer.EndpointState{
	"ready":    balancer.InService,
	"draining": balancer.Draining,
	"gone":     balancer.Removed,
}

// readEndpoint reads one instance of a list.
func readEndpoint(o jsonfields.Object) core.EndpointUpdate {
	o.Require("instanceId", "lifecycle")
	state, ok := endpointStates[o.String("lifecycle", "")]
	if !ok {
		o.Fail("lifecycle", "is no state that is known")
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
