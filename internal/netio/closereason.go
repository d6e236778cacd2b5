package netio

import (
	"context"
	"log/slog"
	"sync/atomic"

	"hillknot/internal/logging"
)

// CloseReason is the reason why this side closes a connection. It is logged at level debug and counted.
type CloseReason uint8

// The reasons. The exported ones are those of a handler or of a failed read, and the next five those of a server.
const (
	CloseMalformedInput CloseReason = iota
	CloseInputEnded
	CloseDuplicateID
	CloseTooManyBadRequests
	CloseTooManyRefusals
	CloseTooManyAtShutdown
	closeDraining
	closeIdleTimeout
	closeReadTimeout
	closeEvicted
	closeShutdown
	closeWriteTimeout
	closeTooMuchPending
	closeInputFlood
	closeReasonCount
)

var closeReasonTexts = [closeReasonCount]string{
	CloseMalformedInput:     "malformed input",
	CloseInputEnded:         "input ended, timed out or over the byte budget",
	CloseDuplicateID:        "duplicate message id",
	CloseTooManyBadRequests: "too many bad requests",
	CloseTooManyRefusals:    "too many refusals wait to be sent",
	CloseTooManyAtShutdown:  "too many requests during a shutdown",
	closeDraining:           "draining",
	closeIdleTimeout:        "idle timeout",
	closeReadTimeout:        "message incomplete for too long",
	closeEvicted:            "evicted for a new connection",
	closeShutdown:           "server shutting down",
	closeWriteTimeout:       "peer reads nothing of what is sent",
	closeTooMuchPending:     "too many bytes wait to be written",
	closeInputFlood:         "peer sent too much before it was asked",
}

// String returns the reason as it is logged.
func (r CloseReason) String() string { return closeReasonTexts[r] }

// closeCounts counts the closes of this process by their reason.
var closeCounts [closeReasonCount]atomic.Uint64

// CloseCount says how many connections were closed for a reason.
type CloseCount struct {
	Reason CloseReason
	Count  uint64
}

// CloseCounts returns how many connections this process has closed, by reason.
func CloseCounts() []CloseCount {
	counts := make([]CloseCount, closeReasonCount)
	for i := range counts {
		counts[i] = CloseCount{CloseReason(i), closeCounts[i].Load()}
	}
	return counts
}

// recordClose logs the reason why the connection is closed, at level debug, and counts it.
func (c *Conn) recordClose(reason CloseReason) {
	closeCounts[reason].Add(1)
	if log.Enabled(context.Background(), slog.LevelDebug) {
		log.Debug("connection closing", logging.KeyRemote, c.origin.remote, logging.KeyReason, reason.String())
	}
}
