package upstream

import (
	"strconv"

	"hillknot/balancer"
	"hillknot/internal/core"
)

// appendRequest appends the request of an attempt to b. Times are sent in whole milliseconds, rounded down and at least 1.
func appendRequest(b []byte, a *core.Attempt) []byte {
	request, decision := a.Request, a.Decision
	b = append(append(b, "ASK "...), request.Txn...)
	b = append(append(b, " kind="...), request.Class...)
	b = append(append(b, ",obj="...), request.ObjectText...)
	b = append(append(b, ",seg="...), request.PartText...)
	b = strconv.AppendInt(append(b, ",ms="...), max(a.Timeout.Milliseconds(), 1), 10)
	if a.Source != nil {
		b = append(append(b, ",fetch="...), a.Source.ID...)
	}
	if decision.CachePriority > 0 {
		b = strconv.AppendInt(append(b, ",retain="...), int64(decision.CachePriority), 10)
	}
	if decision.MaxAge > 0 { // on the wire, 0 would request the freshness time of the class
		b = strconv.AppendInt(append(b, ",newer="...), max(decision.MaxAge.Milliseconds(), 1), 10)
	}
	b = appendHandling(b, &decision)
	if request.ETag != "" {
		b = append(append(b, ",holds="...), request.ETag...)
	}
	if request.IdempotencyKey != "" {
		b = append(append(b, ",token="...), request.IdempotencyKey...)
	}
	b = strconv.AppendInt(append(b, ' '), int64(len(request.Body)), 10)
	b = append(append(b, "\r\n"...), request.Body...)
	return append(b, "\r\n"...)
}

// appendHandling appends the field "handle", which lists the special ways in which the endpoint may handle the request, if
// there are any.
func appendHandling(b []byte, decision *balancer.SendAttempt) []byte {
	separator := ",handle="
	for _, handling := range [...]struct {
		allowed bool
		word    string
	}{
		{decision.Coalesce, "j"},
		{decision.CachedOnly, "h"},
		{decision.Revalidate, "r"},
	} {
		if handling.allowed {
			b = append(append(b, separator...), handling.word...)
			separator = "+"
		}
	}
	return b
}

// appendCancel appends the cancellation of a request to b.
func appendCancel(b []byte, txn string) []byte {
	return append(append(append(b, "QUIT "...), txn...), "\r\n"...)
}
