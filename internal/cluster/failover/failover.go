// Package failover decides who may run an order, so that it outlives the router that took it and still runs once at most.
// It does no I/O, reads no clock and draws no chance: what happens is told by calls that carry the time, and what is to be
// done is read with Out and Actions. What it promises and why stands in docs/design/takeover.md.
//
// A router has three parts here: it is the owner of the orders that it takes, the keeper of records of others' orders, and
// the claimant for clients that have lost another router.
package failover

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hillknot/internal/cluster/messaging"
	"hillknot/internal/cluster/placement"
)

// Settings set up one router's part.
type Settings struct {
	Self           string
	Process        uint64
	Place          string        // where this router is; a keeper is elsewhere, if there is one
	ClusterSize    int           // routers of the fleet
	Strict         bool          // all routers that take orders are of the fleet, and send none without a keeper's word
	LeaseDuration  time.Duration // an owner that says nothing for so long is lost
	ClockDrift     float64       // how much quicker or slower than true a clock may run, as a share
	ReplicaTimeout time.Duration // for a keeper's word, before another is asked
	ClaimTimeout   time.Duration // for the words of all, before the strongest counts
	Retention      time.Duration // how long a record outlives the order's time
	MaxClientWait  time.Duration // that an order's client waits
	MaxRecords     int           // kept of others
	MaxBodyBytes   int           // bytes of a body that is kept in a record, and of an outcome
}

// Defaults returns settings for a fleet of so many routers, whose clients wait for so long at most.
func Defaults(self string, process uint64, size int, longest time.Duration) Settings {
	return Settings{Self: self, Process: process, ClusterSize: size, Strict: true, LeaseDuration: 300 * time.Millisecond, ClockDrift: 0.02, ReplicaTimeout: 250 * time.Millisecond,
		ClaimTimeout: 250 * time.Millisecond, Retention: 10 * time.Second, MaxClientWait: longest, MaxRecords: 4096, MaxBodyBytes: 4 << 10}
}

// MaxBodyLimit bounds Settings.Body.
const MaxBodyLimit = 16 << 10

// Check names the first setting that can't be used.
func (s Settings) Check() error {
	switch {
	case s.Self == "" || len(s.Self) > 128 || len(s.Place) > 64 || s.Process == 0:
		return fmt.Errorf("setting Self is %q, Place %q, Process %d: names of up to 128 and 64 bytes, a number above 0", s.Self, s.Place, s.Process)
	case s.ClusterSize < 2:
		return fmt.Errorf("setting Size is %d: without another router there is no keeper", s.ClusterSize)
	case s.LeaseDuration < 100*time.Millisecond || s.LeaseDuration > time.Minute:
		return fmt.Errorf("setting Lease is %v, not 100 ms to a minute", s.LeaseDuration)
	case !(s.ClockDrift >= 0 && s.ClockDrift <= 0.2):
		return fmt.Errorf("setting Drift is %v, not 0 to 0.2", s.ClockDrift)
	case s.ReplicaTimeout < 10*time.Millisecond || s.ReplicaTimeout > 10*time.Second || s.ClaimTimeout < 10*time.Millisecond || s.ClaimTimeout > 10*time.Second:
		return fmt.Errorf("setting Wait is %v, Claim %v, not 10 ms to 10 s", s.ReplicaTimeout, s.ClaimTimeout)
	case s.MaxClientWait <= 0 || s.Retention < s.MaxClientWait || s.Retention > 10*time.Minute:
		return fmt.Errorf("setting Keep is %v, not from the longest wait of a client (%v) to 10 minutes", s.Retention, s.MaxClientWait)
	case s.MaxRecords < 16 || s.MaxRecords > 1<<20:
		return fmt.Errorf("setting Records is %d, not 16 to a million", s.MaxRecords)
	case s.MaxBodyBytes < 0 || s.MaxBodyBytes > MaxBodyLimit:
		return fmt.Errorf("setting Body is %d, not 0 to %d", s.MaxBodyBytes, MaxBodyLimit)
	}
	return nil
}

