package failover

import "time"

// Order is a request that must run once at most. Its encoding is that of a message: see there.
type Order struct {
	_            struct{} `cbor:",toarray"`
	Txn          string
	Class        string
	Item         string
	Account      string
	Part         uint64
	Group        uint64
	Digest       [32]byte      // of all that the client asked for
	TimeLeft     time.Duration // until its client gives up
	Body         []byte        // if BodyComplete
	BodyComplete bool          // Body is here, so that another router can run the order without its client
}

// OutcomeKind says what became of an order.
type OutcomeKind uint8

// The kinds of outcomes.
const (
	MayHaveRun OutcomeKind = iota
	Served
	Failed // it may have run
	NeverRan
)

// String returns the kind's name in events.
func (k OutcomeKind) String() string {
	return [...]string{"may have run", "served", "failed", "never ran"}[min(k, NeverRan)]
}

// Outcome is what became of an order.
type Outcome struct {
	_          struct{} `cbor:",toarray"`
	Kind       OutcomeKind
	Body       []byte        // of Served
	RetryAfter time.Duration // of NeverRan: how long the client is asked to wait before a retry
}
