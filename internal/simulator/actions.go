package simulator

import (
	"strconv"
	"strings"
	"time"

	"hillknot/balancer"
)

// Bits of the field "manner" of a LOOK_AND_FILL line.
const (
	mannerCoalesce   = 1 << 0
	mannerCachedOnly = 1 << 1
	mannerRevalidate = 1 << 3
)

// AppendAction appends the line for an action of an instance.
func AppendAction(b []byte, instance string, a balancer.Action) []byte {
	switch a := a.(type) {
	case balancer.SendAttempt:
		b = appendAttempt(b, instance, a)
	case balancer.Reject:
		b = appendUint(appendHead(b, "SAY_NO", instance), "id", uint64(a.ID))
		b = appendNonzeroMicros(b, "stayAwayUs", a.RetryAfter)
	case balancer.Fail:
		b = appendUint(appendHead(b, "END_FAILED", instance), "id", uint64(a.ID))
	case balancer.CancelAttempt:
		b = appendUint(appendHead(b, "ABANDON", instance), "id", uint64(a.ID))
		b = appendUint(b, "copy", uint64(a.Attempt))
	case balancer.WatchEndpoints:
		b = appendUint(appendHead(b, "OBSERVE", instance), "want", 1)
	case balancer.SetTimer:
		b = appendUint(appendHead(b, "SCHEDULE", instance), "cookie", a.Token)
		b = appendMicros(b, "spanUs", a.Delay)
	}
	return append(b, '\n')
}

// appendAttempt appends the line for an attempt, without its end.
func appendAttempt(b []byte, instance string, a balancer.SendAttempt) []byte {
	b = appendHead(b, "LOOK_AND_FILL", instance)
	b = appendUint(b, "id", uint64(a.ID))
	b = appendUint(b, "node", uint64(a.Endpoint))
	b = appendNonzeroMicros(b, "allowForUs", a.Timeout)
	b = appendUint(b, "fromWhere", uint64(a.Source))
	b = appendUint(b, "admit", uint64(a.CachePriority))
	b = appendNonzeroMicros(b, "ageSpanUs", a.MaxAge)
	manner := uint64(0)
	if a.Coalesce {
		manner |= mannerCoalesce
	}
	if a.CachedOnly {
		manner |= mannerCachedOnly
	}
	if a.Revalidate {
		manner |= mannerRevalidate
	}
	return appendUint(b, "manner", manner)
}

// AppendException appends the line that reports that the decision code of an instance failed. Line ends in text become
// spaces.
func AppendException(b []byte, instance, text string) []byte {
	b = appendKey(appendHead(b, "EXCEPTION", instance), "noteText")
	return append(append(b, strings.ReplaceAll(text, "\n", " ")...), '\n')
}

// AppendDone appends the line that ends a reply.
func AppendDone(b []byte) []byte { return append(b, "FINISHED\n"...) }

// appendHead appends the name of a line and the field with the instance.
func appendHead(b []byte, name, instance string) []byte {
	return append(appendKey(append(b, name...), "i"), instance...)
}

// appendKey appends a tab, the name of a field and an equals sign.
func appendKey(b []byte, name string) []byte {
	return append(append(append(b, '\t'), name...), '=')
}

func appendUint(b []byte, name string, v uint64) []byte {
	return strconv.AppendUint(appendKey(b, name), v, 10)
}

// appendMicros appends a field with a duration in whole microseconds.
func appendMicros(b []byte, name string, d time.Duration) []byte {
	return strconv.AppendInt(appendKey(b, name), int64(d/time.Microsecond), 10)
}

// appendNonzeroMicros is appendMicros for a field that is left out if it is 0.
func appendNonzeroMicros(b []byte, name string, d time.Duration) []byte {
	if d == 0 {
		return b
	}
	return appendMicros(b, name, d)
}
