package rpc

import (
	"errors"
	"math"
	"strconv"
)

// The errors that a router words.
const (
	CodeThrottled    = "Throttled"    // refused: trying again is harmless
	CodeBadRequest   = "BadRequest"   // what was asked can't be used; it never ran
	CodeNoSuchMethod = "NoSuchMethod" // there is no such class; it never ran
)

// ResponseKind an answer brings.
type ResponseKind uint8

// The kinds of answers.
const (
	ResponseBody   ResponseKind = iota // the request was served
	ResponseError                      // it was not
	ResponseHealth                     // the router tells whether it takes clients
)

// ResponseHeader is an answer up to its body. Its slices are of the buffer that it was read from.
type ResponseHeader struct {
	ID       uint64
	Kind     ResponseKind
	BodySize int    // of Bytes: how many follow the head; then comes the tail
	Code     []byte // of Error
	Ready    bool   // of Health
	Fields   Fields
}

// IsNotModified tells whether the copy that the client holds is the one.
func (f Fields) IsNotModified() bool { return string(f.NotModified) == "1" }

// RetryAfterMillis is how long, in milliseconds, a refused client is told to stay away; 0 where it is not told, or nonsense.
func (f Fields) RetryAfterMillis() int {
	n, err := strconv.ParseUint(string(f.RetryAfter), 10, 31)
	if err != nil {
		return 0
	}
	return int(n)
}

// ParseResponseHeader reads an answer up to its body, or the whole of one without. It returns the length of that, or 0 where
// it is not there yet, with the length that is needed, as far as that is known. A head over max bytes, or a body
// over maxBody, is malformed: the length is told before anything is allocated for it.
func ParseResponseHeader(buf []byte, max, maxBody int) (ResponseHeader, Progress, error) {
	d := decoder{b: buf}
	var h ResponseHeader
	err := d.head(&h)
	if err == nil && h.BodySize > maxBody {
		err = ErrMalformed
	}
	progress, err := d.end(max, err)
	if progress.Consumed == 0 {
		h = ResponseHeader{}
	}
	return h, progress, err
}

// ParseResponseTrailer reads the fields behind a body.
func ParseResponseTrailer(buf []byte, max int) (Fields, Progress, error) {
	d := decoder{b: buf}
	var f Fields
	progress, err := d.end(max, d.fields(&f))
	if progress.Consumed == 0 {
		f = Fields{}
	}
	return f, progress, err
}

// end tells how the parsing of something of at most max bytes came out.
func (d *decoder) end(max int, err error) (Progress, error) {
	switch {
	case errors.Is(err, errShort) && d.want <= max && len(d.b) < max:
		return Progress{Needed: d.want}, nil
	case err != nil || d.i > max:
		return Progress{}, ErrMalformed
	}
	return Progress{Consumed: d.i}, nil
}

func (d *decoder) head(h *ResponseHeader) error {
	n, err := d.list()
	if err != nil {
		return err
	}
	kind, err := d.uint()
	if err != nil {
		return err
	}
	if MessageKind(kind) != KindResponse || n != 4 {
		return ErrMalformed
	}
	if h.ID, err = d.uint(); err == nil && h.ID > math.MaxUint32 {
		err = ErrMalformed
	}
	if err != nil {
		return err
	}
	c, err := d.peek()
	if err != nil {
		return err
	}
	if c != 0xc0 {
		return d.failure(h)
	}
	d.i++
	if n, err = d.list(); err == nil && n != 2 {
		err = ErrMalformed
	}
	if err == nil {
		c, err = d.peek()
	}
	if err != nil {
		return err
	}
	if c == 0xc2 || c == 0xc3 {
		d.i++
		h.Kind, h.Ready = ResponseHealth, c == 0xc3
		return d.fields(&h.Fields)
	}
	h.BodySize, err = d.size()
	return err
}

// failure reads an error, [WORD, FIELDS] or the word alone, and the result beside it, which says nothing.
func (d *decoder) failure(h *ResponseHeader) error {
	h.Kind = ResponseError
	c, err := d.peek()
	if err != nil {
		return err
	}
	n := 1
	if c&0xf0 == 0x90 || c == 0xdc || c == 0xdd {
		if n, err = d.list(); err == nil && (n < 1 || n > 2) {
			err = ErrMalformed
		}
	}
	if err == nil {
		h.Code, err = d.bytes()
	}
	if err == nil && n == 2 {
		err = d.fields(&h.Fields)
	}
	if err == nil {
		err = d.skip(maxDepth)
	}
	return err
}

// Request is what a client's call carries.
type Request struct {
	Method        string
	Txn           uint64
	TimeoutMillis int64 // milliseconds
	Retry         bool  // this is a client's retry
	Item          uint64
	Nth           uint64
	Batch         uint8
	Account       string // that pays; empty: none is named
	ResumedTxn    uint64 // the txn of the same request, whose router was lost; 0: none
	CachedTag     string // tag of the copy that the client holds; empty: none
	Body          []byte
}

// AppendRequest appends a client's request.
func AppendRequest(b []byte, id uint64, q *Request) []byte {
	fields := byte(5)
	if q.Retry {
		fields++
	}
	if q.Account != "" {
		fields++
	}
	if q.ResumedTxn != 0 {
		fields++
	}
	if q.CachedTag != "" {
		fields++
	}
	b = appendText(appendUint(append(b, 0x94, byte(KindRequest)), id), q.Method)
	b = appendText(append(b, 0x92, 0x80|fields), "txn")
	b = appendText(appendHex(b, q.Txn), "limit")
	b = appendText(appendDecimal(b, uint64(max(q.TimeoutMillis, 0))), "item")
	b = appendText(appendHex(b, q.Item), "nth")
	b = appendText(appendDecimal(b, q.Nth), "batch")
	b = appendDecimal(b, uint64(q.Batch))
	if q.Retry {
		b = appendText(appendText(b, "second"), "1")
	}
	if q.Account != "" {
		b = appendText(appendText(b, "account"), q.Account)
	}
	if q.ResumedTxn != 0 {
		b = appendHex(appendText(b, "resumes"), q.ResumedTxn)
	}
	if q.CachedTag != "" {
		b = appendText(appendText(b, "got"), q.CachedTag)
	}
	return append(appendBinHead(b, len(q.Body)), q.Body...)
}

// AppendCancel appends the notice that a client no longer waits for the answer under an id.
func AppendCancel(b []byte, id uint64) []byte {
	return appendUint(append(appendText(append(b, 0x93, byte(KindNotification)), "cancel"), 0x91), id)
}

// AppendHealthRequest appends the question whether a router takes clients.
func AppendHealthRequest(b []byte, id uint64) []byte {
	return append(appendText(appendUint(append(b, 0x94, byte(KindRequest)), id), "health"), 0x91, 0x80)
}

// appendHex appends the text of 16 hex digits.
func appendHex(b []byte, v uint64) []byte {
	const digits = "0123456789abcdef"
	b = append(b, 0xa0|16)
	for shift := 60; shift >= 0; shift -= 4 {
		b = append(b, digits[v>>shift&15])
	}
	return b
}

// appendDecimal appends the text of a number, which is never longer than 20 digits.
func appendDecimal(b []byte, v uint64) []byte {
	at := len(b)
	b = strconv.AppendUint(append(b, 0), v, 10)
	b[at] = 0xa0 | byte(len(b)-at-1)
	return b
}
