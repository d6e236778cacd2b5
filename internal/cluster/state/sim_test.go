package state

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"hillknot/internal/testutil/simulation"
)

var seeds = flag.Int("seeds", 300, "seeds of the simulated fleets")

const (
	ms    = time.Millisecond
	drift = 0.02
)

// fleet is routers on a network in virtual time that loses, delays, repeats and cuts.
type fleet struct {
	rnd     *rand.Rand
	now     time.Duration
	routers []*router
	mail    []mail
	cut     map[[2]int]bool
	loss    float64
	spends  []time.Duration // of the one budget, in true time
	terms   BudgetLimits
	made    uint64
}

type router struct {
	i       int
	state   *State
	pace    float64 // of its clock
	offset  time.Duration
	process uint64
	beat    time.Duration
	stopped time.Duration // does nothing before
	demand  float64       // spends wanted a second
	owed    float64
}

type mail struct {
	at       time.Duration
	from, to int
	msg      Message
}

func name(i int) string { return fmt.Sprintf("r%d", i) }

func (r *router) clock(now time.Duration) time.Duration {
	return r.offset + time.Duration(float64(now)*r.pace)
}

func newFleet(seed uint64, n int) *fleet {
	f := &fleet{rnd: rand.New(rand.NewPCG(seed, 7)), cut: map[[2]int]bool{}, terms: BudgetLimits{Rate: 20 * float64(n), Burst: 3 * float64(n)}}
	for i := range n {
		f.routers = append(f.routers, &router{i: i})
		f.start(f.routers[i])
	}
	return f
}

// start starts a process of a router, which knows nothing of the one before.
func (f *fleet) start(r *router) {
	f.made++
	r.process, r.stopped = f.made, 0
	r.pace, r.offset = 1+drift*(2*f.rnd.Float64()-1), time.Duration(f.rnd.Int64N(int64(time.Hour)))
	set := Defaults(name(r.i), r.process, len(f.routers))
	set.ClockDrift = drift
	var err error
	if r.state, err = New(set); err != nil {
		panic(err)
	}
	r.beat = f.now
	r.state.OpenBudget(r.clock(f.now), "b", f.terms, 0)
}

// step moves time on by 10 ms.
func (f *fleet) step() {
	f.now += 10 * ms
	slices.SortStableFunc(f.mail, func(a, b mail) int { return cmp.Compare(a.at, b.at) })
	for len(f.mail) > 0 && f.mail[0].at <= f.now {
		m := f.mail[0]
		f.mail = f.mail[1:]
		if r := f.routers[m.to]; f.now < r.stopped { // it waits in the socket
			m.at = r.stopped
			f.mail = append(f.mail, m)
			slices.SortStableFunc(f.mail, func(a, b mail) int { return cmp.Compare(a.at, b.at) })
		} else {
			r.state.ReceiveMessage(r.clock(f.now), m.msg)
		}
	}
	for _, r := range f.routers {
		if f.now < r.stopped {
			continue
		}
		now := r.clock(f.now)
		if f.now >= r.beat {
			r.beat = f.now + 200*ms
			var live []string
			for _, o := range f.routers {
				if o != r && !f.cut[[2]int{o.i, r.i}] && f.now >= o.stopped {
					live = append(live, name(o.i))
				}
			}
			r.state.SetPeers(live, len(f.routers))
			r.state.Tick(now)
		}
		for r.owed = min(r.owed+r.demand/100, 20); r.owed >= 1; r.owed-- {
			if r.state.CanSpend(now, "b") {
				r.state.Spend(now, "b")
				f.spends = append(f.spends, f.now)
			}
		}
		for _, l := range r.state.OutgoingMessages() {
			f.post(r.i, l)
		}
	}
}

