package netio

import (
	"context"
	"log/slog"

	"hillknot/internal/logging"
)

// CloseReason says why a connection is closed from our side. It is logged at the level debug.
type CloseReason string

// The reasons for which a handler, or a failed read, closes a connection.
const (
	CloseMalformedInput     CloseReason = "malformed input"
	CloseInputEnded         CloseReason = "input ended, timed out or over the byte budget"
	CloseDuplicateID        CloseReason = "duplicate message id"
	CloseTooManyBadRequests CloseReason = "too many bad requests"
)

// The reasons for which a server closes a connection.
const (
	closeDraining    CloseReason = "draining"
	closeIdleTimeout CloseReason = "idle timeout"
	closeReadTimeout CloseReason = "message incomplete for too long"
	closeEvicted     CloseReason = "evicted for a new connection"
	closeShutdown    CloseReason = "server shutting down"
)

// The reasons for which any connection is closed.
const (
	closeWriteTimeout CloseReason = "peer reads nothing of what is sent"
)

// traceClose logs why a connection is closed.
func (c *Conn) traceClose(reason CloseReason) {
	if log.Enabled(context.Background(), slog.LevelDebug) {
		log.Debug("connection closing", logging.KeyRemote, c.transport.RemoteAddr(), logging.KeyReason, reason)
	}
}
