// Package rpc encodes and parses the MessagePack-RPC messages that clients and routers exchange.
//
// It holds no state and does no I/O. What a parser returns are slices of the buffer that it was given; they are valid
// as long as that buffer is not changed. An encoder appends to the buffer that it is given and returns it.
package rpc

import (
	"errors"
	"strconv"
)

// ErrMalformed says that the bytes are no message and never become one, whatever follows. The connection is of no more
// use.
var ErrMalformed = errors.New("malformed message")

// Progress tells how much of a buffer a parser has used.
type Progress struct {
	Consumed int // bytes of the complete value; 0: the value is not complete yet
	Needed   int // bytes that the buffer must hold before the next attempt, as far as known; 0: any more
}

// MessageKind is the first element of each message.
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
	ID         uint64 // of a request: the client's message id, which its response repeats; at most 32 bits
	Method     []byte
	ParamCount int // how many parameters there are, known or not
	Fields     Fields
	Body       []byte
	IDs        []uint64 // whole numbers among the parameters: the ids that a "cancel" withdraws
}

// Fields are the fields of a request and, the last three, of a response, as they stand on the wire. Nil: there is none.
type Fields struct {
	Txn            []byte // the client's own name of the request, in hex digits
	Timeout        []byte // milliseconds for which the client waits
	Item           []byte
	Nth            []byte
	Batch          []byte
	CachedTag      []byte // version of the copy that the client holds
	Retry          []byte // "1": the client has sent the request before
	IdempotencyKey []byte
	ResumedTxn     []byte // txn of the same request, whose router the client has lost
	Account        []byte // prepaid account that pays

	NotModified []byte
	RetryAfter  []byte
	Reason      []byte
}

// The names of the fields of responses.
const (
	FieldNotModified = "ok304"  // "1": the copy that the client holds is current
	FieldRetryAfter  = "later"  // milliseconds for which a rejected client is to wait
	FieldReason      = "reason" // why a request was rejected; without it, the reason is load
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

// The names of the methods that are no class of requests.
const (
	methodHealth = "health"
	methodCancel = "cancel"
)

// slot returns where the value of a field is kept, or nil where the name is not known.
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

// responseSlot is slot for the fields of responses.
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

// IsNotModified tells whether the copy that the client holds is current.
func (f Fields) IsNotModified() bool { return string(f.NotModified) == "1" }

// RetryAfterMillis is for how many milliseconds a rejected client is to wait; 0 where the response names no time, or
// one that is no number of at most 31 bits.
func (f Fields) RetryAfterMillis() int {
	millis, err := strconv.ParseUint(string(f.RetryAfter), 10, 31)
	if err != nil {
		return 0
	}
	return int(millis)
}

// Field is one named value beside the body or the error code of a response.
type Field struct{ Name, Value string }

// Request is what a client sends.
type Request struct {
	Method        string // the class of the request
	Txn           uint64
	TimeoutMillis int64
	Retry         bool // the client has sent the request before
	Item          uint64
	Nth           uint64
	Batch         uint8
	Account       string // prepaid account that pays; empty: none is named
	ResumedTxn    uint64 // txn of the same request, whose router was lost; 0: none
	CachedTag     string // version of the copy that the client holds; empty: none
	Body          []byte
}

// The error codes that a router itself sends. Others stem from the answer of the page cache.
const (
	CodeThrottled    = "Throttled"    // the request was rejected and never ran: a retry is harmless
	CodeBadRequest   = "BadRequest"   // the request can't be used; it never ran
	CodeNoSuchMethod = "NoSuchMethod" // there is no such class; it never ran
)

// ResponseKind is what a response brings.
type ResponseKind uint8

// The kinds of responses.
const (
	ResponseBody   ResponseKind = iota // the request was served
	ResponseError                      // it was not
	ResponseHealth                     // whether the router takes clients
)

// ResponseHeader is a response up to its body, as a client reads it.
type ResponseHeader struct {
	ID       uint64
	Kind     ResponseKind
	BodySize int    // of ResponseBody: bytes of the body, which follows the header; the trailer follows the body
	Code     []byte // of ResponseError
	Ready    bool   // of ResponseHealth: the router takes clients
	Fields   Fields // of ResponseError and ResponseHealth; those of ResponseBody are in the trailer
}
