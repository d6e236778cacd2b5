package netio

import (
	"context"
	"log/slog"

	"hillknot/internal/logging"
)

// CloseReason is the reason why this side closes a connection. It is logged at level debug.
type CloseReason string

// Reasons for a handler or a failed read to close a connection.
const (
	CloseMalformedInput     CloseReason = "malformed input"
	CloseInputEnded         CloseReason = "input ended, timed out or over the byte budget"
	CloseDuplicateID        CloseReason = "duplicate message id"
	CloseTooManyBadRequests CloseReason = "too many bad requests"
)

// Reasons for a server to close a connection.
const (
	closeDraining    CloseReason = "draining"
	closeIdleTimeout CloseReason = "idle timeout"
	closeReadTimeout CloseReason = "message incomplete for too long"
	closeEvicted     CloseReason = "evicted for a new connection"
	closeShutdown    CloseReason = "server shutting down"
)

// Reasons that apply to accepted and dialed connections.
const (
	closeWriteTimeout CloseReason = "peer reads nothing of what is sent"
)

// logClose logs the reason why the connection is closed, at level debug.
func (c *Conn) logClose(reason CloseReason) {
	if log.Enabled(context.Background(), slog.LevelDebug) {
		log.Debug("connection closing", logging.KeyRemote, c.transport.RemoteAddr(), logging.KeyReason, reason)
	}
}
