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
	errResponseTooLong   = errors.New("response line or body too long")
)

const (
	crlf = "\r\n"

	maxBodySizeBits = 31  // bits in which the size of a body must fit
	maxSourceWait   = 1e9 // milliseconds; longer waits are not credible
)

// response is one parsed response. Its slices point into the buffer that it was read from.
type response struct {
	txn, status, fields, body []byte
}

// parseProgress is the progress of the parser in bytes: consumed is the length of a complete response, and needed is how
// many bytes the buffer must hold for one that is incomplete (0: unknown, any number more than now).
type parseProgress struct{ consumed, needed int }

// parseResponse parses the response at the start of buf. It consumes nothing if the response is incomplete. It returns an
// error if the response is malformed, or if its line or body is longer than maxLine or maxBody bytes.
func parseResponse(buf []byte, maxLine, maxBody int) (response, parseProgress, error) {
	end := bytes.IndexByte(buf, '\n')
	if end < 0 || end > maxLine {
		if len(buf) > maxLine {
			return response{}, parseProgress{}, errResponseTooLong
		}
		return response{}, parseProgress{}, nil
	}
	r, size, err := parseLine(buf[:end])
	if err != nil {
		return response{}, parseProgress{}, err
	}
	if size > maxBody {
		return response{}, parseProgress{}, errResponseTooLong
	}
	body := buf[end+1:]
	length := end + 1 + size + len(crlf)
	if len(buf) < length {
		return response{}, parseProgress{needed: length}, nil
	}
	if string(body[size:size+len(crlf)]) != crlf {
		return response{}, parseProgress{}, errMalformedResponse
	}
	r.body = body[:size:size]
	return r, parseProgress{consumed: length}, nil
}

// parseLine parses the first line of a response, which is "txn status fields size" separated by single spaces. It returns
// the response without its body, and the size of the body in bytes.
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

// field returns the value of a field, or nil if the response does not have it.
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

// statusNotModified is the status word of a response that confirms the copy that the client has.
const statusNotModified = "KEEP"

// statuses maps the status word of a response to the status of the attempt. Each status word has exactly one meaning in the
// module.
var statuses = map[string]balancer.Status{
	"DONE":            balancer.OK,
	statusNotModified: balancer.OK,
	"LACK":            balancer.Miss,
	"WAIT":            balancer.Rejected,
	"BROKE":           balancer.Error,
	"PAST":            balancer.NotSent,
}

// details maps the word of the field "res" to the detail of the attempt's status, which says how the endpoint obtained its
// response.
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

// result converts a response to the result of an attempt. It copies the body, because the result outlives the read buffer.
// It returns an error if the status word is unknown.
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

// sourceWait returns how long the endpoint waited for its source, or 0 if the response does not contain a credible time.
func (r *response) sourceWait() time.Duration {
	millis, err := strconv.ParseFloat(string(r.field("took")), 64)
	if err != nil || !(millis > 0 && millis < maxSourceWait) {
		return 0
	}
	return time.Duration(millis * float64(time.Millisecond))
}
