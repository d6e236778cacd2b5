package failover

import "time"

// Order is what is to be run once.
type Order struct {
	_       struct{} `cbor:",toarray"`
	Txn     string
	Class   string
	Item    string
	Account string
	Part    uint64
	Group   uint64
	Digest  [32]byte      // of all that the client asked for
	Left    time.Duration // until its client gives up
	Body    []byte        // where Whole is set
	Whole   bool          // the body is here: with it another router can run the order without its client
}

// Kind says what became of an order.
type Kind uint8

// The kinds of outcomes.
const (
	MayHaveRun Kind = iota
	Served
	Failed // and may have run
	NeverRan
)

// Outcome is what became of an order.
type Outcome struct {
	_    struct{} `cbor:",toarray"`
	Kind Kind
	Body []byte        // of Served
	Wait time.Duration // of NeverRan: how long the client was told to stay away
}

// String returns the outcome's name in events.
func (k Kind) String() string {
	return [...]string{"may have run", "served", "failed", "never ran"}[min(k, NeverRan)]
}