// outlasts is a time on the own clock after which the same time has surely passed on any other that is allowed.
func (s Settings) outlasts(d time.Duration) time.Duration {
	return time.Duration(math.Ceil(float64(d) * (1 + s.ClockDrift) / (1 - s.ClockDrift)))
}

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

// ActionKind is what an action asks for.
type ActionKind uint8

// The actions.
const (
	ActionSend        ActionKind = iota // the order Txn may be sent now: Right says so until its lease has run out
	ActionStop                          // the order Txn may not be sent, and Err says why; it is the caller's no more
	ActionRelease                       // the refusal of the order Txn may be told: no other router runs it. With Err, it may
	ActionRun                           // another's order is this router's to run now: Order
	ActionBeginClaim                    // the claim ID is the claimant's to run: as the order of Order.Txn, with Order's Left
	ActionSettleClaim                   // the claim ID has come to Outcome; Err is set where that is but what can be said
)

// Action is something to be done.
type Action struct {
	Kind    ActionKind
	Txn     string
	ClaimID uint64
	Order   Order
	Outcome Outcome
	Err     error
}

// Event is a step of an order, for the log.
type Event struct {
	Step string // as in docs/takeover.md
	Txn  string
	Peer string // the other router, if there is one
}

// Incarnation is a process of a router.
type Incarnation struct {
	Name    string
	Process uint64
}

// Peer is another router that is alive.
type Peer struct{ Name, Place string }

// Coordinator is one router's part. It is not safe for concurrent use.
type Coordinator struct {
	set       Settings
	post      *messaging.Messenger
	live      []Peer
	born      time.Duration // 0: not yet
	keeperNow *keeper       // for new orders
	keepers   []*keeper     // of all orders
	number    uint64        // of the latest session
	swept     time.Duration
	blurred   time.Duration // until then something may have been forgotten too soon
	dirty     []string      // own orders of which a keeper may have to be told
	over      []string      // own orders that have ended, oldest first
	past      []string      // records that have ended, oldest first
	mine      map[string]*own
	asked     map[uint64]ask // parcels on the way, by their numbers
	records   map[string]*record
	owners    map[Incarnation]*owner
	claims    map[uint64]*claim
	actions   []Action
	events    []Event
	Totals    Counters
}

// Counters count what has happened since the start, for operators.
type Counters struct {
	OrdersReplicated, OrdersWithoutReplica, LeasesLost uint64 // taken; refused without a keeper; whose right was lost
	RecordsStored, RecordsRejected                     uint64 // kept for others; turned away
	OwnersLost, OrdersTakenOver, OrdersRun             uint64 // owners lost; their records; of these run here
	Claims, ClaimsAnswered, OrdersGiven                uint64 // asked; answered with an outcome; given to run
	ClaimsOfUnsent, ClaimsMayHaveRun                   uint64 // run as nobody knew them; told as may have run
}

// New returns the part of a process that has just started.
func New(set Settings) (*Coordinator, error) {
	if err := set.Check(); err != nil {
		return nil, fmt.Errorf("takeover: %w", err)
	}
	return &Coordinator{set: set, post: messaging.New(messaging.Defaults(set.Self, set.Process)), mine: map[string]*own{}, asked: map[uint64]ask{},
		records: map[string]*record{}, owners: map[Incarnation]*owner{}, claims: map[uint64]*claim{}}, nil
}

// Actions returns what is to be done, and forgets it.
func (t *Coordinator) Actions() []Action {
	a := t.actions
	t.actions = nil
	return a
}

// Events returns the steps of orders since it was called last, if somebody reads them.
func (t *Coordinator) Events() []Event {
	e := t.events
	t.events = nil
	return e
}

func (t *Coordinator) do(a Action) { t.actions = append(t.actions, a) }

func (t *Coordinator) log(what, txn, peer string) {
	if len(t.events) < eventsMost {
		t.events = append(t.events, Event{what, txn, peer})
	}
}

