package core

import (
	"time"

	"hillknot/balancer"
	"hillknot/internal/logging"
)

// endpointLogInterval is the shortest time between two log lines on changes of the endpoint list. A release causes
// thousands of changes.
const endpointLogInterval = time.Second

// endpointLog sums up the changes of the endpoint list that are not logged yet.
type endpointLog struct {
	events, entries int
	complete        bool // one of the events was a complete list
	scheduled       bool // a line is due within endpointLogInterval
}

// logEndpoints logs a change of the endpoint list at once, and the changes within endpointLogInterval after it in one
// line.
func (c *Core) logEndpoints(event balancer.EndpointUpdate) {
	l := &c.endpoints.log
	l.events++
	l.entries += len(event.Endpoints)
	l.complete = l.complete || event.Complete
	if l.scheduled {
		return
	}
	l.scheduled = true
	c.writeEndpointLog()
	c.Schedule(c.iteration.now+endpointLogInterval, func() {
		l.scheduled = false
		if l.events > 0 {
			c.writeEndpointLog()
		}
	})
}

func (c *Core) writeEndpointLog() {
	l := &c.endpoints.log
	log.Info("endpoint list updated", logging.KeyComplete, l.complete, logging.KeyEvents, l.events,
		logging.KeyChanged, l.entries, logging.KeyEndpoints, len(c.endpoints.byID))
	*l = endpointLog{scheduled: l.scheduled}
}
