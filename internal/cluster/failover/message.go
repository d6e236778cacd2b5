package failover

import "time"

// kind is the kind of a message.
type kind uint8

const (
	kindNone  kind = iota
	kindTell       // an owner tells its keeper of an order, or only that it lives
	kindClaim      // a claimant asks what is known of an order
	kindNews       // who was asked tells a claimant more
)

// step is how far an order has come.
type step uint8

const (
	stepNone  step = iota
	stepTaken      // it waits; nobody but its owner may run it yet
	stepLeft       // it still waits, and the owner goes to no other keeper: who keeps it may give it away if the owner is lost
	stepMay        // it may be sent from now on
	stepEnded
)

// message is what a parcel holds.
type message struct {
	_       struct{} `cbor:",toarray"`
	Kind    kind
	Txn     string
	Step    step   // of kindTell; stepNone: the owner only lives
	Session uint64 // of kindTell
	Order   Order  // of kindTell where the keeper may not have it; of kindClaim its digest alone
	Outcome Outcome
	Claim   uint64 // of kindClaim and kindNews, the claimant's number
	Word    word   // of kindNews
}

// say is the answer to a message, in rising strength where a claimant hears several.
type say uint8

const (
	sayBad       say = iota
	sayHeld          // the keeper holds it
	sayLost          // the keeper holds the owner to be lost
	sayGone          // the keeper has given it away, or will
	sayFull          // the keeper has no room
	sayUnknown       // nothing is known of it, and no record of it is taken from now on but the claimant's
	sayElsewhere     // somebody else knows better
	sayMay           // it may have run
	sayWait          // it is known soon, and then told
	sayOutcome
	sayRun // it is the claimant's to run
)

// word answers a message.
type word struct {
	_       struct{} `cbor:",toarray"`
	Say     say
	Sure    bool // of sayUnknown: nothing was forgotten, and who says it is up for long enough
	Outcome Outcome
}

const txnMost = 64

// sane tells whether a message can be used.
func (m *message) sane() bool {
	return len(m.Txn) <= txnMost && m.Step <= stepEnded && m.Outcome.sane() && m.Word.sane() && m.Order.sane() &&
		(m.Txn != "" || m.Kind == kindTell && m.Step == stepNone)
}

func (o *Order) sane() bool {
	return len(o.Txn) <= txnMost && len(o.Class) <= 64 && len(o.Item) <= 64 && len(o.Account) <= 128 && len(o.Body) <= MaxBodyLimit && o.Left >= 0 && o.Left <= time.Hour
}

func (o *Outcome) sane() bool {
	return o.Kind <= NeverRan && len(o.Body) <= MaxBodyLimit && o.Wait >= 0 && o.Wait <= time.Hour
}

func (w *word) sane() bool { return w.Say <= sayRun && w.Outcome.sane() }

// String returns the step's name in events.
func (s step) String() string {
	return [...]string{"none", "taken", "left", "may", "ended"}[min(s, stepEnded)]
}
