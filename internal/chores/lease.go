// Package chores decides which instance does which periodic duty, where instances may talk to each other: who owns a
// duty, for how long, what epoch that is, when somebody else takes over, and what is done in doubt. It does no I/O
// and reads no clock: what happens is told by calls that carry the time, and messages to send are read with Outbox.
//
// Duties are spread over slots, and each slot is leased. A lease holds for a time from when it was asked for, on the
// owner's clock, once a majority of the configured instances has promised to give that slot to nobody else; they keep
// the promise for longer, by what the slowest clock allowed may lose against the quickest. So two leases of one slot
// never hold at a time, whatever the network does: it can only keep a slot from being owned.
package chores

import (
	"fmt"
	"math"
	"time"
)

// Settings set up one instance.
type Settings struct {
	Self    string        // its name; a process that restarts has the same
	Process uint64        // a number that no other process of the name has
	Members int           // instances that the operator configured
	Slots   int           // leases in all
	Lease   time.Duration // how long one holds
	Beat    time.Duration // between claims, which show that the instance lives too
	Dead    time.Duration // an instance that was not heard for so long owns nothing new
	Drift   float64       // how much quicker or slower than true a clock may run, as a share
}

// Defaults returns settings with which the slots of an instance that dies are taken over within two seconds.
func Defaults(self string, process uint64, members int) Settings {
	return Settings{Self: self, Process: process, Members: members, Slots: 64, Lease: time.Second, Beat: 250 * time.Millisecond,
		Dead: time.Second, Drift: 0.02}
}

// Check names the first setting that can't be used.
func (s Settings) Check() error {
	switch {
	case s.Self == "" || len(s.Self) > 128:
		return fmt.Errorf("Self is %q, not a name of up to 128 bytes", s.Self)
	case s.Members < 1 || s.Members > 1000:
		return fmt.Errorf("Members is %d, not 1 to 1000", s.Members)
	case s.Slots < 1 || s.Slots > 1024:
		return fmt.Errorf("Slots is %d, not 1 to 1024", s.Slots)
	case s.Beat <= 0 || s.Lease < 2*s.Beat || s.Dead < 2*s.Beat || s.Lease > time.Minute || s.Dead > time.Minute:
		return fmt.Errorf("Beat %v, Lease %v, Dead %v: two beats at least must fit in the others, and those in a minute", s.Beat, s.Lease, s.Dead)
	case !(s.Drift >= 0 && s.Drift <= 0.2):
		return fmt.Errorf("Drift is %v, not 0 to 0.2", s.Drift)
	}
	return nil
}

// promise is how long a promise is kept: longer than the owner holds the lease, on any two clocks allowed.
func (s Settings) promise() time.Duration {
	return time.Duration(math.Ceil(float64(s.Lease) * (1 + s.Drift) / (1 - s.Drift)))
}

// Kind is the kind of a message.
type Kind uint8

// The messages.
const (
	Claim   Kind = iota // asks for slots; with none, it shows that the instance lives
	Answer              // promises slots, and tells the epochs of those that are refused
	Release             // gives slots back before their time
)

// Item is a slot in a message.
type Item struct {
	Slot  int
	Epoch uint64
	Yes   bool // of Answer: promised
}

// Message goes between instances.
type Message struct {
	Kind    Kind
	From    string
	Process uint64
	Round   uint64 // of the claim; an answer repeats it
	Items   []Item
}

// Letter is a message to be sent: to one instance, or to all others where To is empty.
type Letter struct {
	To  string
	Msg Message
}

// Change is a slot that was won or lost.
type Change struct {
	Slot     int
	Epoch    uint64
	Won      bool
	TakeOver bool // of one won: another owned it before
}

// owner is a process of an instance: one that restarts has promised nothing, and was promised nothing.
type owner struct {
	name    string
	process uint64
}

// pledge is what this instance has promised of a slot.
type pledge struct {
	to    owner
	epoch uint64
	until time.Duration
}

// hold is a slot as its owner, or who wants to be, sees it.
type hold struct {
	epoch uint64
	until time.Duration // the lease holds before; 0: it does not
	since uint64        // answers to earlier rounds say nothing any more
	asked time.Duration // when the epoch was chosen
	spent bool          // the epoch can't be had any more: another has a later one, or it was given back
	after bool          // somebody owned the slot before
}

// round is a claim whose answers may come.
type round struct {
	number uint64
	sent   time.Duration
	yes    map[int]int // promises by slot
	from   map[string]bool
}

const roundsKept = 8