func (f *fleet) post(from int, l OutgoingMessage) {
	for i := range f.routers {
		if i == from || l.To != "" && l.To != name(i) || f.cut[[2]int{from, i}] {
			continue
		}
		for range 1 + f.rnd.IntN(10)/9 { // now and then twice
			if f.rnd.Float64() >= f.loss {
				f.mail = append(f.mail, mail{f.now + time.Duration(f.rnd.ExpFloat64()*float64(20*ms)), from, i, l.Message})
			}
		}
	}
	if f.rnd.IntN(50) == 0 && len(f.mail) > 0 { // one comes very late
		f.mail[len(f.mail)-1].at += time.Duration(f.rnd.Int64N(int64(6 * time.Second)))
	}
}

// chance draws a trouble, or heals.
func (f *fleet) chance() {
	n := len(f.routers)
	r := f.routers[f.rnd.IntN(n)]
	switch f.rnd.IntN(7) {
	case 0: // a partition
		simulation.Partition(f.rnd, n, f.cut)
	case 1: // one way
		for b := range n {
			f.cut[[2]int{r.i, b}] = true
		}
	case 2: // one alone
		for b := range n {
			f.cut[[2]int{r.i, b}], f.cut[[2]int{b, r.i}] = true, true
		}
	case 3: // killed, and back at once or later
		f.start(r)
		if f.rnd.IntN(2) == 0 {
			r.stopped = f.now + time.Duration(f.rnd.Int64N(int64(3*time.Second)))
		}
	case 4: // paused
		r.stopped = f.now + time.Duration(f.rnd.Int64N(int64(5*time.Second)))
	case 5:
		f.loss = f.rnd.Float64() / 2
	default:
		clear(f.cut)
		f.loss = 0
	}
	for _, r := range f.routers {
		r.demand = f.rnd.ExpFloat64() * 30
	}
}

// check returns what is broken now: shares with two holders, or more spent in some window than the budget allows.
func (f *fleet) check() string {
	sum := 0
	for _, r := range f.routers {
		if f.now >= r.stopped { // one that is stopped spends nothing, and its clock goes on
			sum += r.state.holds(r.state.budgets["b"], r.clock(f.now))
		}
	}
	if whole := part * len(f.routers); sum > whole {
		return fmt.Sprintf("at %v %d shares of %d are held", f.now, sum, whole)
	}
	for _, w := range []time.Duration{100 * ms, time.Second, 4 * time.Second} {
		n := 0
		for i := len(f.spends) - 1; i >= 0 && f.spends[i] > f.now-w; i-- {
			n++
		}
		if most := f.terms.Burst + f.terms.Rate*w.Seconds()*(1+drift); float64(n) > most+1 {
			return fmt.Sprintf("at %v %d were spent in %v, over %.1f", f.now, n, w, most)
		}
	}
	return ""
}

// Whatever is lost, late, repeated, cut, killed, stopped and started, no share has two holders and no window sees more
// spent than the budget.
func TestBudgetsUnderFaults(t *testing.T) {
	for seed := range uint64(*seeds) {
		f := newFleet(seed, 3+int(seed%5))
		for f.now < 20*time.Second {
			if f.step(); f.rnd.IntN(100) == 0 {
				f.chance()
			}
			if broken := f.check(); broken != "" {
				t.Fatalf("seed %d: %s", seed, broken)
			}
		}
	}
}

// spent is what is spent a second over the last time.
func (f *fleet) spent(over time.Duration) float64 {
	n := 0
	for _, at := range f.spends {
		if at > f.now-over {
			n++
		}
	}
	return float64(n) / over.Seconds()
}

func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.step()
	}
}

