package failover

import (
	"cmp"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"hillknot/internal/testutil/simulation"
	"hillknot/internal/testutil/timeline"
)

var seeds = flag.Int("seeds", 60, "seeds of the simulated fleets")

const (
	ms      = time.Millisecond
	drift   = 0.02
	longest = 3 * time.Second
)

// fleet is routers, each with a little core, on a network in virtual time that loses, delays, repeats and cuts, and clients
// that claim at another router what they have lost.
type fleet struct {
	rnd      *rand.Rand
	now      time.Duration
	routers  []*router
	mail     []mail
	cut      map[[2]int]bool
	loss     float64
	made     uint64
	orders   []*order
	open     []*order // that may still be told or run
	later    []later
	note     func(timeline.Event)
	calm     bool // no process is stopped in the middle of things
	scripted bool // orders are asked for and ended by a script
}

type router struct {
	i       int
	name    string
	place   string
	table   *Coordinator
	process uint64
	pace    float64
	offset  time.Duration
	stopped time.Duration // does nothing before
	down    bool
	jobs    map[string]*job
	claims  map[uint64]*job
}

// job is what a core has open: an order, or a claim for one.
type job struct {
	o      *order // nil: run for nobody
	txn    string
	until  time.Duration
	asked  bool
	ran    bool
	hidden *Outcome // refused, and not told yet
	conn   int      // of the client's tries
}

// order is an order of a client, and what the checks hold it against.
type order struct {
	txn     string
	until   time.Duration
	at      *router
	process uint64 // of the router
	conn    int    // try under way
	done    bool
	told    []OutcomeKind
	ran     int
	mayAt   time.Duration // the keeper told that it may have run
	claimed int
}

type mail struct {
	at       time.Duration
	from, to int
	data     []byte
}

type later struct {
	at  time.Duration
	who *router
	of  uint64 // process
	do  func()
}

func (r *router) clock(now time.Duration) time.Duration {
	return r.offset + time.Duration(float64(now)*r.pace)
}

func newFleet(seed uint64, n int) *fleet {
	f := &fleet{rnd: rand.New(rand.NewPCG(seed, 11)), cut: map[[2]int]bool{}, note: func(timeline.Event) {}}
	for i := range n {
		f.routers = append(f.routers, &router{i: i, name: fmt.Sprintf("r%d", i), place: fmt.Sprint("p", i%3)})
	}
	for _, r := range f.routers {
		f.start(r)
	}
	return f
}

func (f *fleet) start(r *router) {
	f.made++
	r.process, r.stopped, r.down = f.made, 0, false
	r.pace, r.offset = 1+drift*(2*f.rnd.Float64()-1), time.Duration(f.rnd.Int64N(int64(time.Hour)))
	set := Defaults(r.name, r.process, len(f.routers), longest)
	set.Place, set.ClockDrift, set.MaxRecords = r.place, drift, 300
	var err error
	if r.table, err = New(set); err != nil {
		panic(err)
	}
	r.jobs, r.claims = map[string]*job{}, map[uint64]*job{}
}

func (f *fleet) struck(r *router, what string) {
	f.note(timeline.Event{Node: r.name, At: f.now, What: what, Fault: true})
}

func (f *fleet) after(r *router, d time.Duration, do func()) {
	f.later = append(f.later, later{f.now + d, r, r.process, do})
}

// step moves time on by 5 ms.
func (f *fleet) step() {
	f.now += 5 * ms
	for again := true; again; {
		again = false
		for i, l := range f.later {
			if l.at <= f.now && f.now >= l.who.stopped {
				f.later = slices.Delete(f.later, i, i+1)
				if l.who.process == l.of && !l.who.down {
					l.do()
				}
				again = true
				break
			}
		}
	}
	slices.SortStableFunc(f.mail, func(a, b mail) int { return cmp.Compare(a.at, b.at) })
	for len(f.mail) > 0 && f.mail[0].at <= f.now {
		m := f.mail[0]
		f.mail = f.mail[1:]
		switch r := f.routers[m.to]; {
		case r.down:
		case f.now < r.stopped: // it waits in the socket
			m.at = r.stopped
			f.mail = append(f.mail, m)
			slices.SortStableFunc(f.mail, func(a, b mail) int { return cmp.Compare(a.at, b.at) })
		default:
			r.table.Receive(r.clock(f.now), m.data)
			f.settle(r)
		}
	}
	for _, r := range f.routers {
		if r.down || f.now < r.stopped {
			continue
		}
		now := r.clock(f.now)
		var live []Peer
		for _, o := range f.routers {
			if o != r && !o.down && !f.cut[[2]int{o.i, r.i}] && f.now >= o.stopped {
				live = append(live, Peer{o.name, o.place})
			}
		}
		if f.now%(20*ms) == 0 { // as the routers do
			r.table.SetPeers(now, live)
			r.table.Tick(now)
			f.settle(r)
		}
		for _, p := range r.table.DuePackets(now) {
			f.post(r.i, p.To, p.Data)
		}
	}
	f.open = slices.DeleteFunc(f.open, func(o *order) bool { return f.now > o.until+6*time.Second })
	for _, o := range f.open {
		if !f.scripted {
			f.client(o)
		}
	}
}

