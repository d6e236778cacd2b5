package messaging

import (
	"fmt"

	"hillknot/internal/operatorhint"
)

// QueueFullError reports that too many messages are in flight to a peer, which is slow or cannot be reached.
type QueueFullError struct{ To string }

func (e QueueFullError) Error() string {
	return fmt.Sprintf("too many messages in flight to router %q", e.To)
}

// Hint implements operatorhint.Error.
func (QueueFullError) Hint() string {
	return "Check whether that router is running and how busy its machine is. Messages in flight to it time out by themselves."
}

// MessageTooLongError reports that a message is longer than Settings.MaxMessageBytes.
type MessageTooLongError struct{ Bytes, Limit int }

func (e MessageTooLongError) Error() string {
	return fmt.Sprintf("message of %d bytes is longer than %d bytes", e.Bytes, e.Limit)
}

// Hint implements operatorhint.Error.
func (MessageTooLongError) Hint() string {
	return "Lower body_bytes, so that longer bodies are left out of records."
}

// NotAcknowledgedError reports that a peer did not acknowledge a message before its deadline. The peer may have received
// the message nevertheless.
type NotAcknowledgedError struct{ To string }

func (e NotAcknowledgedError) Error() string {
	return fmt.Sprintf("router %q did not acknowledge a message in time", e.To)
}

// Hint implements operatorhint.Error.
func (NotAcknowledgedError) Hint() string {
	return "Check app_fleet_others: the router is down or cut off, or has different keys."
}

// ProcessReplacedError reports that the process that a message was for has ended, and another process of the peer runs.
type ProcessReplacedError struct{ To string }

func (e ProcessReplacedError) Error() string {
	return fmt.Sprintf("another process of router %q runs now", e.To)
}

// Hint implements operatorhint.Error.
func (ProcessReplacedError) Hint() string {
	return "No action is needed after a restart. If the error persists, two routers have the same name: give each its own."
}

// Errors holds an example of each error type of this package, as docs/errors.md shows it.
var Errors = []operatorhint.Error{
	QueueFullError{"r2"},
	MessageTooLongError{30000, 20480},
	NotAcknowledgedError{"r2"},
	ProcessReplacedError{"r2"},
}
