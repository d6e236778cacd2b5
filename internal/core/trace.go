package core

import (
	"context"
	"log/slog"

	"hillknot/internal/logging"
)

// At level debug the log has a line for the start and the end of each request and of each attempt, so that the events of
// an incident can be counted over the logs of all routers. The line on a received request has both its txn, by which
// page caches and clients know it, and its sequence number, which the other lines have. At any other level the lines
// cost one check of a flag.

// debugEnabled reports whether debug lines are logged.
func debugEnabled() bool { return slog.Default().Enabled(context.Background(), slog.LevelDebug) }

func (c *Core) traceRequest(r *request) {
	if c.traceEnabled {
		log.Debug("request received", logging.KeySequence, r.id, logging.KeyRequestID, r.Txn,
			logging.KeyClass, r.Class, logging.KeyObject, r.ObjectText, logging.KeyPart, r.Part,
			logging.KeyTimeout, r.deadline-c.iteration.now, logging.KeyRetry, r.Retry)
	}
}

func (c *Core) traceRejected(q *Request, reason RefusalReason) {
	if c.traceEnabled {
		log.Debug("request rejected", logging.KeyRequestID, q.Txn, logging.KeyClass, q.Class, logging.KeyReason, reason.String())
	}
}

func (c *Core) traceAttempt(a *Attempt) {
	if c.traceEnabled {
		source := "none"
		if a.Source != nil {
			source = a.Source.ID
		}
		log.Debug("attempt started", logging.KeySequence, a.owner.id, logging.KeyAttempt, a.Index,
			logging.KeyEndpoint, a.Endpoint.ID, logging.KeyZone, a.Endpoint.placement.Zone,
			logging.KeyCell, a.Endpoint.placement.Cell, logging.KeyRepeat, a.Decision.Repeat, logging.KeySource, source,
			logging.KeyCachePriority, a.Decision.CachePriority, logging.KeyMaxAge, a.Decision.MaxAge)
	}
}

func (c *Core) traceAttemptEnd(a *Attempt, result AttemptResult) {
	if c.traceEnabled {
		log.Debug("attempt ended", logging.KeySequence, a.owner.id, logging.KeyAttempt, a.Index,
			logging.KeyStatus, result.Status, logging.KeyDetail, result.Detail,
			logging.KeyDuration, c.iteration.now-a.sentAt, logging.KeySourceWait, result.SourceWait)
	}
}

func (c *Core) traceAnswer(r *request, v Verdict) {
	if c.traceEnabled {
		log.Debug("request answered", logging.KeySequence, r.id, logging.KeyVerdict, v,
			logging.KeyDuration, c.iteration.now-r.acceptedAt)
	}
}
