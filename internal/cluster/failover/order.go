package failover

import "time"

// Order is a request that must run at most once. It is sent in messages, so the rules in message.go for the fields of
// messages apply.
type Order struct {
	_            struct{} `cbor:",toarray"`
	Txn          string
	Class        string
	Item         string
	Account      string
	Part         uint64
	Group        uint64
	Digest       [32]byte      // hash of everything that the client asked for
	TimeLeft     time.Duration // until the client gives up
	Body         []byte        // empty unless BodyComplete is set
	BodyComplete bool          // Body is present, so that another router can run the order without the client
}

// OutcomeKind is the kind of an Outcome. Its values are sent in messages and are fixed.
type OutcomeKind uint8

// The kinds of outcomes.
const (
	MayHaveRun OutcomeKind = iota
	Served
	Failed // it was answered as failed, and may have run
	NeverRan
)

// String returns the name that the kind has in events.
func (k OutcomeKind) String() string {
	return [...]string{"may have run", "served", "failed", "never ran"}[min(k, NeverRan)]
}

// Outcome describes how an order ended.
type Outcome struct {
	_          struct{} `cbor:",toarray"`
	Kind       OutcomeKind
	Body       []byte        // of Served
	RetryAfter time.Duration // of NeverRan: the time that the client is asked to wait before a retry
}
