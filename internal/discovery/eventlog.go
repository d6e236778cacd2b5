package discovery

import "fmt"

// eventLog is how far the events of the service were delivered. It decides what becomes of an event that is read.
// Watcher.mu guards it.
type eventLog struct {
	last int64 // position of the latest event that was delivered; 0: none

	// refetched is the position for which the service was called again, because the event there was missing or
	// could not be read; 0: none.
	refetched int64
	advanced  chan struct{} // closed when last changes
}

// decision is what becomes of an event that was read.
type decision uint8

const (
	deliverEvent   decision = iota
	dropDuplicate           // it was delivered before
	refetchEvent            // it can't be read, or one before it is missing: the service is called again
	skipUnreadable          // it can't be read, and was requested again already
)

// decide tells what becomes of the event at a position, which could be read or not. What can't be read, and what
// follows a gap, is requested once more: it may have been damaged on its way, and a draining endpoint or a purge must
// not be missed. Where it is the same then, that is what the service holds.
func (l *eventLog) decide(position int64, readable bool) decision {
	inOrder := position == l.last+1 || l.last == 0
	switch {
	case position > 0 && position <= l.last:
		return dropDuplicate
	case readable && inOrder:
		return deliverEvent
	case l.refetched != l.last+1:
		l.refetched = l.last + 1
		return refetchEvent
	case !readable:
		return skipUnreadable
	}
	return deliverEvent
}

// advance notes that the event at a position is delivered.
func (l *eventLog) advance(position int64) {
	l.last = position
	close(l.advanced)
	l.advanced = make(chan struct{})
}

// missingEventError says that an event can't be read, or that events before it are missing.
type missingEventError struct {
	position, last int64
	cause          error // why it can't be read; nil: there is a gap before it
}

func (e *missingEventError) Error() string {
	if e.cause != nil {
		return fmt.Sprintf("unreadable event at position %d: %v", e.position, e.cause)
	}
	return fmt.Sprintf("missing events: position %d follows %d", e.position, e.last)
}

func (e *missingEventError) Unwrap() error { return e.cause }
