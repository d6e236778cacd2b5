package msgpackrpc

import (
	"bytes"
	"strconv"
	"time"

	"hillknot/internal/core"
	"hillknot/internal/rpc"
)

// Limits of the strings in a request, in bytes.
const (
	maxAccountBytes = 128
	maxTagBytes     = 64 // of an entity tag or an idempotency key
)

// newRequest converts a message into a request, or returns the error code to answer it with. It copies all data, as the
// read buffer is reused. With rpc.CodeBadRequest, the request holds its class, for the statistics.
func (s *Server) newRequest(m rpc.Message) (request core.Request, code string) {
	class, ok := s.classes[string(m.Method)]
	if !ok {
		return request, rpc.CodeNoSuchMethod
	}
	request.Class = class.Name
	numbers, ok := parseNumbers(&m.Fields)
	if !ok || !validTexts(&m.Fields) {
		return request, rpc.CodeBadRequest
	}
	if class.Deadline > 0 && numbers.timeout > class.Deadline || len(m.Body) > s.limits.BodyBytes {
		return request, rpc.CodeBadRequest // no valid client of the class waits longer or sends a longer body
	}
	part := string(m.Fields.Nth)
	if part == "" {
		part = "0"
	}
	return core.Request{
		Txn:            string(m.Fields.Txn),
		ObjectText:     string(m.Fields.Item),
		PartText:       part,
		Class:          string(m.Method),
		Object:         numbers.object,
		Part:           numbers.part,
		Group:          numbers.group,
		Timeout:        numbers.timeout,
		ETag:           string(m.Fields.CachedTag),
		IdempotencyKey: string(m.Fields.IdempotencyKey),
		Body:           bytes.Clone(m.Body),
		Write:          class.Write,
		Retry:          string(m.Fields.Retry) == "1",
		ResumesTxn:     string(m.Fields.ResumedTxn),
		Account:        string(m.Fields.Account),
	}, ""
}

// requestNumbers holds the numeric fields of a request.
type requestNumbers struct {
	timeout     time.Duration
	object      uint64
	part, group uint64
}

// parseNumbers reads the numeric fields. The timeout and the object are required. A part or group that is absent is 0.
func parseNumbers(f *rpc.Fields) (n requestNumbers, ok bool) {
	if len(f.Timeout) == 0 {
		return n, false
	}
	millis, timeoutOK := parseDecimal(f.Timeout, 31)
	n.timeout = time.Duration(millis) * time.Millisecond
	var objectOK, partOK, groupOK bool
	n.object, objectOK = parseHexID(f.Item)
	n.part, partOK = parseDecimal(f.Nth, 63)
	n.group, groupOK = parseDecimal(f.Batch, 8)
	return n, timeoutOK && objectOK && partOK && groupOK
}

// validTexts reports whether the fields that are passed on as text have the form that the core and page caches expect.
func validTexts(f *rpc.Fields) bool {
	if _, ok := parseHexID(f.Txn); !ok {
		return false
	}
	if len(f.ResumedTxn) > 0 {
		if _, ok := parseHexID(f.ResumedTxn); !ok {
			return false
		}
	}
	return validTag(f.CachedTag) && validTag(f.IdempotencyKey) && len(f.Account) <= maxAccountBytes
}

// parseDecimal reads a decimal number that must fit in bits bits. An absent number is 0.
func parseDecimal(b []byte, bits int) (uint64, bool) {
	if len(b) == 0 {
		return 0, true
	}
	n, err := strconv.ParseUint(string(b), 10, bits)
	return n, err == nil
}

// parseHexID reads an id of exactly 16 hex digits.
func parseHexID(b []byte) (uint64, bool) {
	n, err := strconv.ParseUint(string(b), 16, 64)
	return n, err == nil && len(b) == 16
}

// validTag reports whether a tag can be sent to a page cache as one word of a line: it contains no white space, comma,
// equals sign, control character or byte outside ASCII, and is not too long.
func validTag(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 0x7f || c == ',' || c == '=' {
			return false
		}
	}
	return len(b) <= maxTagBytes
}