func (f *fleet) post(from int, to string, data []byte) {
	i := slices.IndexFunc(f.routers, func(r *router) bool { return r.name == to })
	for range 1 + f.rnd.IntN(10)/9 { // now and then twice
		if !f.cut[[2]int{from, i}] && f.rnd.Float64() >= f.loss {
			at := f.now + time.Duration(f.rnd.ExpFloat64()*float64(8*ms))
			if f.rnd.IntN(60) == 0 { // one comes very late
				at += time.Duration(f.rnd.Int64N(int64(6 * time.Second)))
			}
			f.mail = append(f.mail, mail{at, from, i, data})
		}
	}
}

// ---- A little core ----

func (f *fleet) settle(r *router) {
	for acts := r.table.Actions(); len(acts) > 0; acts = r.table.Actions() {
		for _, a := range acts {
			f.act(r, a)
		}
	}
	for _, e := range r.table.Events() {
		f.note(timeline.Event{Node: r.name, At: f.now, What: e.Step, Of: e.Txn, Peer: e.Peer})
	}
}

func (f *fleet) act(r *router, a Action) {
	now := r.clock(f.now)
	j := r.jobs[a.Txn]
	switch a.Kind {
	case ActionSend:
		if j != nil && j.hidden == nil {
			f.send(r, j)
		}
	case ActionStop:
		if j != nil {
			delete(r.jobs, a.Txn)
			f.told(j, a.Outcome.Kind)
		}
	case ActionRelease:
		if j != nil && j.hidden != nil {
			delete(r.jobs, a.Txn)
			kind := j.hidden.Kind
			if a.Err != nil {
				kind = MayHaveRun
			}
			f.told(j, kind)
		}
	case ActionRun:
		f.take(r, &job{txn: a.Txn, until: now + a.Order.TimeLeft}, a.Order)
	case ActionBeginClaim, ActionSettleClaim:
		if j = r.claims[a.ClaimID]; j == nil {
			return
		}
		delete(r.claims, a.ClaimID)
		if a.Kind == ActionBeginClaim {
			f.take(r, j, a.Order)
			return
		}
		if may := (MayHaveRunError{}); errors.As(a.Err, &may) && may.Reason == "it was being sent when its router was lost" {
			j.o.mayAt = f.now
		}
		f.told(j, a.Outcome.Kind)
	}
}

// take takes an order, for a client or for nobody.
func (f *fleet) take(r *router, j *job, o Order) {
	if err := r.table.Replicate(r.clock(f.now), o); err != nil {
		r.table.Abandon(r.clock(f.now), j.txn)
		f.told(j, NeverRan)
		return
	}
	r.jobs[j.txn] = j
	if f.scripted {
		return
	}
	wait := time.Duration(0)
	if f.rnd.IntN(2) == 0 { // it waits for a connection
		wait = time.Duration(f.rnd.Int64N(int64(400 * ms)))
	}
	f.after(r, wait, func() {
		if r.jobs[j.txn] != j || j.hidden != nil {
			return
		}
		if f.rnd.IntN(8) == 0 { // none came up
			f.end(r, j, Outcome{Kind: NeverRan})
			return
		}
		j.asked = true
		r.table.RequestLease(r.clock(f.now), j.txn)
		f.settle(r)
	})
}

