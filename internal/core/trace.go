package core

import (
	"context"
	"log/slog"
)

// At the level debug the log has a line for each request, attempt and end, so that a bad minute can be counted over
// the logs of a whole fleet. The request's line has its txn, the id under which page caches and the bench know it.
// At any other level these cost one look at a flag.

// tracing tells whether anybody reads the lines.
func tracing() bool { return slog.Default().Enabled(context.Background(), slog.LevelDebug) }

func (c *Core) traceRequest(r *request) {
	if c.trace {
		slog.Debug("request", "id", r.id, "txn", r.Txn, "class", r.Class, "object", r.ObjectText, "part", r.Part, "left", r.end-c.now, "again", r.Retry)
	}
}

// traceTurnedAway tells why a request was not taken.
func (c *Core) traceTurnedAway(q *Request, why string) {
	if c.trace {
		slog.Debug("request turned away", "txn", q.Txn, "class", q.Class, "why", why)
	}
}

func (c *Core) traceAttempt(a *Attempt) {
	if c.trace {
		source := "none"
		if a.Source != nil {
			source = a.Source.ID
		}
		slog.Debug("attempt", "id", a.owner.id, "n", a.Index, "node", a.Endpoint.ID, "source", source, "keep", a.Decision.CachePriority, "age", a.Decision.MaxAge)
	}
}

func (c *Core) traceEnd(a *Attempt, e AttemptResult) {
	if c.trace {
		slog.Debug("end", "id", a.owner.id, "n", a.Index, "status", e.Status, "note", e.Detail, "took", c.now-a.sent, "waited", e.SourceWait)
	}
}

func (c *Core) traceAnswer(r *request, v Verdict) {
	if c.trace {
		slog.Debug("answer", "id", r.id, "verdict", v, "after", c.now-r.since)
	}
}
