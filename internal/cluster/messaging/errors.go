package messaging

import (
	"fmt"

	"hillknot/internal/operatorhint"
)

// QueueFullError says that too many messages are in flight to a peer: it is slow, or can't be reached.
type QueueFullError struct{ To string }

func (e QueueFullError) Error() string { return fmt.Sprintf("too many parcels on the way to %q", e.To) }

// Hint implements operatorhint.Error.
func (QueueFullError) Hint() string {
	return "Look whether that router is up and how busy its machine is; what is on the way to it is given up by itself."
}

// MessageTooLongError says that a message is over Settings.MaxMessageBytes.
type MessageTooLongError struct{ Bytes, Limit int }

func (e MessageTooLongError) Error() string {
	return fmt.Sprintf("a parcel of %d bytes, over %d", e.Bytes, e.Limit)
}

// Hint implements operatorhint.Error.
func (MessageTooLongError) Hint() string {
	return "Lower body_bytes, so that longer bodies are left out of records."
}

// NotAcknowledgedError says that a peer did not acknowledge a message in time. It may have got it all the same.
type NotAcknowledgedError struct{ To string }

func (e NotAcknowledgedError) Error() string {
	return fmt.Sprintf("%q did not say in time that it holds a parcel", e.To)
}

// Hint implements operatorhint.Error.
func (NotAcknowledgedError) Hint() string {
	return "Look at app_fleet_others: the router is down or cut off, or has other keys."
}

// ProcessReplacedError says that the process that a message was for has ended: another process of the peer is there.
type ProcessReplacedError struct{ To string }

func (e ProcessReplacedError) Error() string {
	return fmt.Sprintf("another process of %q is there now", e.To)
}

// Hint implements operatorhint.Error.
func (ProcessReplacedError) Hint() string {
	return "None is needed after a restart; if it goes on, two routers have one name: give each its own."
}

// Errors holds an example of each type of this package, as docs/errors.md shows it.
var Errors = []operatorhint.Error{
	QueueFullError{"r2"},
	MessageTooLongError{30000, 20480},
	NotAcknowledgedError{"r2"},
	ProcessReplacedError{"r2"},
}