// What the others don't need is lent to who does; alone, a router has its own part and no more.
func TestUnevenDemand(t *testing.T) {
	f := newFleet(1, 5)
	f.routers[0].demand = 1000
	f.run(10 * time.Second)
	if own := f.terms.Rate / 5; f.spent(4*time.Second) < 2.5*own {
		t.Errorf("one that needs all spends %.0f a second, with an own part of %.0f of %.0f", f.spent(4*time.Second), own, f.terms.Rate)
	}
	for i := range 5 {
		f.cut[[2]int{0, i}], f.cut[[2]int{i, 0}] = true, true
	}
	f.run(6 * time.Second)
	if own := f.terms.Rate / 5; f.spent(3*time.Second) > own*(1+drift)+1 || f.spent(3*time.Second) < own*0.95 {
		t.Errorf("one that is cut off spends %.1f a second, its own part is %.1f", f.spent(3*time.Second), own)
	}
	for _, r := range f.routers {
		r.demand = 1000
	}
	f.run(6 * time.Second)
	if f.spent(3*time.Second) < 0.95*f.terms.Rate {
		t.Errorf("where all need all, %.0f of %.0f a second are spent", f.spent(3*time.Second), f.terms.Rate)
	}
}

// A router over the configured number has no part, and spends what it borrows. A process that is followed spends
// nothing.
func TestGuestAndRetired(t *testing.T) {
	set := Defaults("guest", 1, 3)
	set.Guest = true
	g, err := New(set)
	if err != nil {
		t.Fatal(err)
	}
	g.OpenBudget(0, "b", BudgetLimits{30, 30}, 0)
	g.SetPeers([]string{"a"}, 3)
	g.Tick(time.Second)
	if g.CanSpend(2*time.Second, "b") {
		t.Error("a guest spends without a loan")
	}
	g.Tick(2 * time.Second)
	out := g.OutgoingMessages()
	if len(out) == 0 || out[0].Message.Kind != KindLeaseRequest {
		t.Fatalf("a guest that was denied says %+v", out)
	}
	g.ReceiveMessage(2*time.Second, Message{Kind: KindLeaseGrant, From: "a", Process: 9, Key: "b", Sequence: out[0].Message.Sequence, Value: 1, Shares: 32})
	if !g.CanSpend(3*time.Second, "b") {
		t.Error("a guest can't spend what it was lent")
	}
	if g.SetReplaced(true); g.CanSpend(3*time.Second, "b") {
		t.Error("a process that is followed spends")
	}
	if g.SetReplaced(false); g.CanSpend(5*time.Second, "b") {
		t.Error("a loan outlasts its time")
	}
}

// Where more routers are seen, or any was told of more, than this one was, its part shrinks to theirs, and stays so.
func TestMoreThanConfigured(t *testing.T) {
	s, err := New(Defaults("a", 1, 2))
	if err != nil {
		t.Fatal(err)
	}
	s.Tick(time.Second)
	s.OpenBudget(time.Second, "b", BudgetLimits{Rate: 100, Burst: 4}, 0)
	spend := func(from time.Duration) (n int) {
		for now := from; now < from+10*time.Second; now += 10 * ms {
			if s.CanSpend(now, "b") {
				s.Spend(now, "b")
				n++
			}
		}
		return n
	}
	if n := spend(10 * time.Second); n < 495 || n > 502 {
		t.Errorf("half of 100 a second: %d in 10 s", n)
	}
	s.SetPeers(nil, 4)
	s.SetPeers(nil, 1)
	if n := spend(30 * time.Second); n < 245 || n > 252 {
		t.Errorf("a quarter of 100 a second, as one of four: %d in 10 s", n)
	}
}

// A budget starts empty; shares that were lent earn for the borrower alone up to their end, whoever is stopped then.
func TestWhatSharesEarn(t *testing.T) {
	s, err := New(Defaults("a", 1, 2))
	if err != nil {
		t.Fatal(err)
	}
	s.Tick(time.Second)
	s.OpenBudget(time.Second, "b", BudgetLimits{Rate: 2, Burst: 1000}, 0)
	if s.CanSpend(time.Second, "b") {
		t.Error("a budget that was just opened can be spent")
	}
	s.Tick(4 * time.Second)
	s.fill(s.budgets["b"], 4*time.Second)
	s.ReceiveMessage(4*time.Second, Message{Kind: KindLeaseRequest, From: "z", Process: 1, Key: "b", Sequence: 1, Shares: 32})
	had := s.budgets["b"].tokens
	s.CanSpend(24*time.Second, "b") // the loan ended soon after 6 s; the process was stopped until now
	if got, want := s.budgets["b"].tokens-had, 20*0.5; got > want {
		t.Errorf("half of the part, while the other half was lent, earned %.1f in 20 s, over %.1f", got, want)
	}
}

