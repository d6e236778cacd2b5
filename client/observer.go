package client

import (
	"sync"
	"time"

	"hillknot/client/policy"
)

// Event is the kind of an Observation.
type Event uint8

// The events.
const (
	Tried        Event = iota // an attempt is sent; see Retry
	Answered                  // a router has answered an attempt; see Result and Wait
	Ended                     // a request has ended; see Verdict, Tries and Took
	Connected                 // a connection is up
	DialFailed                // a connection did not come up; see Err
	Disconnected              // a connection has ended; see Err
	Drained                   // a router reported in a health check that it accepts no clients now
)

// Observation is an event for Config.Observer. What determines which fields are set.
type Observation struct {
	What    Event
	Router  string // address; empty if the event concerns no router
	Class   string
	Retry   bool
	Result  policy.Result
	Verdict policy.Verdict
	Wait    time.Duration // the router's Retry-After; 0: none
	Tries   int           // attempts that were sent
	Took    time.Duration // over all attempts
	Err     error
}

// observer calls Config.Observer for observations that were added under the client's lock, in order, once the lock is
// released.
type observer struct {
	notify   func(Observation) // may be nil
	pending  []Observation     // guarded by the client's lock
	notifyMu sync.Mutex        // held while notify is called
}

// add queues an observation. The client's lock is held.
func (o *observer) add(observation Observation) {
	if o.notify != nil {
		o.pending = append(o.pending, observation)
	}
}

// unlockAndNotify releases the client's lock and calls notify for the pending observations.
func (o *observer) unlockAndNotify(clientLock *sync.Mutex) {
	if len(o.pending) == 0 {
		clientLock.Unlock()
		return
	}
	o.notifyMu.Lock() // locked before the client's lock is released, so that observations can't overtake each other
	defer o.notifyMu.Unlock()
	pending := o.pending
	o.pending = nil
	clientLock.Unlock()
	for _, observation := range pending {
		o.notify(observation)
	}
}
