package failover

// ActionKind says what an Action asks the caller to do.
type ActionKind uint8

// The kinds of actions.
const (
	ActionSend        ActionKind = iota // send the order Txn; UseSendPermission returns true until the lease expires
	ActionStop                          // don't send the order Txn, which the caller may no longer run; Err is the reason
	ActionAnswer                        // answer the waiting client of the order Txn; if Err is nil, no other router runs the order
	ActionRun                           // run Order, whose owner is lost
	ActionBeginClaim                    // run Order for the claim ClaimID, within Order.TimeLeft
	ActionSettleClaim                   // answer the claim ClaimID with Outcome; Err is the reason if that is unknown
)

// Action is a task that the coordinator hands to its caller. The kind determines which fields are set.
type Action struct {
	Kind    ActionKind
	Txn     string
	ClaimID uint64
	Order   Order
	Outcome Outcome
	Err     error
}

// Event is a step in the processing of an order or of a session, for the log and for tests.
type Event struct {
	Step string // a text composed of the constants below; docs/design/takeover.md shows the texts in order
	Txn  string
	Peer string // the other router involved; empty: none
}

// The texts of events. Two kinds are composed: the name of a step ("taken", "left", "may", "ended") followed by what
// happened to that step, and an event followed by the kind of an outcome ("ended served").
const (
	eventReplicaChosen    = "kept by"      // a session begins: this router's new orders go to the replica Peer
	eventReplicaLost      = "keeper lost"  // the replica did not answer in time
	eventSessionLost      = "session lost" // the replica considers this router lost
	eventOrderAccepted    = "taken"        // this router became the order's owner
	eventOrderSent        = "sent"         // the caller was allowed to write the order
	eventOrderEnded       = "ended "       // followed by the outcome
	eventStepSent         = " said"        // preceded by the step that was sent to the replica
	eventStepAcknowledged = " held"        // preceded by the step that the replica acknowledged
	eventStepStored       = " kept"        // preceded by the step that this router stored as a replica
	eventRecordEnded      = "kept as "     // followed by the outcome
	eventOwnerLost        = "owner lost"   // the owner's lease has expired
	eventOrphaned         = "orphaned"     // the order's owner is lost; Peer names it
	eventRunHere          = "run here"     // the replica runs the order without its client
	eventGiven            = "given"        // the order was given to the claimant Peer
	eventClaimed          = "claimed"      // a client claimed the order here
	eventClaimBegun       = "begun"        // the claimant starts the order
	eventClaimSettled     = "settled "     // followed by the outcome
)

// maxUnreadEvents bounds the events between two calls of Events. Further events are dropped.
const maxUnreadEvents = 4096

// Actions returns the actions that have become due since its last call, in the order in which they are to be carried out.
func (c *Coordinator) Actions() []Action {
	actions := c.actions
	c.actions = nil
	return actions
}

// Events returns the events since its last call.
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
