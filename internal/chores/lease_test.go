package chores

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var (
	seeds = flag.Int("seeds", 300, "how many seeds the simulated network is run with")
	first = flag.Uint64("first", 1, "the first of them")
)

const ms = time.Millisecond

// sim is some instances on a simulated network, in virtual time.
type sim struct {
	t      testing.TB
	seed   uint64
	rnd    *rand.Rand
	now    time.Duration
	events events
	count  int
	nodes  []*node
	loss   float64
	most   time.Duration // of a message on its way
	cut    map[[2]int]bool
	epochs []uint64 // the highest under which each slot was owned
	hash   uint64
	duties map[string]*duty // what was run; nil: the chores are left out
}

type node struct {
	l       *Leases
	sched   *Schedule
	set     Settings
	offset  time.Duration
	rate    float64 // of its clock
	skew    time.Duration
	dead    bool
	paused  bool
	waiting []func() // what came while it was stopped
	life    int      // counts its processes
}

func (n *node) clock(now time.Duration) time.Duration {
	return n.offset + time.Duration(float64(now)*n.rate)
}

type event struct {
	at    time.Duration
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func newSim(t testing.TB, seed uint64, n, slots int) *sim {
	s := &sim{t: t, seed: seed, rnd: rand.New(rand.NewPCG(seed, 3)), most: 20 * ms, cut: map[[2]int]bool{}, epochs: make([]uint64, slots)}
	for i := range n {
		set := Defaults(fmt.Sprintf("n%d", i), 0, n)
		set.Slots = slots
		if seed%2 == 0 { // far apart, so that what depends on it shows
			set.Drift = 0.15
		}
		s.nodes = append(s.nodes, &node{set: set, offset: time.Duration(1+s.rnd.IntN(1000)) * time.Second,
			rate: 1 + set.Drift*float64(s.rnd.IntN(3)-1), skew: time.Duration(s.rnd.IntN(800)-400) * ms})
		s.start(i)
	}
	return s
}

func (s *sim) after(d time.Duration, do func()) {
	s.count++
	heap.Push(&s.events, event{s.now + d, s.count, do})
}

// start starts an instance's process, which knows nothing.
func (s *sim) start(i int) {
	n := s.nodes[i]
	n.life++
	n.dead, n.paused, n.waiting = false, false, nil
	n.set.Process = uint64(n.life)
	var err error
	if n.l, err = New(n.set); err != nil {
		s.t.Fatal(err)
	}
	n.sched = NewSchedule(n.l, s.seed<<8+uint64(i))
	var chores []Chore
	for k := range 6 {
		chores = append(chores, Chore{Key: fmt.Sprint("c", k), Every: time.Second})
	}
	n.sched.Set("probe", chores)
	life := n.life
	s.after(time.Duration(s.rnd.IntN(250))*ms, func() { s.tick(i, life) })
}

func (s *sim) tick(i, life int) {
	n := s.nodes[i]
	if n.dead || n.life != life {
		return
	}
	if n.paused {
		n.waiting = append(n.waiting, func() { s.tick(i, life) })
		return
	}
	local := n.clock(s.now)
	next := n.l.Tick(local, time.Hour+s.now+n.skew)
	s.post(i)
	if s.duties != nil {
		s.perform(i)
	}
	s.after(max(time.Duration(float64(next-local)/n.rate), ms), func() { s.tick(i, life) })
}

// post sends what an instance has to send.
func (s *sim) post(i int) {
	for _, letter := range s.nodes[i].l.Outbox() {
		for j, to := range s.nodes {
			if j == i || letter.To != "" && letter.To != to.set.Self || s.cut[[2]int{i, j}] || s.rnd.Float64() < s.loss {
				continue
			}
			msg, life := letter.Msg, to.life
			msg.Items = slices.Clone(msg.Items)
			for range 1 + s.rnd.IntN(12)/11 { // now and then it comes twice
				s.after(time.Duration(s.rnd.Int64N(int64(s.most))), func() { s.deliver(j, life, msg) })
			}
		}
	}
}

func (s *sim) deliver(j, life int, m Message) {
	n := s.nodes[j]
	switch {
	case n.dead || n.life != life:
	case n.paused:
		n.waiting = append(n.waiting, func() { s.deliver(j, life, m) })
	default:
		n.l.Take(n.clock(s.now), m)
		s.post(j)
	}
}

// run lets time pass, and checks the rules after each step.
func (s *sim) run(d time.Duration) {
	end := s.now + d
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
		s.check()
	}
	s.now = end
	s.check()
}

func (s *sim) check() {
	for slot := range s.epochs {
		owners := 0
		for i, n := range s.nodes {
			if n.dead {
				continue
			}
			epoch, ok := n.l.Owns(slot, n.clock(s.now))
			if !ok {
				continue
			}
			owners++
			s.hash = (s.hash ^ uint64(i)<<32 ^ epoch ^ uint64(s.now)) * 1099511628211
			if epoch < s.epochs[slot] {
				s.t.Fatalf("seed %d, %v: slot %d owned under epoch %d after %d", s.seed, s.now, slot, epoch, s.epochs[slot])
			}
			s.epochs[slot] = epoch
		}
		if owners > 1 {
			s.t.Fatalf("seed %d, %v: slot %d has %d owners", s.seed, s.now, slot, owners)
		}
	}
}

