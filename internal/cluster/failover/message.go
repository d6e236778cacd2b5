package failover

import "time"

// Routers of different releases exchange the messages below. They are encoded as CBOR arrays, so the order, number and
// types of their fields and the values of their constants are fixed, while names may change.

// messageKind is the kind of a message.
type messageKind uint8

const (
	messageNone        messageKind = iota
	messageStep                    // an owner sends its replica a step of an order, or only renews its lease
	messageClaim                   // a claimant asks another router what it knows of an order
	messageClaimUpdate             // a router that replied replyPending reports what it has learned since
)

// step is the progress of an order as the owner reports it to the replica. A later step has a higher value.
type step uint8

const (
	stepNone         step = iota
	stepOwnerOnly         // the order waits; only its owner may run it
	stepTransferable      // the order waits, and its owner uses no other replica: this one may pass it on
	stepMaySend           // the owner may send the order from now on
	stepEnded             // the outcome is known
)

// String returns the name that the step has in events.
func (s step) String() string {
	return [...]string{"none", "taken", "left", "may", "ended"}[min(s, stepEnded)]
}

// message is the payload that the coordinators of two routers exchange.
type message struct {
	_       struct{} `cbor:",toarray"`
	Kind    messageKind
	Txn     string
	Step    step    // of messageStep; stepNone: the message only renews the owner's lease
	Session uint64  // of messageStep: the number of the owner's session at the replica
	Order   Order   // of messageStep: set if the replica may not have it yet; of messageClaim: only Txn and Digest
	Outcome Outcome // of messageStep with stepEnded
	Claim   uint64  // of messageClaim and messageClaimUpdate: the claim's number at the claimant
	Update  reply   // of messageClaimUpdate
}

// replyKind is the kind of a reply. The kinds that a claimant may get are sorted by rising strength; the strongest one
// decides the claim.
type replyKind uint8

const (
	replyInvalid      replyKind = iota // the message is not valid
	replyAcknowledged                  // the replica holds what the message says
	replyLeaseLost                     // the replica considers the owner lost
	replyGivenAway                     // the replica has passed the order on, or may do so
	replyFull                          // the replica has no room for another record
	replyUnknown                       // nothing is known of the order; if there is room, its txn is reserved for the claimant
	replyElsewhere                     // another router knows more of the order
	replyMayHaveRun                    // the order may have run
	replyPending                       // the order's outcome will be known soon, and a messageClaimUpdate follows
	replyOutcome                       // the order's outcome is known
	replyRun                           // the claimant has the order and may run it
)

// reply is the payload of the acknowledgement of a message, or the update in a messageClaimUpdate.
type reply struct {
	_       struct{} `cbor:",toarray"`
	Kind    replyKind
	Certain bool    // of replyUnknown: the router forgot nothing early, and has been up for longer than any client waits
	Outcome Outcome // of replyOutcome
}

// Bounds of the fields of a received message.
const (
	maxTxnBytes     = 64
	maxFieldBytes   = 64
	maxAccountBytes = 128
	maxDuration     = time.Hour
)

// valid reports whether the fields of the message are within their bounds, and the txn is present where it is needed.
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
