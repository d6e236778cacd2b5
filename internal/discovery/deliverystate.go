package discovery

import "fmt"

// deliveryState tracks up to which position the events of the service were delivered, and decides what to do with an
// event that was read. Watcher.mu guards it.
type deliveryState struct {
	last int64 // position of the latest delivered event; 0: none

	// refetched is the position of the event that was last requested again because it was missing or could not be
	// read; 0: none.
	refetched int64
	advanced  chan struct{} // closed and replaced when last changes
}

// decision is what to do with an event that was read.
type decision uint8

const (
	deliverEvent   decision = iota
	dropDuplicate           // the event was delivered before
	refetchEvent            // the event can't be read, or one before it is missing: the watcher connects again to request it
	skipUnreadable          // the event can't be read, and was already requested again
)

// decide returns what to do with the event at a position; readable reports whether it could be read. An unreadable event,
// or one that follows a gap, is requested once more: it may have been damaged in transit, and a draining endpoint or a
// purge must not be missed. If the second response is the same, the service itself holds the gap or the unreadable event,
// and delivery continues after it.
func (d *deliveryState) decide(position int64, readable bool) decision {
	inOrder := position == d.last+1 || d.last == 0
	switch {
	case position > 0 && position <= d.last:
		return dropDuplicate
	case readable && inOrder:
		return deliverEvent
	case d.refetched != d.last+1:
		d.refetched = d.last + 1
		return refetchEvent
	case !readable:
		return skipUnreadable
	}
	return deliverEvent
}

// advance records that the event at a position was delivered, and wakes WaitForPosition.
func (d *deliveryState) advance(position int64) {
	d.last = position
	close(d.advanced)
	d.advanced = make(chan struct{})
}

// missingEventError says that an event can't be read, or that events before it are missing. It ends the connection, so that
// the next one requests the event again.
type missingEventError struct {
	position, last int64 // of this event, and of the latest delivered one
	cause          error // why the event can't be read; nil: events before it are missing
}

func (e *missingEventError) Error() string {
	if e.cause != nil {
		return fmt.Sprintf("unreadable event at position %d: %v", e.position, e.cause)
	}
	return fmt.Sprintf("missing events: received position %d after position %d", e.position, e.last)
}

func (e *missingEventError) Unwrap() error { return e.cause }