// send writes the order, if it still may be.
func (f *fleet) send(r *router, j *job) {
	now := r.clock(f.now)
	if now >= j.until {
		f.end(r, j, Outcome{Kind: NeverRan})
		return
	}
	if !f.calm && f.rnd.IntN(30) == 0 { // the process is stopped right here
		r.stopped = f.now + time.Duration(f.rnd.Int64N(int64(4*time.Second)))
		f.after(r, 0, func() {
			if r.jobs[j.txn] == j {
				f.send(r, j)
			}
		})
		return
	}
	if !r.table.UseLease(now, j.txn) {
		r.table.RequestLease(now, j.txn)
		return
	}
	for _, o := range f.open {
		if o.txn == j.txn {
			o.ran++
			f.note(timeline.Event{Node: r.name, At: f.now, What: "RUNS", Of: j.txn})
			if o.mayAt > 0 && f.now > o.mayAt {
				o.told = append(o.told, 99) // it begins after it was told as may have run
			}
		}
	}
	if j.ran = true; f.scripted {
		return
	}
	f.after(r, time.Duration(f.rnd.Int64N(int64(120*ms))), func() {
		if r.jobs[j.txn] == j {
			f.end(r, j, Outcome{Kind: Served, Body: []byte("done")})
		}
	})
}

func (f *fleet) end(r *router, j *job, out Outcome) {
	if !r.table.Finish(r.clock(f.now), j.txn, out) {
		delete(r.jobs, j.txn)
		f.told(j, out.Kind)
		return
	}
	j.hidden = &out
	f.after(r, 250*ms, func() {
		if r.jobs[j.txn] == j {
			delete(r.jobs, j.txn)
			r.table.StopWaiting(r.clock(f.now), j.txn)
			f.told(j, MayHaveRun)
			f.settle(r)
		}
	})
}

// told hands the client its answer, if its connection is still there.
func (f *fleet) told(j *job, k OutcomeKind) {
	if j.o != nil && j.conn == j.o.conn && !j.o.done {
		f.note(timeline.Event{Node: "client", At: f.now, What: "told " + k.String(), Of: j.txn})
		j.o.done, j.o.told = true, append(j.o.told, k)
	}
}

// ---- Clients ----

func (f *fleet) order(at *router, left time.Duration) {
	o := &order{txn: fmt.Sprintf("t%d", len(f.orders)), until: f.now + left, at: at, process: at.process}
	f.orders, f.open = append(f.orders, o), append(f.open, o)
	f.note(timeline.Event{Node: "client", At: f.now, What: "orders", Of: o.txn, Peer: at.name})
	f.take(at, &job{o: o, txn: o.txn, until: at.clock(f.now) + left}, ask1(o.txn, left))
}

func ask1(txn string, left time.Duration) Order {
	return Order{Txn: txn, Class: "order", Digest: [32]byte{1}, TimeLeft: left, Body: []byte("body")}
}

// client has a client claim what it has lost, or lose patience with one that says nothing.
func (f *fleet) client(o *order) {
	lost := o.at.down || o.at.process != o.process || f.now < o.at.stopped && f.rnd.IntN(100) == 0
	if o.done || f.now >= o.until || !lost {
		return
	}
	if j := o.at.jobs[o.txn]; j != nil && o.at.process == o.process && !o.at.down { // it closes the connection
		at := o.at
		f.after(at, 0, func() {
			if at.jobs[o.txn] == j && j.hidden == nil {
				delete(at.jobs, o.txn)
				at.table.Cancel(at.clock(f.now), o.txn, j.ran)
			}
		})
	}
	o.conn++
	to := f.routers[f.rnd.IntN(len(f.routers))]
	if to.down || f.now < to.stopped {
		return
	}
	o.at, o.process = to, to.process
	f.made++
	o.claimed++
	id := f.made
	j := &job{o: o, txn: o.txn, until: to.clock(f.now) + o.until - f.now, conn: o.conn}
	to.claims[id] = j
	f.note(timeline.Event{Node: "client", At: f.now, What: "claims", Of: o.txn, Peer: to.name})
	to.table.Claim(to.clock(f.now), id, ask1(o.txn, o.until-f.now))
	f.settle(to)
}

// chance draws a trouble, or heals.
func (f *fleet) chance() {
	n := len(f.routers)
	r := f.routers[f.rnd.IntN(n)]
	switch f.rnd.IntN(8) {
	case 0: // a partition
		simulation.Part(f.rnd, n, f.cut)
	case 1: // one way
		f.cut[[2]int{r.i, f.rnd.IntN(n)}] = true
	case 2:
		f.loss = f.rnd.Float64() * 0.4
	case 3:
		r.stopped = f.now + time.Duration(f.rnd.Int64N(int64(4*time.Second)))
		f.struck(r, "stopped")
	case 4, 5:
		if !r.down {
			r.down = true
			f.struck(r, "killed")
			back := time.Duration(f.rnd.Int64N(int64(3 * time.Second)))
			if f.rnd.IntN(3) == 0 { // at once
				back = 5 * ms
			}
			f.later = append(f.later, later{f.now + back, &router{}, 0, func() { f.start(r) }})
		}
	default:
		clear(f.cut)
		f.loss = 0
	}
}