// Evidence that was heard before is none, by whatever way it comes again.
func TestOldEvidence(t *testing.T) {
	set := Defaults("a", 1, 3)
	set.Quorum = 2
	s, err := New(set)
	if err != nil {
		t.Fatal(err)
	}
	ill := func(from string, number uint64) Message {
		return Message{Kind: KindHealthEvidence, From: from, Process: 1, Key: "c", Sequence: number, Unhealthy: true, ValidFor: time.Second}
	}
	first := ill("b", 1)
	s.ReceiveMessage(0, first)
	s.ReceiveMessage(0, Message{Kind: KindHealthEvidence, From: "b", Process: 1, Key: "c", Sequence: 2})
	s.ReceiveMessage(0, first)
	s.ReceiveMessage(0, ill("z", 1))
	if s.Ejected(0, "c") {
		t.Error("a verdict on the evidence of one and what another has taken back")
	}
	if s.ReceiveMessage(0, ill("b", 3)); !s.Ejected(0, "c") {
		t.Error("no verdict on the evidence of two")
	}
}

// Counts agree in the end, whatever came late, twice or by way of others, and outlast a restart of their writer.
func TestCounts(t *testing.T) {
	for seed := range uint64(*seeds) / 10 {
		f, want := newFleet(seed, 4), uint64(0)
		f.loss = 0.3
		for f.now < 5*time.Second {
			r := f.routers[f.rnd.IntN(4)]
			r.state.IncrementCounter("hits", 1)
			if want++; f.rnd.IntN(200) == 0 {
				for _, m := range r.state.FullState(0) { // what a peer learns in full as the process ends
					f.routers[(r.i+1)%4].state.ReceiveMessage(0, m)
				}
				f.start(r)
			}
			f.step()
		}
		for range 2 {
			for _, a := range f.routers {
				for _, b := range f.routers {
					for _, m := range a.state.FullState(0) {
						b.state.ReceiveMessage(0, m)
					}
				}
			}
		}
		for _, r := range f.routers {
			if got, first := r.state.CounterTotal("hits"), f.routers[0].state.CounterTotal("hits"); got != first || f.made < 4+processesKept && got != want {
				t.Fatalf("seed %d: %s has %d, r0 %d, counted were %d", seed, name(r.i), got, first, want)
			}
		}
	}
}

// Nobody else writes a router's own part of a count, and a process of its name that is older adds to it.
func TestOwnPartOfACount(t *testing.T) {
	s, err := New(Defaults("a", 5, 3))
	if err != nil {
		t.Fatal(err)
	}
	s.IncrementCounter("hits", 2)
	s.ReceiveMessage(0, Message{Kind: KindCounterUpdate, From: "a", Process: 5, Key: "hits", Value: 100})
	s.ReceiveMessage(0, Message{Kind: KindCounterUpdate, From: "a", Process: 4, Key: "hits", Value: 30})
	if n := s.CounterTotal("hits"); n != 32 {
		t.Errorf("counted 32, told %d", n)
	}
}

// verdicts returns how many routers hold the page cache to be sick and how many keep away from it.
func (f *fleet) verdicts() (sick, shun int) {
	for _, r := range f.routers {
		now := r.clock(f.now)
		if r.state.Ejected(now, "c") {
			sick++
		}
		if r.state.ProbedByPeer(now, "c") {
			shun++
		}
	}
	return sick, shun
}

