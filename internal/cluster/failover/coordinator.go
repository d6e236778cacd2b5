// Package failover decides which router may run an order when the router that accepted it is lost, so that no order
// runs twice.
//
// The package is a state machine: it does no I/O, reads no clock and draws no random numbers. The caller passes the time
// to each method, sends the packets that DuePackets returns and carries out what Actions returns.
// docs/design/takeover.md describes the guarantees and the reasons for them.
//
// A router has three roles. As an owner it accepts the orders of its clients, and replicates each of them to another
// router before it sends the order to an endpoint. As a replica it stores records of other routers' orders, and passes
// these orders on when their owner's lease has expired. As a claimant it asks the other routers what became of an order
// whose client has lost the order's router.
package failover

import (
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hillknot/internal/cluster/messaging"
	"hillknot/internal/cluster/placement"
)

// Incarnation identifies one process of a router.
type Incarnation struct {
	Name    string // of the router
	Process uint64
}

// Peer is another router that is alive.
type Peer struct{ Name, Place string }

// Coordinator is the part that one router takes in failover. It is not safe for concurrent use.
type Coordinator struct {
	settings  Settings
	messenger *messaging.Messenger
	requests  map[uint64]sentMessage // in flight, by message ID
	peers     []Peer                 // routers that are alive, sorted by name
	joinedAt  time.Duration          // time of the first SetPeers; 0: not called yet
	lastSweep time.Duration          // when expired orders and records were last removed
	// Until this time a claim may concern an order whose record this router forgot early, so a missing record does not
	// prove that there never was one.
	uncertainUntil time.Duration

	owned  ownedOrders
	stored storedRecords
	claims map[uint64]*openClaim

	actions  []Action
	events   []Event
	counters Counters
}

// sweepInterval is the time between two removals of expired orders and records.
const sweepInterval = time.Second

// New returns the coordinator of a process that has just started. It returns an error if a setting is invalid.
func New(settings Settings) (*Coordinator, error) {
	if err := settings.Check(); err != nil {
		return nil, fmt.Errorf("order failover: %w", err)
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

// SetPeers sets the other routers that are alive, sorted by name. It must not be called before this process alone receives the packets
// for its router: an earlier process that still did could store records of which this one knows nothing.
func (c *Coordinator) SetPeers(now time.Duration, peers []Peer) {
	if c.joinedAt == 0 {
		c.joinedAt = max(now, 1)
	}
	c.peers = peers
}

func (c *Coordinator) alive(name string) bool {
	return slices.ContainsFunc(c.peers, func(p Peer) bool { return p.Name == name })
}

// DuePackets returns the packets that are to be sent now, after it has queued the messages for changed orders.
func (c *Coordinator) DuePackets(now time.Duration) []messaging.Packet {
	c.replicateChanges(now)
	return c.messenger.DuePackets(now)
}

// Receive handles a packet of another router. It ignores packets that can't be decoded, and answers messages that are not
// valid with replyInvalid.
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

// Tick handles timeouts, renews leases and decides open claims again. It is to be called every few milliseconds; a late
// call, such as after a pause of the process, is safe.
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

// sentMessage is a message in flight: a step of an order for its replica or, if claim is not 0, a question about a
// claimed order.
type sentMessage struct {
	to      string
	sentAt  time.Duration
	txn     string // empty: the message only renews the lease
	step    step
	session uint64
	claim   uint64
}

// send sends a message to a router, and repeats it until it is acknowledged or the time until has come. receiveReplies
// passes the reply on together with req.
func (c *Coordinator) send(now time.Duration, to string, m message, until time.Duration, req sentMessage) error {
	body, err := cbor.Marshal(&m)
	if err != nil {
		return fmt.Errorf("order failover: encode message: %w", err)
	}
	id, err := c.messenger.Send(now, to, body, until)
	if err != nil {
		return err
	}
	req.sentAt, req.to = now, to
	c.requests[id] = req
	return nil
}

// receiveReplies passes each reply, or the failure to get one, to the claimant or owner that sent the message.
func (c *Coordinator) receiveReplies(now time.Duration) {
	for _, done := range c.messenger.Completions() {
		req, ok := c.requests[done.ID]
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
		if req.claim != 0 {
			c.receiveClaimReply(now, req, done.Err, answer)
		} else {
			c.receiveReplicaReply(now, req, done.Err, answer)
		}
	}
}

func (c *Coordinator) reply(delivery messaging.Delivery, answer reply) {
	if body, err := cbor.Marshal(&answer); err == nil { // encoding a reply can't fail
		c.messenger.Acknowledge(delivery, body)
	}
}

// replicaDuty, followed by the owner's name, is the key that is hashed with the names of the peers to choose the owner's
// replica.
const replicaDuty = "keeper of "

// bestReplica returns the name of the peer that is to hold this router's orders: the one with the highest score among the
// peers in another place or, if there are none, among all peers. Excluded peers are left out. It returns "" if no peer
// remains.
func (c *Coordinator) bestReplica(excluded []string) string {
	for _, anyPlace := range []bool{false, true} {
		var names []string
		for _, p := range c.peers {
			placeFits := anyPlace || c.settings.Place == "" || p.Place != c.settings.Place
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
