// Package logging defines the attribute keys of log lines, and provides the logger of each component of the router.
//
// A line has a constant message in the usual terms of the field; values that vary are attributes. docs/operations.md lists
// the lines that staff on call look for.
package logging

import (
	"context"
	"log/slog"
)

// Attribute keys. A key has the same meaning on every line.
const (
	KeyComponent     = "component"      // the part of the router that logs
	KeyError         = "err"            // an error
	KeyHint          = "remedy"         // what an operator can do about the error
	KeyReason        = "reason"         // why something was closed, rejected or retried
	KeyRequestID     = "request_id"     // the client's own id of a request (its txn)
	KeySequence      = "sequence"       // the number that the router gives a request
	KeyAttempt       = "attempt"        // the number of an attempt within its request, from 0
	KeyClass         = "class"          // the class of a request
	KeyAccount       = "account"        // the prepaid account of a request
	KeyEndpoint      = "endpoint"       // a page cache, parent or origin
	KeyZone          = "zone"           // the zone in which an endpoint is listed
	KeyCell          = "cell"           // the cell in which an endpoint is listed
	KeyRepeat        = "repeat"         // what the idempotency rule says of an attempt, given the earlier ones of its request
	KeySource        = "source"         // the endpoint from which another one fills its cache; "none" if it does not fill it
	KeyObject        = "object"         // the object of a request
	KeyPart          = "part"           // the part of an object that is requested
	KeyTimeout       = "timeout"        // the maximum time that something may take
	KeyRetry         = "retry"          // whether the client has sent the request before
	KeyCachePriority = "cache_priority" // the rank at which an endpoint caches a copy; 0: it caches none
	KeyMaxAge        = "max_age"        // the maximum age of an acceptable copy; 0: any fresh one
	KeyStatus        = "status"         // how an attempt ended
	KeyDetail        = "detail"         // how an answer was produced, or why a fill failed
	KeySourceWait    = "source_wait"    // how long an endpoint waited for the first byte from its source
	KeyVerdict       = "verdict"        // how a request was answered
	KeyComplete      = "complete"       // whether an endpoint list was complete
	KeyEvents        = "events"         // the number of events that a line covers
	KeyChanged       = "changed"        // the number of entries that these events changed
	KeyEndpoints     = "endpoints"      // the number of endpoints in the list
	KeyAddress       = "address"        // the network address that the router connects to
	KeyListen        = "listen"         // an address that the router listens on
	KeyAdvertise     = "advertise"      // the address at which other routers reach this one
	KeyKeys          = "keys"           // the number of keys in a file
	KeyOwnSize       = "own_size"       // the cluster size that this router is configured for
	KeyPeerSize      = "peer_size"      // the cluster size that another router is configured for
	KeyLine          = "line"           // the text of a library's log line
	KeyClient        = "client"         // the network address of a client
	KeyPeer          = "peer"           // another router
	KeyRemote        = "remote"         // the network address of the other end of a connection, whichever end opened it
	KeyPosition      = "position"       // a position in the event log of discovery
	KeyDuration      = "duration"       // how long something took
	KeyRule          = "rule"           // a rule that is checked at run time
	KeyFile          = "file"           // the path of a file
	KeyStep          = "step"           // a step in the handling of an order by several routers
)

// For returns the logger of a component. It may be called before slog.SetDefault: each line goes to the logger that is the
// default when the line is written.
func For(component string) *slog.Logger {
	return slog.New(defaultHandler{attrs: []slog.Attr{slog.String(KeyComponent, component)}})
}

// defaultHandler passes each record to the handler of the logger that is the default when the record is written. Once a
// second group or an attribute within a group is added, the result is bound to the default of that moment.
type defaultHandler struct {
	attrs []slog.Attr
	group string // empty: none; it holds no attributes yet
}

// Enabled implements slog.Handler.
func (h defaultHandler) Enabled(ctx context.Context, level slog.Level) bool {
	return slog.Default().Handler().Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (h defaultHandler) Handle(ctx context.Context, record slog.Record) error {
	handler := slog.Default().Handler().WithAttrs(h.attrs)
	if h.group != "" {
		handler = handler.WithGroup(h.group)
	}
	return handler.Handle(ctx, record)
}

// WithAttrs implements slog.Handler.
func (h defaultHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	if h.group != "" {
		return slog.Default().Handler().WithAttrs(h.attrs).WithGroup(h.group).WithAttrs(attrs)
	}
	return defaultHandler{attrs: append(h.attrs[:len(h.attrs):len(h.attrs)], attrs...)}
}

// WithGroup implements slog.Handler.
func (h defaultHandler) WithGroup(name string) slog.Handler {
	if h.group != "" {
		return slog.Default().Handler().WithAttrs(h.attrs).WithGroup(h.group).WithGroup(name)
	}
	return defaultHandler{attrs: h.attrs, group: name}
}