// check says what is wrong with an order, if anything.
func (o *order) check() error {
	switch {
	case o.ran > 1:
		return fmt.Errorf("%s ran %d times", o.txn, o.ran)
	case len(o.told) > 1:
		return fmt.Errorf("%s: told %v", o.txn, o.told)
	case slices.Contains(o.told, Served) && o.ran != 1:
		return fmt.Errorf("%s was told as served, and ran %d times", o.txn, o.ran)
	case slices.Contains(o.told, NeverRan) && o.ran != 0:
		return fmt.Errorf("%s was told as never run, and ran", o.txn)
	}
	return nil
}

// play runs a fleet of a seed through its troubles.
func play(seed uint64, over time.Duration) (*fleet, error) {
	n := 3 + int(seed%5)
	f := newFleet(seed, n)
	for f.now < over+8*time.Second {
		f.step()
		if f.now > 4*time.Second && f.now < over && f.rnd.IntN(80) == 0 {
			f.chance()
		}
		if f.now == over {
			clear(f.cut)
			f.loss = 0
		}
		if r := f.routers[f.rnd.IntN(n)]; f.rnd.IntN(6) == 0 && f.now < over && f.now > time.Second && !r.down && f.now >= r.stopped {
			f.order(r, 300*ms+time.Duration(f.rnd.Int64N(int64(longest-300*ms))))
		}
		for _, o := range f.open {
			if err := o.check(); err != nil {
				return f, fmt.Errorf("seed %d at %v: %w", seed, f.now, err)
			}
		}
	}
	return f, nil
}

// Where routers are only killed, nearly all that was not sent is answered.
func TestKilled(t *testing.T) {
	unsent, answered := 0, 0
	var mu sync.Mutex
	simulation.EachSeed(*seeds, func(seed uint64) {
		f := newFleet(seed, 5)
		f.calm = true
		victim := f.routers[seed%5]
		open := map[*order]bool{}
		for f.now < 14*time.Second {
			f.step()
			if f.now == 6*time.Second+time.Duration(seed%200)*5*ms {
				victim.down = true
				for _, j := range victim.jobs {
					if j.hidden == nil && !j.asked && j.until-victim.clock(f.now) >= 1600*ms {
						open[j.o] = true
					}
				}
			}
			if r := f.routers[f.rnd.IntN(5)]; f.now < 7*time.Second && f.rnd.IntN(3) == 0 && !r.down {
				f.order(r, 300*ms+time.Duration(f.rnd.Int64N(int64(longest-300*ms))))
			}
		}
		mu.Lock()
		defer mu.Unlock()
		for _, o := range f.orders {
			if err := o.check(); err != nil {
				t.Errorf("seed %d: %v", seed, err)
			}
			if open[o] {
				unsent++
				if len(o.told) == 1 && o.told[0] != MayHaveRun {
					answered++
				}
			}
		}
	})
	t.Logf("%d of %d not sent were answered", answered, unsent)
	if answered*100 < unsent*95 || unsent < *seeds/4 {
		t.Errorf("%d of %d not sent were answered", answered, unsent)
	}
}

// No order runs twice and no two answers contradict each other, through kills at every step, stops for longer than a lease,
// cuts of all shapes, loss, late and repeated packets, and clocks that run unlike; and most of what was lost is answered.
func TestOnce(t *testing.T) {
	var told [4]int
	var mu sync.Mutex
	claimed, lost := 0, 0
	simulation.EachSeed(*seeds, func(seed uint64) {
		f, err := play(seed, 14*time.Second)
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			t.Error(err)
			return
		}
		for _, o := range f.orders {
			for _, k := range o.told {
				told[k]++
			}
			if o.claimed > 0 {
				claimed++
				if len(o.told) == 0 || o.told[0] == MayHaveRun {
					lost++
				}
			}
		}
		for _, r := range f.routers {
			if g := r.table.Stats(); !r.down && (g.OpenOrders > 300 || g.Records > 300 || g.OpenClaims > 0 || g.MaxQueued > 512) {
				t.Errorf("seed %d: %s holds %+v at the end", seed, r.name, g)
			}
		}
	})
	t.Logf("told as may have run %d, served %d, failed %d, never run %d; of %d claimed, %d without an answer", told[0], told[1], told[2], told[3], claimed, lost)
	if told[Served] < 50**seeds || claimed < 5**seeds || claimed-lost < *seeds {
		t.Error("too little was served, claimed or answered for this to say anything")
	}
}
