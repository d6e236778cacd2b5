package upstream

import (
	"bytes"
	"errors"
	"strconv"
	"time"

	"hillknot/balancer"
	"hillknot/internal/core"
)

var (
	errGarbled = errors.New("garbled answer")
	errTooLong = errors.New("answer over the limit")
)

// answer is one answer. Its slices are of the buffer that it was read from.
type answer struct {
	id, word, fields, body []byte
}

// parse reads the answer at the start of buf. It returns its length, or 0 where it is not whole yet, with
// the length that is needed, as far as that is known.
func parse(buf []byte, maxLine, maxBody int) (a answer, n, want int, err error) {
	end := bytes.IndexByte(buf, '\n')
	if end < 0 || end > maxLine {
		if len(buf) > maxLine {
			return a, 0, 0, errTooLong
		}
		return a, 0, 0, nil
	}
	line, ok := bytes.CutSuffix(buf[:end], []byte("\r"))
	if !ok {
		return a, 0, 0, errGarbled
	}
	var words [4][]byte
	for i := range words {
		more := false
		words[i], line, more = bytes.Cut(line, []byte(" "))
		if len(words[i]) == 0 || more != (i < len(words)-1) {
			return a, 0, 0, errGarbled
		}
	}
	size, err := strconv.ParseUint(string(words[3]), 10, 31)
	if err != nil {
		return a, 0, 0, errGarbled
	}
	if size > uint64(maxBody) {
		return a, 0, 0, errTooLong
	}
	body := buf[end+1:]
	if n = end + 1 + int(size) + 2; len(buf) < n {
		return a, 0, n, nil
	}
	if string(body[size:size+2]) != "\r\n" {
		return a, 0, 0, errGarbled
	}
	return answer{words[0], words[1], words[2], body[:size:size]}, n, 0, nil
}

// field returns the value of a field, or nil.
func (a answer) field(name string) []byte {
	for rest, more := a.fields, true; more; {
		var f []byte
		f, rest, more = bytes.Cut(rest, []byte(","))
		if k, v, ok := bytes.Cut(f, []byte("=")); ok && string(k) == name {
			return v
		}
	}
	return nil
}

// Each word and each note has exactly one meaning in the module.
var (
	statuses = map[string]balancer.Status{"DONE": balancer.OK, "KEEP": balancer.OK, "LACK": balancer.Miss, "WAIT": balancer.Rejected,
		"BROKE": balancer.Error, "PAST": balancer.NotSent}
	notes = map[string]balancer.Detail{"cached": balancer.Hit, "fetched": balancer.Filled, "fetched_root": balancer.FilledByOrigin,
		"merged": balancer.Coalesced, "past_fresh": balancer.Stale, "up_refused": balancer.SourceRejected, "up_lost": balancer.SourceUnreachable,
		"up_empty": balancer.SourceMiss, "fills_full": balancer.NoFillSlot, "root_failed": balancer.OriginFailed}
)

// end turns an answer into the end of an attempt. The body is copied: it outlives the read buffer.
func (a answer) end() (core.AttemptResult, error) {
	status, ok := statuses[string(a.word)]
	if !ok {
		return core.AttemptResult{}, errGarbled
	}
	e := core.AttemptResult{Status: status, Detail: notes[string(a.field("res"))], NotModified: string(a.word) == "KEEP"}
	if ms, err := strconv.ParseFloat(string(a.field("took")), 64); err == nil && ms > 0 && ms < 1e9 {
		e.SourceWait = time.Duration(ms * float64(time.Millisecond))
	}
	switch {
	case e.NotModified:
		e.ETag = string(a.field("version"))
	case status == balancer.OK:
		e.Body = bytes.Clone(a.body)
	}
	return e, nil
}

// appendAsk appends the request of an attempt. A time that is not whole milliseconds is cut.
func appendAsk(b []byte, a *core.Attempt) []byte {
	q, g := a.Request, a.Decision
	b = append(append(b, "ASK "...), q.Txn...)
	b = append(append(b, " kind="...), q.Class...)
	b = append(append(b, ",obj="...), q.ObjectText...)
	b = append(append(b, ",seg="...), q.PartText...)
	b = strconv.AppendInt(append(b, ",ms="...), max(a.Timeout.Milliseconds(), 1), 10)
	if a.Source != nil {
		b = append(append(b, ",fetch="...), a.Source.ID...)
	}
	if g.CachePriority > 0 {
		b = strconv.AppendInt(append(b, ",retain="...), int64(g.CachePriority), 10)
	}
	if g.MaxAge > 0 { // 0 would ask for the fresh time of the class
		b = strconv.AppendInt(append(b, ",newer="...), max(g.MaxAge.Milliseconds(), 1), 10)
	}
	sep := ",handle="
	for _, h := range []struct {
		on   bool
		word string
	}{{g.Coalesce, "j"}, {g.CachedOnly, "h"}, {g.Revalidate, "r"}} {
		if h.on {
			b = append(append(b, sep...), h.word...)
			sep = "+"
		}
	}
	if q.ETag != "" {
		b = append(append(b, ",holds="...), q.ETag...)
	}
	if q.IdempotencyKey != "" {
		b = append(append(b, ",token="...), q.IdempotencyKey...)
	}
	b = strconv.AppendInt(append(b, ' '), int64(len(q.Body)), 10)
	b = append(append(b, "\r\n"...), q.Body...)
	return append(b, "\r\n"...)
}

func appendQuit(b []byte, txn string) []byte {
	return append(append(append(b, "QUIT "...), txn...), "\r\n"...)
}