// A verdict needs a quorum; all but one then keep away; the one that tries prolongs it, or ends it for all; without
// any evidence it ends by itself.
func TestVerdict(t *testing.T) {
	f := newFleet(3, 7)
	f.run(time.Second)
	see := func(i, fails int, well time.Duration) {
		r := f.routers[i]
		r.state.ObserveHealth(r.clock(f.now), "c", fails, well)
	}
	see(0, 2, 0)
	see(1, 3, 0)
	see(2, 4, 0)
	see(3, 3, 0)
	f.run(time.Second)
	if sick, _ := f.verdicts(); sick > 0 {
		t.Fatalf("%d of 7 hold it to be sick on the evidence of three", sick)
	}
	see(4, 3, 0)
	f.run(500 * ms)
	if sick, shun := f.verdicts(); sick != 7 || shun != 6 {
		t.Fatalf("%d of 7 hold it to be sick, %d keep away, on the evidence of four", sick, shun)
	}
	for fails := 4; fails < 12; fails++ { // the one that tries goes on failing
		see(1, fails, 0)
		f.run(time.Second)
	}
	if sick, _ := f.verdicts(); sick != 7 {
		t.Errorf("%d of 7 hold it to be sick while one goes on failing there", sick)
	}
	see(1, 0, f.now)
	f.run(500 * ms)
	if sick, _ := f.verdicts(); sick > 0 {
		t.Errorf("%d of 7 hold it to be sick after a good answer", sick)
	}
	for i := range 4 {
		see(i, 20, 0)
	}
	f.run(500 * ms)
	if sick, _ := f.verdicts(); sick != 7 {
		t.Errorf("%d of 7 hold it to be sick when it fails again", sick)
	}
	f.run(4 * time.Second)
	if sick, _ := f.verdicts(); sick > 0 {
		t.Errorf("%d of 7 hold it to be sick with no evidence for four seconds", sick)
	}
}

// A verdict holds no longer than its time after the latest evidence that any router sent, under all faults.
func TestVerdictsEnd(t *testing.T) {
	for seed := range uint64(*seeds) / 3 {
		f, latest := newFleet(seed, 5), time.Duration(0)
		for f.now < 22*time.Second {
			f.step()
			if f.rnd.IntN(150) == 0 {
				f.chance()
			}
			if f.rnd.IntN(20) == 0 && f.now < 5*time.Second {
				r := f.routers[f.rnd.IntN(5)]
				latest = f.now
				r.state.ObserveHealth(r.clock(f.now), "c", 3+int(f.now/ms), 0)
			}
			// The latest message comes 6 s late at most, and then waits for the end of a stop of 5 s.
			if sick, _ := f.verdicts(); sick > 0 && f.now > latest+3*time.Second*102/98+11*time.Second+300*ms {
				t.Fatalf("seed %d: %d hold it to be sick %v after the latest evidence", seed, sick, f.now-latest)
			}
		}
	}
}

// Messages come back as they were, and nothing that is not one is taken.
func FuzzMessage(f *testing.F) {
	f.Add(Message{Kind: KindHealthEvidence, From: "a", Process: 1 << 60, Key: "s-1", Sequence: 7, Unhealthy: true, ValidFor: time.Second}.Append(nil))
	f.Add([]byte{1, 0, 200, 200})
	f.Fuzz(func(t *testing.T, b []byte) {
		m, rest, err := ParseMessage(b)
		if err != nil {
			return
		}
		if again, _, err := ParseMessage(m.Append(nil)); err != nil || again != m || len(rest) > len(b)-4 {
			t.Errorf("%+v came back as %+v, %v", m, again, err)
		}
		s, _ := New(Defaults("self", 5, 3))
		s.OpenBudget(0, m.Key, BudgetLimits{10, 10}, 0)
		s.ReceiveMessage(time.Second, m)
	})
}
