// Package rpc encodes and parses the MessagePack-RPC messages that clients and routers exchange.
//
// It holds no state and does no I/O. The slices that a parser returns point into the buffer that it was given, and are
// valid until that buffer changes. An encoder appends to the buffer that it is given and returns the extended buffer.
package rpc

import (
	"errors"
	"strconv"
)

// ErrMalformed reports that the bytes are not a valid message, and that no further bytes can make them one. The
// connection can't be used any more.
var ErrMalformed = errors.New("malformed message")

// Progress reports how much of a buffer a parser has used.
type Progress struct {
	Consumed int // length of the value in bytes; 0: the value is incomplete
	Needed   int // bytes that the buffer must hold before the next attempt, as far as known; 0: at least one more byte
}

// MessageKind is the kind of a message, which is its first element.
type MessageKind uint64

// The kinds of messages, as MessagePack-RPC numbers them.
const (
	KindRequest      MessageKind = 0
	KindResponse     MessageKind = 1
	KindNotification MessageKind = 2
)

// Message is a request or a notification, as a router reads it.
type Message struct {
	Kind       MessageKind
	ID         uint64 // message id that the client gave a request and that the response repeats; at most 32 bits
	Method     []byte
	ParamCount int // number of parameters, with those that the parser ignores
	Fields     Fields
	Body       []byte
	IDs        []uint64 // unsigned integers among the parameters: in a "cancel", the ids of the cancelled requests
}

// Fields holds the raw values of the fields of a request or a response. The last three occur in responses, all others in
// requests. A field that the message does not have is nil.
type Fields struct {
	Txn            []byte // the client's own id of the request, in hex digits
	Timeout        []byte // how long the client waits, in milliseconds
	Item           []byte
	Nth            []byte
	Batch          []byte
	CachedTag      []byte // version of the copy that the client has
	Retry          []byte // "1": the client has sent the request before
	IdempotencyKey []byte
	ResumedTxn     []byte // txn under which the client sent the same request to a router that it has lost
	Account        []byte // prepaid account that pays for the request

	NotModified []byte
	RetryAfter  []byte
	Reason      []byte
}

// The names of the fields of responses.
const (
	FieldNotModified = "ok304"  // "1": the copy that the client has is current
	FieldRetryAfter  = "later"  // how long the client of a rejected request should wait, in milliseconds
	FieldReason      = "reason" // why the request was rejected; absent: overload
)

// The names of the fields of requests.
const (
	fieldTxn            = "txn"
	fieldTimeout        = "limit"
	fieldItem           = "item"
	fieldNth            = "nth"
	fieldBatch          = "batch"
	fieldCachedTag      = "got"
	fieldRetry          = "second"
	fieldIdempotencyKey = "unique"
	fieldResumedTxn     = "resumes"
	fieldAccount        = "account"
)

// The names of the methods that are not the name of a class.
const (
	methodHealth = "health"
	methodCancel = "cancel"
)

// slot returns the address of the value of the named field, or nil if the name is unknown.
func (f *Fields) slot(name []byte) *[]byte {
	switch string(name) {
	case fieldTxn:
		return &f.Txn
	case fieldTimeout:
		return &f.Timeout
	case fieldItem:
		return &f.Item
	case fieldNth:
		return &f.Nth
	case fieldBatch:
		return &f.Batch
	case fieldCachedTag:
		return &f.CachedTag
	case fieldRetry:
		return &f.Retry
	case fieldIdempotencyKey:
		return &f.IdempotencyKey
	case fieldResumedTxn:
		return &f.ResumedTxn
	case fieldAccount:
		return &f.Account
	}
	return f.responseSlot(name)
}

// responseSlot is like slot, for the fields of responses only.
func (f *Fields) responseSlot(name []byte) *[]byte {
	switch string(name) {
	case FieldReason:
		return &f.Reason
	case FieldNotModified:
		return &f.NotModified
	case FieldRetryAfter:
		return &f.RetryAfter
	}
	return nil
}

// IsNotModified reports whether the copy that the client has is current.
func (f Fields) IsNotModified() bool { return string(f.NotModified) == "1" }

// RetryAfterMillis returns how long the client of a rejected request should wait, in milliseconds. It returns 0 if the
// response holds no such time, or one that is not a number of at most 31 bits.
func (f Fields) RetryAfterMillis() int {
	millis, err := strconv.ParseUint(string(f.RetryAfter), 10, 31)
	if err != nil {
		return 0
	}
	return int(millis)
}

// Field is a named value that accompanies the body or the error code of a response.
type Field struct{ Name, Value string }

// Request is a request, as a client sends it.
type Request struct {
	Method        string // the class of the request
	Txn           uint64
	TimeoutMillis int64
	Retry         bool // the client has sent the request before
	Item          uint64
	Nth           uint64
	Batch         uint8
	Account       string // prepaid account that pays for the request; empty: none
	ResumedTxn    uint64 // txn under which the same request was sent to a router that was lost; 0: none
	CachedTag     string // version of the copy that the client has; empty: none
	Body          []byte
}

// The error codes that originate in the router. All others come from the answer of the page cache.
const (
	CodeThrottled    = "Throttled"    // the request was rejected and never ran, so that a retry is harmless
	CodeBadRequest   = "BadRequest"   // the request is invalid and never ran
	CodeNoSuchMethod = "NoSuchMethod" // there is no class of that name; the request never ran
)

// ResponseKind is the kind of content of a response.
type ResponseKind uint8

// The kinds of responses.
const (
	ResponseBody   ResponseKind = iota // the request was served
	ResponseError                      // the request was not served
	ResponseHealth                     // the answer to a health check
)

// ResponseHeader holds a response up to its body, as a client reads it.
type ResponseHeader struct {
	ID       uint64
	Kind     ResponseKind
	BodySize int    // of ResponseBody: length of the body in bytes; the body follows the header, the trailer the body
	Code     []byte // of ResponseError
	Ready    bool   // of ResponseHealth: the router accepts clients
	Fields   Fields // of ResponseError and ResponseHealth; those of ResponseBody are in the trailer
}
