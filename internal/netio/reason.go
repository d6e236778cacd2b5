package netio

import (
	"context"
	"log/slog"
)

// CloseReason says why a connection is ended from our side. It is logged at the level debug.
type CloseReason string

// The reasons.
const (
	CloseMalformedInput     CloseReason = "what came can't be read"
	CloseInputEnded         CloseReason = "the peer has ended, or its message did not come whole in time, or too much is held"
	CloseDuplicateID        CloseReason = "an id came twice"
	CloseTooManyBadRequests CloseReason = "too many calls that can't be used"

	closeLeaving CloseReason = "the router leaves its clients"
	closeIdle    CloseReason = "nothing moved for too long"
	closeHalf    CloseReason = "a message did not come whole in time"
	closeCrowded CloseReason = "it gives way to a new connection"
	closeEnding  CloseReason = "the process ends"
)

// traceClose logs why a connection ends.
func (c *Conn) traceClose(why CloseReason) {
	if slog.Default().Enabled(context.Background(), slog.LevelDebug) {
		slog.Debug("connection ends", "remote", c.nc.RemoteAddr(), "why", why)
	}
}
