package failover

import "time"

// Routers of different releases exchange these messages. They are CBOR arrays: the order, number and types of their
// fields and the numbers of the constants are fixed, while names are free.

// messageKind is the kind of a message.
type messageKind uint8

const (
	messageNone        messageKind = iota
	messageStep                    // an owner tells its replica of an order, or only that it lives
	messageClaim                   // a claimant asks what is known of an order
	messageClaimUpdate             // a router that was asked tells a claimant more
)

// step is how far an order has come, as its replica is told.
type step uint8

const (
	stepNone         step = iota
	stepOwnerOnly         // it waits; nobody but its owner may run it
	stepTransferable      // it waits, and its owner uses no other replica: this one may pass it on
	stepMaySend           // its owner may send it from now on
	stepEnded
)

// String returns the step's name in events.
func (s step) String() string {
	return [...]string{"none", "taken", "left", "may", "ended"}[min(s, stepEnded)]
}

// message is what one router's coordinator tells another's.
type message struct {
	_       struct{} `cbor:",toarray"`
	Kind    messageKind
	Txn     string
	Step    step   // of messageStep; stepNone: the owner only lives
	Session uint64 // of messageStep
	Order   Order  // of messageStep if the replica may not have it; of messageClaim its digest alone
	Outcome Outcome
	Claim   uint64 // of messageClaim and messageClaimUpdate: the claimant's number
	Update  reply  // of messageClaimUpdate
}

// replyKind is the kind of a reply. The kinds that a claimant may get are in rising strength: the strongest counts.
type replyKind uint8

const (
	replyInvalid      replyKind = iota // the message can't be used
	replyAcknowledged                  // the replica holds what it was told
	replyLeaseLost                     // the replica takes the owner for lost
	replyGivenAway                     // the replica has passed the order on, or will
	replyFull                          // the replica has no room
	replyUnknown                       // nothing is known of the order, and no record of it is taken but the claimant's
	replyElsewhere                     // another router knows more
	replyMayHaveRun                    // it may have run
	replyPending                       // its outcome is known soon, and an update follows
	replyOutcome                       // its outcome is known
	replyRun                           // it is the claimant's to run
)

// reply answers a message.
type reply struct {
	_       struct{} `cbor:",toarray"`
	Kind    replyKind
	Certain bool    // of replyUnknown: nothing was forgotten early, and the router has been up for long enough
	Outcome Outcome // of replyOutcome
}

// Bounds of what is accepted in a message, in bytes and time.
const (
	maxTxnBytes     = 64
	maxFieldBytes   = 64
	maxAccountBytes = 128
	maxDuration     = time.Hour
)

// valid tells whether the message can be used.
func (m *message) valid() bool {
	leaseRenewal := m.Kind == messageStep && m.Step == stepNone
	return len(m.Txn) <= maxTxnBytes && (m.Txn != "" || leaseRenewal) && m.Step <= stepEnded &&
		m.Outcome.valid() && m.Update.valid() && m.Order.valid()
}

func (o *Order) valid() bool {
	return len(o.Txn) <= maxTxnBytes && len(o.Class) <= maxFieldBytes && len(o.Item) <= maxFieldBytes &&
		len(o.Account) <= maxAccountBytes && len(o.Body) <= MaxBodyLimit && validDuration(o.TimeLeft)
}

func (o *Outcome) valid() bool {
	return o.Kind <= NeverRan && len(o.Body) <= MaxBodyLimit && validDuration(o.RetryAfter)
}

func (r *reply) valid() bool { return r.Kind <= replyRun && r.Outcome.valid() }

func validDuration(d time.Duration) bool { return d >= 0 && d <= maxDuration }
