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
	errMalformedResponse = errors.New("malformed response")
	errResponseTooLong   = errors.New("response over the limit")
)

const (
	crlf = "\r\n"

	maxBodySizeBits = 31  // of the size of a body
	maxSourceWait   = 1e9 // milliseconds that are credible
)

// response is one response. Its slices are of the buffer that it was read from.
type response struct {
	txn, status, fields, body []byte
}

// progress is how far the parser came: it consumed a complete response, or needs the buffer to hold so many bytes, if
// that is known (0: any more).
type progress struct{ consumed, needed int }

// parseResponse reads the response at the start of buf. Nothing is consumed where it is not complete yet.
func parseResponse(buf []byte, maxLine, maxBody int) (response, progress, error) {
	end := bytes.IndexByte(buf, '\n')
	if end < 0 || end > maxLine {
		if len(buf) > maxLine {
			return response{}, progress{}, errResponseTooLong
		}
		return response{}, progress{}, nil
	}
	r, size, err := parseLine(buf[:end])
	if err != nil {
		return response{}, progress{}, err
	}
	if size > maxBody {
		return response{}, progress{}, errResponseTooLong
	}
	body := buf[end+1:]
	length := end + 1 + size + len(crlf)
	if len(buf) < length {
		return response{}, progress{needed: length}, nil
	}
	if string(body[size:size+len(crlf)]) != crlf {
		return response{}, progress{}, errMalformedResponse
	}
	r.body = body[:size:size]
	return r, progress{consumed: length}, nil
}

// parseLine reads the first line of a response, "txn status fields size" with one space between, and returns the size
// of the body beside it.
func parseLine(line []byte) (response, int, error) {
	line, ok := bytes.CutSuffix(line, []byte("\r"))
	if !ok {
		return response{}, 0, errMalformedResponse
	}
	var words [4][]byte
	for i := range words {
		var more bool
		words[i], line, more = bytes.Cut(line, []byte(" "))
		last := i == len(words)-1
		if len(words[i]) == 0 || more == last {
			return response{}, 0, errMalformedResponse
		}
	}
	size, err := strconv.ParseUint(string(words[3]), 10, maxBodySizeBits)
	if err != nil {
		return response{}, 0, errMalformedResponse
	}
	return response{txn: words[0], status: words[1], fields: words[2]}, int(size), nil
}

// field returns the value of a field, or nil.
func (r *response) field(name string) []byte {
	for rest, more := r.fields, true; more; {
		var field []byte
		field, rest, more = bytes.Cut(rest, []byte(","))
		if key, value, ok := bytes.Cut(field, []byte("=")); ok && string(key) == name {
			return value
		}
	}
	return nil
}

// statusNotModified is the status of a response that confirms the copy which the client has.
const statusNotModified = "KEEP"

// statuses are the results of attempts, by the status of the response. Each status has exactly one meaning in the
// module.
var statuses = map[string]balancer.Status{
	"DONE":            balancer.OK,
	statusNotModified: balancer.OK,
	"LACK":            balancer.Miss,
	"WAIT":            balancer.Rejected,
	"BROKE":           balancer.Error,
	"PAST":            balancer.NotSent,
}

// details tell how the endpoint came to its response, by the word of the field "res".
var details = map[string]balancer.Detail{
	"cached":       balancer.Hit,
	"fetched":      balancer.Filled,
	"fetched_root": balancer.FilledByOrigin,
	"merged":       balancer.Coalesced,
	"past_fresh":   balancer.Stale,
	"up_refused":   balancer.SourceRejected,
	"up_lost":      balancer.SourceUnreachable,
	"up_empty":     balancer.SourceMiss,
	"fills_full":   balancer.NoFillSlot,
	"root_failed":  balancer.OriginFailed,
}

// result turns a response into the result of an attempt. The body is copied: it outlives the read buffer.
func (r *response) result() (core.AttemptResult, error) {
	status, ok := statuses[string(r.status)]
	if !ok {
		return core.AttemptResult{}, errMalformedResponse
	}
	result := core.AttemptResult{
		Status:      status,
		Detail:      details[string(r.field("res"))],
		SourceWait:  r.sourceWait(),
		NotModified: string(r.status) == statusNotModified,
	}
	switch {
	case result.NotModified:
		result.ETag = string(r.field("version"))
	case status == balancer.OK:
		result.Body = bytes.Clone(r.body)
	}
	return result, nil
}

// sourceWait is how long the endpoint waited for its source; 0 where it does not tell, or nothing credible.
func (r *response) sourceWait() time.Duration {
	millis, err := strconv.ParseFloat(string(r.field("took")), 64)
	if err != nil || !(millis > 0 && millis < maxSourceWait) {
		return 0
	}
	return time.Duration(millis * float64(time.Millisecond))
}
