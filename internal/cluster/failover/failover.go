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
	Self    string
	Process uint64
	Place   string        // where this router is; a keeper is elsewhere, if there is one
	Size    int           // routers of the fleet
	Strict  bool          // all routers that take orders are of the fleet, and send none without a keeper's word
	Lease   time.Duration // an owner that says nothing for so long is lost
	Drift   float64       // how much quicker or slower than true a clock may run, as a share
	Wait    time.Duration // for a keeper's word, before another is asked
	Claim   time.Duration // for the words of all, before the strongest counts
	Keep    time.Duration // how long a record outlives the order's time
	Longest time.Duration // that an order's client waits
	Records int           // kept of others
	Body    int           // bytes of a body that is kept in a record, and of an outcome
}

// Defaults returns settings for a fleet of so many routers, whose clients wait for so long at most.
func Defaults(self string, process uint64, size int, longest time.Duration) Settings {
	return Settings{Self: self, Process: process, Size: size, Strict: true, Lease: 300 * time.Millisecond, Drift: 0.02, Wait: 250 * time.Millisecond,
		Claim: 250 * time.Millisecond, Keep: 10 * time.Second, Longest: longest, Records: 4096, Body: 4 << 10}
}

// BodyMost bounds Settings.Body.
const BodyMost = 16 << 10

// Check names the first setting that can't be used.
func (s Settings) Check() error {
	switch {
	case s.Self == "" || len(s.Self) > 128 || len(s.Place) > 64 || s.Process == 0:
		return fmt.Errorf("setting Self is %q, Place %q, Process %d: names of up to 128 and 64 bytes, a number above 0", s.Self, s.Place, s.Process)
	case s.Size < 2:
		return fmt.Errorf("setting Size is %d: without another router there is no keeper", s.Size)
	case s.Lease < 100*time.Millisecond || s.Lease > time.Minute:
		return fmt.Errorf("setting Lease is %v, not 100 ms to a minute", s.Lease)
	case !(s.Drift >= 0 && s.Drift <= 0.2):
		return fmt.Errorf("setting Drift is %v, not 0 to 0.2", s.Drift)
	case s.Wait < 10*time.Millisecond || s.Wait > 10*time.Second || s.Claim < 10*time.Millisecond || s.Claim > 10*time.Second:
		return fmt.Errorf("setting Wait is %v, Claim %v, not 10 ms to 10 s", s.Wait, s.Claim)
	case s.Longest <= 0 || s.Keep < s.Longest || s.Keep > 10*time.Minute:
		return fmt.Errorf("setting Keep is %v, not from the longest wait of a client (%v) to 10 minutes", s.Keep, s.Longest)
	case s.Records < 16 || s.Records > 1<<20:
		return fmt.Errorf("setting Records is %d, not 16 to a million", s.Records)
	case s.Body < 0 || s.Body > BodyMost:
		return fmt.Errorf("setting Body is %d, not 0 to %d", s.Body, BodyMost)
	}
	return nil
}

// outlasts is a time on the own clock after which the same time has surely passed on any other that is allowed.
func (s Settings) outlasts(d time.Duration) time.Duration {
	return time.Duration(math.Ceil(float64(d) * (1 + s.Drift) / (1 - s.Drift)))
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

// Op is what an action asks for.
type Op uint8

// The actions.
const (
	Go      Op = iota // the order Txn may be sent now: Right says so until its lease has run out
	Stop              // the order Txn may not be sent, and Err says why; it is the caller's no more
	Release           // the refusal of the order Txn may be told: no other router runs it. With Err, it may
	Run               // another's order is this router's to run now: Order
	Begin             // the claim ID is the claimant's to run: as the order of Order.Txn, with Order's Left
	Settle            // the claim ID has come to Outcome; Err is set where that is but what can be said
)

// Action is something to be done.
type Action struct {
	Op      Op
	Txn     string
	ID      uint64
	Order   Order
	Outcome Outcome
	Err     error
}

// Event is a step of an order, for the log.
type Event struct {
	What string // as in docs/takeover.md
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

// Table is one router's part. It is not safe for concurrent use.
type Table struct {
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
	Totals    Totals
}

// Totals count what has happened since the start, for operators.
type Totals struct {
	Orders, Unkept, Lost   uint64 // taken; refused without a keeper; whose right was lost
	Records, Full          uint64 // kept for others; turned away
	Fallen, Taken, Ran     uint64 // owners lost; their records; of these run here
	Claims, Answered, Runs uint64 // asked; answered with an outcome; given to run
	Unknown, May           uint64 // run as nobody knew them; told as may have run
}

// New returns the part of a process that has just started.
func New(set Settings) (*Table, error) {
	if err := set.Check(); err != nil {
		return nil, fmt.Errorf("takeover: %w", err)
	}
	return &Table{set: set, post: messaging.New(messaging.Defaults(set.Self, set.Process)), mine: map[string]*own{}, asked: map[uint64]ask{},
		records: map[string]*record{}, owners: map[Incarnation]*owner{}, claims: map[uint64]*claim{}}, nil
}

// Actions returns what is to be done, and forgets it.
func (t *Table) Actions() []Action {
	a := t.actions
	t.actions = nil
	return a
}

// Events returns the steps of orders since it was called last, if somebody reads them.
func (t *Table) Events() []Event {
	e := t.events
	t.events = nil
	return e
}

func (t *Table) do(a Action) { t.actions = append(t.actions, a) }

func (t *Table) log(what, txn, peer string) {
	if len(t.events) < eventsMost {
		t.events = append(t.events, Event{what, txn, peer})
	}
}

// eventsMost is how many steps are held for one that reads none.
const eventsMost = 4096

// Live tells who else is alive, in the order of their names.
func (t *Table) Live(now time.Duration, others []Peer) {
	if t.born == 0 {
		t.born = max(now, 1)
	}
	t.live = others
}

// Out returns the packets that are due.
func (t *Table) Out(now time.Duration) []messaging.Packet {
	t.tellAll(now)
	return t.post.DuePackets(now)
}

// Take takes a packet of another router.
func (t *Table) Take(now time.Duration, data []byte) {
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
func (t *Table) ends(now time.Duration) {
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

// Beat looks at what has run out. It is due every few milliseconds; one that comes late, as after a stop of the process,
// does no harm.
func (t *Table) Beat(now time.Duration) {
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
func (t *Table) send(now time.Duration, to string, m message, until time.Duration, a ask) (uint64, error) {
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

func (t *Table) answer(a messaging.Delivery, w word) {
	if b, err := cbor.Marshal(&w); err == nil { // it can't fail for this type
		t.post.Acknowledge(a, b)
	}
}

// best is who is to keep this router's orders: the highest score, first of those in another place, without some.
func (t *Table) best(without []string) (name string) {
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

// Figures are what this router holds now, for operators.
type Figures struct {
	Totals
	Keeper                  string
	Open, Kept, Owners, Due int // own orders; records of others; their owners; claims that wait
	Waiting                 int // parcels to the router to which most are on the way
}

// Figures returns what this router holds.
func (t *Table) Figures() Figures {
	f := Figures{Totals: t.Totals, Open: len(t.mine), Kept: len(t.records), Owners: len(t.owners), Due: len(t.claims), Waiting: t.post.MaxQueued()}
	if t.keeperNow != nil {
		f.Keeper = t.keeperNow.name
	}
	return f
}
