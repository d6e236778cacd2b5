package failover

// ActionKind is what an action asks its caller to do.
type ActionKind uint8

// The kinds of actions.
const (
	ActionSend           ActionKind = iota // send the order Txn: UseSendPermission allows it until the lease expires
	ActionStop                             // don't send the order Txn, for the reason Err: it is no longer the caller's
	ActionReplicaDropped                   // answer the client of the order Txn. Err is nil: no other router runs it
	ActionRun                              // run Order, which belonged to a router that was lost
	ActionBeginClaim                       // run Order for the claim ClaimID, within Order's time
	ActionSettleClaim                      // answer the claim ClaimID with Outcome; Err says why nothing better is known
)

// Action is something that the caller is to do.
type Action struct {
	Kind    ActionKind
	Txn     string
	ClaimID uint64
	Order   Order
	Outcome Outcome
	Err     error
}

// Event is a step of an order, for the log and for tests.
type Event struct {
	Step string // one of the texts below; docs/design/takeover.md shows them in order
	Txn  string
	Peer string // the other router, if there is one
}

// The texts of events. Some are put together: how far an order has come ("taken", "left", "may", "ended") and what
// was done about it; or an event and an outcome ("ended served").
const (
	eventReplicaChosen    = "kept by"      // orders have a replica from now on
	eventReplicaLost      = "keeper lost"  // the replica does not answer
	eventSessionLost      = "session lost" // the replica takes this router for lost
	eventOrderAccepted    = "taken"
	eventOrderSent        = "sent"
	eventOrderEnded       = "ended "     // and the outcome
	eventStepSent         = " said"      // after the step that the replica was told
	eventStepAcknowledged = " held"      // after the step that the replica holds
	eventStepStored       = " kept"      // after the step that this router stored as a replica
	eventRecordEnded      = "kept as "   // and the outcome
	eventOwnerLost        = "owner lost" // the owner's lease has expired
	eventOrphaned         = "orphaned"   // the order's owner is lost
	eventRunHere          = "run here"   // without its client
	eventGiven            = "given"      // to a claimant
	eventClaimed          = "claimed"    // by a client
	eventClaimBegun       = "begun"      // the claimant runs the order
	eventClaimSettled     = "settled "   // and the outcome
)

// maxUnreadEvents bounds the events that wait for Events. Further ones are dropped.
const maxUnreadEvents = 4096

// Actions returns what is to be done since the last call, in order.
func (c *Coordinator) Actions() []Action {
	actions := c.actions
	c.actions = nil
	return actions
}

// Events returns the steps of orders since the last call.
func (c *Coordinator) Events() []Event {
	events := c.events
	c.events = nil
	return events
}

func (c *Coordinator) addAction(a Action) { c.actions = append(c.actions, a) }

func (c *Coordinator) trace(event, txn, peer string) {
	if len(c.events) < maxUnreadEvents {
		c.events = append(c.events, Event{event, txn, peer})
	}
}
