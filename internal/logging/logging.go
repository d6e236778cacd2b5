// Package logging names the attributes of log lines once, and gives each component of the router its logger.
//
// A line has a constant message in the terms of the field; what varies stands in attributes. docs/operations.md lists the
// lines that staff on call look for.
package logging

import (
	"context"
	"log/slog"
)

// Keys of attributes. The same key means the same thing on every line.
const (
	KeyComponent     = "component"      // the part of the router that logs
	KeyError         = "err"            // an error
	KeyHint          = "remedy"         // what an operator can do about the error
	KeyReason        = "reason"         // why something was closed, rejected or retried
	KeyRequestID     = "request_id"     // the client's own name of a request (its txn)
	KeySequence      = "sequence"       // the router's own number of a request
	KeyAttempt       = "attempt"        // the number of an attempt within its request, from 0
	KeyClass         = "class"          // a request's class
	KeyAccount       = "account"        // the prepaid account of a request
	KeyEndpoint      = "endpoint"       // a page cache, parent or origin
	KeySource        = "source"         // the endpoint from which another one fills its cache; "none" where it does not
	KeyObject        = "object"         // the object of a request
	KeyPart          = "part"           // the part of an object
	KeyTimeout       = "timeout"        // how long something may take
	KeyRetry         = "retry"          // whether a client has sent a request before
	KeyCachePriority = "cache_priority" // the rank at which an endpoint keeps a copy; 0: it keeps none
	KeyMaxAge        = "max_age"        // the age of a copy that will do; 0: any fresh one
	KeyStatus        = "status"         // how an attempt ended
	KeyDetail        = "detail"         // how an answer came about or why a fill failed
	KeySourceWait    = "source_wait"    // how long an endpoint waited for the first byte of the source
	KeyVerdict       = "verdict"        // how a request was answered
	KeyComplete      = "complete"       // whether an endpoint list was a whole one
	KeyEvents        = "events"         // how many events a line sums up
	KeyChanged       = "changed"        // how many entries these changed
	KeyEndpoints     = "endpoints"      // how many endpoints are listed
	KeyAddress       = "address"        // the network address that is called
	KeyListen        = "listen"         // an address that the router listens on
	KeyAdvertise     = "advertise"      // the address at which other routers reach this one
	KeyKeys          = "keys"           // how many keys a file holds
	KeyOwnSize       = "own_size"       // the cluster size that this router is configured for
	KeyPeerSize      = "peer_size"      // the same of another router
	KeyLine          = "line"           // a log line of a library
	KeyClient        = "client"         // the network address of a client
	KeyPeer          = "peer"           // another router
	KeyRemote        = "remote"         // the network address of the other end of a connection, whoever opened it
	KeyPosition      = "position"       // a position in the event log of discovery
	KeyDuration      = "duration"       // how long something took
	KeyRule          = "rule"           // a rule that is checked at run time
	KeyFile          = "file"           // the path of a file
	KeyStep          = "step"           // a step of an order between its routers
)

// For returns the logger of a component. It may be called before slog.SetDefault: each line goes to the logger that is the
// default when the line is written.
func For(component string) *slog.Logger {
	return slog.New(defaultHandler{attrs: []slog.Attr{slog.String(KeyComponent, component)}})
}

// defaultHandler hands records to the handler that is the default at that time.
type defaultHandler struct {
	attrs []slog.Attr
	group string
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