// Leases is the state of one instance.
type Leases struct {
	set     Settings
	started bool
	from    time.Duration // it promises nothing before: it may have, before it restarted, and forgot a later epoch
	beat    time.Duration // the next one
	heard   map[string]time.Duration
	pledges []pledge
	seen    []uint64 // the highest epoch of each slot
	holds   []hold
	rounds  []round
	number  uint64
	out     []Letter
	changes []Change
}

// New returns an instance that has just started.
func New(set Settings) (*Leases, error) {
	if err := set.Check(); err != nil {
		return nil, fmt.Errorf("chores: %w", err)
	}
	return &Leases{set: set, heard: map[string]time.Duration{}, pledges: make([]pledge, set.Slots), seen: make([]uint64, set.Slots),
		holds: make([]hold, set.Slots)}, nil
}

// Outbox returns what is to be sent, and forgets it.
func (l *Leases) Outbox() []Letter {
	out := l.out
	l.out = nil
	return out
}

// Changes returns the slots won and lost since the last call.
func (l *Leases) Changes() []Change {
	c := l.changes
	l.changes = nil
	return c
}

// Owns tells whether the lease of a slot holds now, and its epoch. It is to be asked right before each thing that only
// the owner may do: an owner that was stopped in between finds out here.
func (l *Leases) Owns(slot int, now time.Duration) (epoch uint64, ok bool) {
	h := &l.holds[slot]
	return h.epoch, h.until > 0 && now < h.until
}

// Heard is how many of the configured instances, itself among them, were heard of late.
func (l *Leases) Heard(now time.Duration) int {
	n := 1
	for _, at := range l.heard {
		if now-at < l.set.Dead {
			n++
		}
	}
	return n
}

// Majority tells whether slots can be owned on this side of the network.
func (l *Leases) Majority(now time.Duration) bool { return 2*l.Heard(now) > l.set.Members }

// Preferred is the instance that should own a slot: of those heard of late the one with the highest score.
func (l *Leases) Preferred(slot int, now time.Duration) string {
	best, top := l.set.Self, score(slot, l.set.Self)
	for name, at := range l.heard {
		if now-at >= l.set.Dead {
			continue
		}
		if s := score(slot, name); s > top || s == top && name < best {
			best, top = name, s
		}
	}
	return best
}

// score ranks the instances for a slot. All instances rank alike.
func score(slot int, name string) uint64 {
	h := uint64(14695981039346656037) // FNV-1a, with a salt of this package's own
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * 1099511628211
	}
	h ^= (uint64(slot) + 0x63686f72) * 0x9e3779b97f4a7c15
	h = (h ^ h>>33) * 0xff51afd7ed558ccd // FNV alone ranks names alike that are alike
	h = (h ^ h>>29) * 0xc4ceb9fe1a85ec53
	return h ^ h>>32
}

// Tick does what is due; wall is the time since the Unix epoch, which need only be right to a lease. It returns when
// it wants to be called again.
func (l *Leases) Tick(now, wall time.Duration) (next time.Duration) {
	if !l.started {
		l.started, l.from, l.beat = true, now+l.set.promise()+l.set.Lease, now
	}
	l.expire(now)
	if now >= l.beat {
		l.beat = now + l.set.Beat
		l.claim(now, wall)
	}
	return l.beat
}

// expire takes note of leases that have run out.
func (l *Leases) expire(now time.Duration) {
	for i := range l.holds {
		if h := &l.holds[i]; h.until > 0 && now >= h.until {
			h.until, h.spent = 0, true // another may have had it by the time it can be had again
			l.changes = append(l.changes, Change{Slot: i, Epoch: h.epoch})
		}
	}
}

// claim asks for the slots that this instance should own, and gives back those that another should.
func (l *Leases) claim(now, wall time.Duration) {
	for name, at := range l.heard {
		if now-at > 10*l.set.Dead { // bounded, also where names come and go
			delete(l.heard, name)
		}
	}
	l.number++
	msg := Message{Kind: Claim, From: l.set.Self, Process: l.set.Process, Round: l.number}
	var back []Item
	for i := range l.holds {
		h := &l.holds[i]
		held := h.until > 0
		switch mine := l.Preferred(i, now) == l.set.Self; {
		case mine && !held && (h.epoch == 0 || h.spent || now-h.asked >= l.set.Lease):
			// Those who knew later epochs may have restarted and forgotten: it must be of now by the wall's clock.
			*h = hold{epoch: max(l.seen[i]+1, uint64(max(wall.Milliseconds(), 0))), since: l.number, after: l.seen[i] > 0, asked: now}
			fallthrough
		case mine:
			msg.Items = append(msg.Items, Item{Slot: i, Epoch: h.epoch})
		case held:
			back = append(back, l.drop(i))
		}
	}
	l.giveBack(back)
	if len(l.rounds) == roundsKept {
		l.rounds = append(l.rounds[:0], l.rounds[1:]...)
	}
	l.rounds = append(l.rounds, round{number: l.number, sent: now, yes: map[int]int{}, from: map[string]bool{}})
	l.out = append(l.out, Letter{Msg: msg})
	l.answered(now, l.answer(now, msg)) // its own promise counts as any other
}