// eventsMost is how many steps are held for one that reads none.
const eventsMost = 4096

// SetPeers tells who else is alive, in the order of their names.
func (t *Coordinator) SetPeers(now time.Duration, others []Peer) {
	if t.born == 0 {
		t.born = max(now, 1)
	}
	t.live = others
}

// DuePackets returns the packets that are due.
func (t *Coordinator) DuePackets(now time.Duration) []messaging.Packet {
	t.tellAll(now)
	return t.post.DuePackets(now)
}

// Receive takes a packet of another router.
func (t *Coordinator) Receive(now time.Duration, data []byte) {
	for _, a := range t.post.Receive(now, data) {
		var m message
		if err := cbor.Unmarshal(a.Body, &m); err != nil || !m.sane() {
			t.answer(a, word{Say: sayBad})
			continue
		}
		switch m.Kind {
		case kindTell:
			t.told(now, a, m)
		case kindClaim:
			t.claimed(now, a, m)
		case kindNews:
			t.news(now, a, m)
		default:
			t.answer(a, word{Say: sayBad})
		}
	}
	t.ends(now)
}

// ends takes the ends of the parcels that this router has sent.
func (t *Coordinator) ends(now time.Duration) {
	for _, d := range t.post.Completions() {
		a, ok := t.asked[d.ID]
		delete(t.asked, d.ID)
		if !ok {
			continue
		}
		var w word
		if d.Err == nil {
			if err := cbor.Unmarshal(d.Reply, &w); err != nil || !w.sane() {
				w = word{Say: sayBad}
			}
		}
		if a.claim != 0 {
			t.heard(now, a, d, w)
		} else {
			t.kept(now, a, d, w)
		}
	}
}

// Tick looks at what has run out. It is due every few milliseconds; one that comes late, as after a stop of the process,
// does no harm.
func (t *Coordinator) Tick(now time.Duration) {
	t.post.Tick(now)
	t.ends(now)
	t.beatOwn(now)
	t.beatRecords(now)
	t.beatClaims(now)
}

// ask is a parcel on its way: what it told of an order, or of a claim.
type ask struct {
	txn     string
	step    step
	session uint64
	sent    time.Duration
	claim   uint64
	to      string
}

// send sends a message to a router, until a time.
func (t *Coordinator) send(now time.Duration, to string, m message, until time.Duration, a ask) (uint64, error) {
	body, err := cbor.Marshal(&m)
	if err != nil {
		return 0, fmt.Errorf("takeover: %w", err)
	}
	id, err := t.post.Send(now, to, body, until)
	if err == nil {
		a.sent, a.to = now, to
		t.asked[id] = a
	}
	return id, err
}

func (t *Coordinator) answer(a messaging.Delivery, w word) {
	if b, err := cbor.Marshal(&w); err == nil { // it can't fail for this type
		t.post.Acknowledge(a, b)
	}
}

// best is who is to keep this router's orders: the highest score, first of those in another place, without some.
func (t *Coordinator) best(without []string) (name string) {
	for _, near := range []bool{false, true} {
		var names []string
		for _, o := range t.live {
			if !slices.Contains(without, o.Name) && (near || t.set.Place == "" || o.Place != t.set.Place) {
				names = append(names, o.Name)
			}
		}
		if len(names) > 0 {
			return placement.First("keeper of "+t.set.Self, names)
		}
	}
	return ""
}

// Stats are what this router holds now, for operators.
type Stats struct {
	Counters
	Replica                                 string
	OpenOrders, Records, Owners, OpenClaims int // own orders; records of others; their owners; claims that wait
	MaxQueued                               int // parcels to the router to which most are on the way
}

// Stats returns what this router holds.
func (t *Coordinator) Stats() Stats {
	f := Stats{Counters: t.Totals, OpenOrders: len(t.mine), Records: len(t.records), Owners: len(t.owners), OpenClaims: len(t.claims), MaxQueued: t.post.MaxQueued()}
	if t.keeperNow != nil {
		f.Replica = t.keeperNow.name
	}
	return f
}
