// Package failover decides which router may run an order when the router that took it is lost, so that no order runs
// twice.
//
// It is a state machine: it does no I/O, reads no clock and draws no random numbers. Each call carries the time, and
// what is to be done is read with DuePackets and Actions. docs/design/takeover.md says what it guarantees, and why.
//
// A router has three roles here. It is the owner of the orders that its clients send to it, and replicates each to
// another router before it is sent on. It is the replica of other routers' orders, and passes them on when their
// owner's lease has expired. And it is the claimant for clients that lost another router and ask what became of their
// order.
package failover

import (
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hillknot/internal/cluster/messaging"
	"hillknot/internal/cluster/placement"
)

// Incarnation is one process of a router.
type Incarnation struct {
	Name    string // the router's
	Process uint64
}

// Peer is another router that is alive.
type Peer struct{ Name, Place string }

// Coordinator is one router's part of failover. It is not safe for concurrent use.
type Coordinator struct {
	settings  Settings
	messenger *messaging.Messenger
	requests  map[uint64]sentMessage // in flight, by the numbers of their messages
	peers     []Peer                 // alive, in the order of their names
	startedAt time.Duration          // of the first SetPeers; 0: not yet
	lastSweep time.Duration          // when what has ended was looked through
	// Until then something that was forgotten early may still be asked for, so this router can't say for certain
	// that it knows nothing of an order.
	uncertainUntil time.Duration

	owned  ownedOrders
	stored storedRecords
	claims map[uint64]*openClaim

	actions  []Action
	events   []Event
	counters Counters
}

// sweepInterval is how often what has ended is looked through.
const sweepInterval = time.Second

// New returns the coordinator of a process that has just started.
func New(settings Settings) (*Coordinator, error) {
	if err := settings.Check(); err != nil {
		return nil, fmt.Errorf("takeover: %w", err)
	}
	return &Coordinator{
		settings:  settings,
		messenger: messaging.New(messaging.Defaults(settings.Self, settings.Process)),
		requests:  map[uint64]sentMessage{},
		owned:     ownedOrders{orders: map[string]*ownedOrder{}},
		stored:    storedRecords{records: map[string]*record{}, owners: map[Incarnation]*ownerLease{}},
		claims:    map[uint64]*openClaim{},
	}, nil
}

// SetPeers tells which other routers are alive, in the order of their names.
func (c *Coordinator) SetPeers(now time.Duration, peers []Peer) {
	if c.startedAt == 0 {
		c.startedAt = max(now, 1)
	}
	c.peers = peers
}

func (c *Coordinator) alive(name string) bool {
	return slices.ContainsFunc(c.peers, func(p Peer) bool { return p.Name == name })
}

// DuePackets returns the packets that are to be sent now.
func (c *Coordinator) DuePackets(now time.Duration) []messaging.Packet {
	c.replicateChanges(now)
	return c.messenger.DuePackets(now)
}

// Receive takes a packet of another router. What can't be understood is ignored.
func (c *Coordinator) Receive(now time.Duration, data []byte) {
	for _, delivery := range c.messenger.Receive(now, data) {
		var m message
		if err := cbor.Unmarshal(delivery.Body, &m); err != nil || !m.valid() {
			c.reply(delivery, reply{Kind: replyInvalid})
			continue
		}
		switch m.Kind {
		case messageStep:
			c.receiveStep(now, delivery, m)
		case messageClaim:
			c.receiveClaim(now, delivery, m)
		case messageClaimUpdate:
			c.receiveClaimUpdate(now, delivery, m)
		default:
			c.reply(delivery, reply{Kind: replyInvalid})
		}
	}
	c.receiveReplies(now)
}

// Tick looks at what has expired. It is due every few milliseconds; a late call, as after a pause of the process, is
// safe.
func (c *Coordinator) Tick(now time.Duration) {
	c.messenger.Tick(now)
	c.receiveReplies(now)
	c.renewLeases(now)
	if now >= c.lastSweep+sweepInterval {
		c.lastSweep = now
		c.forgetEndedOrders(now)
		c.forgetOldRecords(now)
	}
	c.checkOwnerLeases(now)
	c.tickClaims(now)
}

// sentMessage is a message in flight: a step of an order for its replica, or, where claim is set, a question about a claim.
type sentMessage struct {
	to      string
	sentAt  time.Duration
	txn     string // empty: the message only renews the lease
	step    step
	session uint64
	claim   uint64
}

// send sends a message to a router, and again until it is acknowledged or a time has come. The reply comes to the
// role that the request is of.
func (c *Coordinator) send(now time.Duration, to string, m message, until time.Duration, r sentMessage) error {
	body, err := cbor.Marshal(&m)
	if err != nil {
		return fmt.Errorf("takeover: %w", err)
	}
	id, err := c.messenger.Send(now, to, body, until)
	if err != nil {
		return err
	}
	r.sentAt, r.to = now, to
	c.requests[id] = r
	return nil
}

// receiveReplies hands each reply, or the failure to get one, to the role whose request it answers.
func (c *Coordinator) receiveReplies(now time.Duration) {
	for _, done := range c.messenger.Completions() {
		r, ok := c.requests[done.ID]
		delete(c.requests, done.ID)
		if !ok {
			continue
		}
		var answer reply
		if done.Err == nil {
			if err := cbor.Unmarshal(done.Reply, &answer); err != nil || !answer.valid() {
				answer = reply{Kind: replyInvalid}
			}
		}
		if r.claim != 0 {
			c.receiveClaimReply(now, r, done.Err, answer)
		} else {
			c.receiveReplicaReply(now, r, done.Err, answer)
		}
	}
}

func (c *Coordinator) reply(delivery messaging.Delivery, answer reply) {
	if body, err := cbor.Marshal(&answer); err == nil { // it can't fail for this type
		c.messenger.Acknowledge(delivery, body)
	}
}

// replicaDuty and the owner's name are hashed with the names of the peers into the choice of the replica.
const replicaDuty = "keeper of "

// bestReplica returns the router that is to hold this router's orders: the one with the highest score, first of those
// in another place; those that are excluded don't count. It returns "" if there is none.
func (c *Coordinator) bestReplica(excluded []string) string {
	for _, samePlace := range []bool{false, true} {
		var names []string
		for _, p := range c.peers {
			placeFits := samePlace || c.settings.Place == "" || p.Place != c.settings.Place
			if placeFits && !slices.Contains(excluded, p.Name) {
				names = append(names, p.Name)
			}
		}
		if len(names) > 0 {
			return placement.Assign(replicaDuty+c.settings.Self, names)
		}
	}
	return ""
}