// Stop gives all slots back, as the instance ends.
func (l *Leases) Stop() {
	var back []Item
	for i := range l.holds {
		if l.holds[i].until > 0 {
			back = append(back, l.drop(i))
		}
	}
	l.giveBack(back)
}

// drop ends a lease before its time: answers to earlier rounds don't renew it, and the epoch is not had again.
func (l *Leases) drop(slot int) Item {
	h := &l.holds[slot]
	h.until, h.since, h.spent = 0, l.number+1, true
	l.changes = append(l.changes, Change{Slot: slot, Epoch: h.epoch})
	return Item{Slot: slot, Epoch: h.epoch}
}

// giveBack tells all that slots are free, and is told so itself.
func (l *Leases) giveBack(items []Item) {
	if len(items) == 0 {
		return
	}
	back := Message{Kind: Release, From: l.set.Self, Process: l.set.Process, Items: items}
	l.release(back)
	l.out = append(l.out, Letter{Msg: back})
}

// Take takes a message of another instance. What can't be of one is passed over.
func (l *Leases) Take(now time.Duration, m Message) {
	if m.From == "" || m.From == l.set.Self || len(m.From) > 128 || len(m.Items) > l.set.Slots || !l.started {
		return
	}
	if _, known := l.heard[m.From]; !known && len(l.heard) >= 4*l.set.Members {
		return // not one of ours
	}
	for _, it := range m.Items {
		if it.Slot < 0 || it.Slot >= l.set.Slots {
			return
		}
	}
	l.expire(now)
	l.heard[m.From] = now
	switch m.Kind {
	case Claim:
		if len(m.Items) > 0 {
			l.out = append(l.out, Letter{To: m.From, Msg: l.answer(now, m)})
		}
	case Answer:
		l.answered(now, m)
	case Release:
		l.release(m)
	}
}

// answer promises what can be promised of a claim.
func (l *Leases) answer(now time.Duration, m Message) Message {
	a := Message{Kind: Answer, From: l.set.Self, Process: l.set.Process, Round: m.Round}
	who := owner{m.From, m.Process}
	for _, it := range m.Items {
		p := &l.pledges[it.Slot]
		ok := now >= l.from
		if p.to == who { // the owner renews; a claim that was overtaken by a newer one does not
			ok = ok && it.Epoch >= p.epoch
		} else { // whoever was promised it may still own it
			ok = ok && now >= p.until && it.Epoch > l.seen[it.Slot]
		}
		if ok {
			*p = pledge{to: who, epoch: it.Epoch, until: now + l.set.promise()}
			l.seen[it.Slot] = max(l.seen[it.Slot], it.Epoch)
			a.Items = append(a.Items, Item{Slot: it.Slot, Epoch: it.Epoch, Yes: true})
		} else {
			a.Items = append(a.Items, Item{Slot: it.Slot, Epoch: l.seen[it.Slot]})
		}
	}
	return a
}

// answered counts the promises in an answer. The lease runs from when it was asked for.
func (l *Leases) answered(now time.Duration, m Message) {
	var r *round
	for i := range l.rounds {
		if l.rounds[i].number == m.Round {
			r = &l.rounds[i]
		}
	}
	if r == nil || r.from[m.From] {
		return
	}
	r.from[m.From] = true
	for _, it := range m.Items {
		h := &l.holds[it.Slot]
		if !it.Yes {
			l.seen[it.Slot] = max(l.seen[it.Slot], it.Epoch)
			h.spent = h.spent || it.Epoch >= h.epoch && h.until == 0
			continue
		}
		if it.Epoch != h.epoch || r.number < h.since {
			continue
		}
		r.yes[it.Slot]++
		until := r.sent + l.set.Lease
		if 2*r.yes[it.Slot] <= l.set.Members || now >= until || until <= h.until {
			continue
		}
		if h.until == 0 {
			l.changes = append(l.changes, Change{Slot: it.Slot, Epoch: h.epoch, Won: true, TakeOver: h.after})
		}
		h.until = until
	}
}

// release forgets promises that are given back.
func (l *Leases) release(m Message) {
	for _, it := range m.Items {
		if p := &l.pledges[it.Slot]; p.to == (owner{m.From, m.Process}) && p.epoch == it.Epoch {
			p.to, p.until = owner{}, 0
		}
	}
}