// trouble has something happen that a network or a machine does.
func (s *sim) trouble() {
	i, j := s.rnd.IntN(len(s.nodes)), s.rnd.IntN(len(s.nodes))
	n, span := s.nodes[i], time.Duration(s.rnd.IntN(3000))*ms
	switch s.rnd.IntN(7) {
	case 0: // killed, and back with an empty state
		n.dead = true
		s.after(span, func() {
			if n.dead {
				s.start(i)
			}
		})
	case 1: // stopped, and goes on as though nothing had been
		n.paused = true
		life := n.life
		s.after(span, func() {
			if n.life == life && n.paused {
				n.paused = false
				todo := n.waiting
				n.waiting = nil
				for _, do := range todo {
					do()
				}
			}
		})
	case 2: // one way
		s.cut[[2]int{i, j}] = true
		s.after(span, func() { delete(s.cut, [2]int{i, j}) })
	case 3: // in two or three parts
		part := make([]int, len(s.nodes))
		for k := range part {
			part[k] = s.rnd.IntN(3)
		}
		for a := range part {
			for b := range part {
				if part[a] != part[b] {
					s.cut[[2]int{a, b}] = true
				}
			}
		}
		s.after(span, func() { clear(s.cut) })
	case 4:
		s.loss = s.rnd.Float64() * 0.5
		s.after(span, func() { s.loss = 0 })
	case 5:
		s.most = time.Duration(1+s.rnd.IntN(1500)) * ms
		s.after(span, func() { s.most = 20 * ms })
	case 6:
		n.l.Stop()
		s.post(i)
	}
}

// rough plays one trouble after the other, and then lets all be well for a time.
func (s *sim) rough(calm time.Duration) {
	for range 8 {
		s.run(time.Duration(s.rnd.IntN(1500)) * ms)
		s.trouble()
	}
	s.run(3 * time.Second)
	clear(s.cut)
	s.loss, s.most = 0, 20*ms
	s.run(calm)
}

func play(t testing.TB, seed uint64) uint64 {
	s := newSim(t, seed, 3+int(seed%3), 3)
	s.rough(7 * time.Second) // then every slot has its owner again
	for slot := range s.epochs {
		if s.owner(slot) < 0 {
			t.Fatalf("seed %d: slot %d has no owner at the end", seed, slot)
		}
	}
	return s.hash
}

func (s *sim) owner(slot int) int {
	for i, n := range s.nodes {
		if _, ok := n.l.Owns(slot, n.clock(s.now)); ok && !n.dead {
			return i
		}
	}
	return -1
}

// Whatever the network does, no slot has two owners, no epoch goes back, and once it is well all slots are owned. A
// seed plays the same each time.
func TestLeases(t *testing.T) {
	for seed := *first; seed < *first+uint64(*seeds); seed++ {
		hash := play(t, seed)
		if seed%50 == 0 && play(t, seed) != hash {
			t.Fatalf("seed %d played otherwise the second time", seed)
		}
	}
}

// The slots of an instance that dies, or is stopped, have another owner within three seconds.
func TestTakeOver(t *testing.T) {
	var took []time.Duration
	for seed := range uint64(200) {
		s := newSim(t, seed, 3, 6)
		s.run(6 * time.Second)
		victim := s.owner(int(seed % 6))
		if victim < 0 {
			t.Fatalf("seed %d: a slot has no owner", seed)
		}
		n := s.nodes[victim]
		n.paused = true
		for start := s.now; ; {
			s.run(10 * ms)
			if o := s.owner(int(seed % 6)); o >= 0 && o != victim {
				took = append(took, s.now-start)
				break
			}
			if s.now-start > 3*time.Second {
				t.Fatalf("seed %d: nobody took over in 3 s", seed)
			}
		}
	}
	slices.Sort(took)
	t.Logf("taken over after %v in the median, %v at most", took[len(took)/2], took[len(took)-1])
}

// A process that comes under an old name owns nothing that the one before was promised: that may only be stopped.
func TestNewProcess(t *testing.T) {
	l, err := New(Defaults("a", 1, 3))
	if err != nil {
		t.Fatal(err)
	}
	now := time.Hour
	l.Tick(now, 0)
	ask := func(process, epoch uint64) bool {
		l.Outbox()
		l.Take(now, Message{Kind: Claim, From: "b", Process: process, Items: []Item{{Slot: 1, Epoch: epoch}}})
		return l.Outbox()[0].Msg.Items[0].Yes
	}
	early := ask(1, 10)
	now += 5 * time.Second
	if first, second := ask(1, 10), ask(2, 11); early || !first || second {
		t.Errorf("promised as it started %v, to the first process %v, to the second %v", early, first, second)
	}
	if now += 2 * time.Second; !ask(2, 12) {
		t.Error("not promised to the second process after the first one's time")
	}
	for _, bad := range []Message{{}, {From: "a"}, {From: "b", Items: []Item{{Slot: -1}}}, {From: "b", Items: []Item{{Slot: 64}}},
		{From: "b", Items: make([]Item, 65)}, {From: "b", Kind: Answer, Round: 1 << 60, Items: []Item{{Yes: true}}}, {From: "b", Kind: 9}} {
		l.Take(now, bad) // what can't be of one of ours is passed over
	}
	for i := range 1000 {
		l.Take(now, Message{From: string(rune('c' + i))})
	}
	if len(l.heard) > 12 || len(l.Outbox()) != 0 {
		t.Errorf("%d instances are known of 3", len(l.heard))
	}
}
