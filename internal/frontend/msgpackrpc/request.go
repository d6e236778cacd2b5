package msgpackrpc

import (
	"bytes"
	"strconv"
	"time"

	"hillknot/internal/core"
	"hillknot/internal/rpc"
)

// Bounds of texts in a request, in bytes.
const (
	maxAccountBytes = 128
	maxTagBytes     = 64 // of an entity tag or an idempotency key
)

// newRequest turns a message into a request, or returns the error code that answers it. What outlives the read buffer
// is copied. With rpc.CodeBadRequest the request holds its class, for the statistics.
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
		return request, rpc.CodeBadRequest // no client of the class waits so long or sends so much
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

// requestNumbers are the fields of a request that are numbers.
type requestNumbers struct {
	timeout     time.Duration
	object      uint64
	part, group uint64
}

// parseNumbers reads the numeric fields. The time-out and the object are required; a part or group that is absent is 0.
func parseNumbers(f *rpc.Fields) (n requestNumbers, ok bool) {
	if len(f.Timeout) == 0 {
		return n, false
	}
	millis, timeoutOK := parseNumber(f.Timeout, 31)
	n.timeout = time.Duration(millis) * time.Millisecond
	var objectOK, partOK, groupOK bool
	n.object, objectOK = parseHexID(f.Item)
	n.part, partOK = parseNumber(f.Nth, 63)
	n.group, groupOK = parseNumber(f.Batch, 8)
	return n, timeoutOK && objectOK && partOK && groupOK
}

// validTexts tells whether the fields that are passed on as texts have the form that the core and page caches expect.
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

// parseNumber reads a decimal number of so many bits; an absent one is 0.
func parseNumber(b []byte, bits int) (uint64, bool) {
	if len(b) == 0 {
		return 0, true
	}
	n, err := strconv.ParseUint(string(b), 10, bits)
	return n, err == nil
}

// parseHexID reads 16 hex digits.
func parseHexID(b []byte) (uint64, bool) {
	n, err := strconv.ParseUint(string(b), 16, 64)
	return n, err == nil && len(b) == 16
}

// validTag tells whether a tag can be passed on to a page cache as one word of a line.
func validTag(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 0x7f || c == ',' || c == '=' {
			return false
		}
	}
	return len(b) <= maxTagBytes
}
