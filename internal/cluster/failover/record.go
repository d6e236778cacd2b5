package failover

import "time"

// This file holds a replica's record of one order: its states, and the claimants that wait for it.

// recordState is the state of a record.
type recordState uint8

const (
	recordOwnerOnly    recordState = iota // the owner may use another replica by now
	recordTransferable                    // this replica may pass it on if the owner is lost
	recordMaySend                         // the owner may send the order; no other router ever may
	recordBlocked                         // it was recordOwnerOnly, and the owner is lost: this replica never lets the order be sent
	recordOrphaned                        // it was recordTransferable, and the owner is lost: one router may run the order
	recordGiven                           // one claimant has the order
	recordRunning                         // this router runs the order
	recordEnded                           // the outcome is known
)

// recordContents says how much of its order a record holds.
type recordContents uint8

const (
	contentsUnknown  recordContents = iota // the txn, the owner and the outcome, but not the order itself
	contentsComplete                       // the order, as its owner sent it
	contentsReserved                       // only the txn, reserved for a claimant: no owner can store the order here
)

// record is a replica's knowledge of one order.
type record struct {
	order    Order
	contents recordContents
	owner    Incarnation
	session  uint64
	state    recordState
	deadline time.Duration // when the client gives up
	forgetAt time.Duration
	outcome  Outcome // of recordEnded
	waiters  []waiter
	givenTo  waiter // of recordGiven
}

// ownerDecides reports whether the owner still decides who may run the order.
func (r *record) ownerDecides() bool { return r.state <= recordMaySend }

// isGivenTo reports whether the order was given to a claimant in that process.
func (r *record) isGivenTo(claimant Incarnation) bool {
	return r.state == recordGiven && r.givenTo.Incarnation == claimant
}

// giveTo gives the order to a claimant, or only its txn if the contents are contentsReserved.
func (r *record) giveTo(w waiter) { r.state, r.givenTo = recordGiven, w }

// reserveFor reserves the txn for a claimant. From then on no other router can get permission to send the order from this
// replica.
func (r *record) reserveFor(w waiter) {
	r.contents = contentsReserved
	r.giveTo(w)
}

// waiter identifies a claim whose claimant gets an update about an order.
type waiter struct {
	Incarnation        // of the claimant
	claim       uint64 // the claim's number at the claimant
}

// maxWaiters bounds the claimants that wait for one order.
const maxWaiters = 8
