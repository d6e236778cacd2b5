// Package policy makes every choice of a client of edge routers: which router gets a request, whether and when it is
// tried again, when it is refused before it is sent, when to connect anew and when to leave a connection. It does no
// I/O and reads no clock: what happens is told by calls that carry the time, and what is to be done is read with
// Actions. Its random numbers come from a seed, so that the same events have the same actions.
//
// Nothing here is safe for concurrent use.
package policy

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Op is what an action asks for.
type Op uint8

// The actions.
const (
	Dial   Op = iota // open Conn to Router
	Check            // ask on Conn whether the router takes clients
	Send             // send Call on Conn; Second marks a retry
	Cancel           // tell on Conn that nobody waits for Call
	Close            // close Conn; nothing is told of it any more, but what was open on it ends as Lost or Unsent
	Finish           // Call has ended as End says
)

// Action is something to be done.
type Action struct {
	Op     Op
	Router int
	Conn   *Conn
	Call   *Call
	Second bool
	End    End
}

// Verdict says how a call ended.
type Verdict uint8

// The verdicts.
const (
	Served      Verdict = iota
	Refused             // by routers, or here in a storm of refusals; it never ran
	Failed              // a router said so
	Lost                // the connection broke, or brought nonsense
	Deadline            // no answer in time
	Busy                // too many calls wait already; it was not sent
	Unreachable         // no router can be reached in time; it was not sent
	Withdrawn           // its caller no longer waits
)

// End is how a call ended.
type End struct {
	Verdict    Verdict
	MayHaveRun bool          // a router may have got it, and nothing proves that it did not run
	Local      bool          // of Refused: no router was asked this time
	Wait       time.Duration // of Refused and Unreachable: how long to stay away; 0: not known
	Tries      int           // times that it was sent
}

// Result is how one try ended.
type Result uint8

// The results.
const (
	Good     Result = iota // served
	Turned                 // refused: trying again is harmless
	Broke                  // failed: nothing is promised
	Unusable               // the router can't use what was asked; it never ran, and won't
)

// Call is one request of a caller over all its tries.
type Call struct {
	Tag any // the caller's

	safe     bool
	class    int
	deadline time.Duration
	tries    int // written, or about to be
	moves    int // sent, but surely not a byte went out
	maybeRan bool
	claim    bool // its router was lost: the next tries ask what became of it
	claimed  bool // it has done so once, which the budget of retries is not asked for
	fixed    bool // must not be tried again
	crossed  bool // has gone again after it crossed a router's close
	counted  bool // as waiting
	written  bool // the latest try may have gone out
	conn     *Conn
	sent     time.Duration
	last     int // router of the latest try; -1: none
	held     time.Duration
	state    callState
	wake     wake
}

type callState uint8

const (
	queued  callState = iota // waits for a place
	holding                  // waits for a time
	out                      // is with a router
	ended
)

// Claims tells whether the call's next try asks what became of it.
func (c *Call) Claims() bool { return c.claim }

// Fix says that the call must not be tried again: part of an answer has been handed over already.
func (c *Call) Fix() { c.fixed = true }

// Counts are what has happened since the start.
type Counts struct {
	Calls          uint64 // begun
	Tries          uint64 // sent to routers
	Retries        uint64 // of these, tries after a first
	Moves          uint64 // times that a call went to another connection as not a byte of it had gone out
	Claims         uint64 // orders that asked another router what became of them
	Crossings      uint64 // times that a call went again as it had crossed a router's close
	RefusedLocally uint64
	OutOfBudget    uint64 // retries that the budget did not allow
	Dials          uint64
	Reconnects     uint64 // connections that came up to a router that had been lost
	Ejections      uint64
	Drains         uint64 // routers left as they said that they take no clients
	Silent         uint64 // connections left as they brought nothing
}

// Policy holds the state of one client.
type Policy struct {
	set      Settings
	rnd      *rand.Rand
	now      time.Duration
	routers  []*router
	queue    []*Call // waits for a place, in order; ended ones are passed over
	waiting  int     // calls that wait and have not been sent yet
	wakes    wakes
	budget   budget
	throttle throttle
	latency  float64 // seconds that routers take to serve, of late
	classes  []least
	actions  []Action
	counts   Counts
}

// New returns the policy of a client that knows so many routers. Classes are named by numbers from 0.
func New(set Settings, routers, classes int) *Policy {
	p := &Policy{set: set, rnd: rand.New(rand.NewPCG(set.Seed, 0x9e3779b97f4a7c15)), classes: make([]least, classes)}
	for i := range routers {
		p.routers = append(p.routers, &router{id: i, accepts: 1})
		p.routers[i].wake = wake{router: p.routers[i], index: -1}
	}
	p.budget = budget{share: set.RetryShare, floor: set.RetryFloor, window: set.RetryWindow}
	p.throttle = throttle{set: &p.set, rnd: p.rnd}
	return p
}

// Actions returns what is to be done, in order. The slice is valid until the next call.
func (p *Policy) Actions() []Action {
	a := p.actions
	p.actions = p.actions[:0]
	return a
}

// Counts returns what has happened so far.
func (p *Policy) Counts() Counts { return p.counts }

// Waiting is how many calls wait for a place or a time, and were never sent.
func (p *Policy) Waiting() int { return p.waiting }

// Next is when Tick is to be called at the latest, if at all.
func (p *Policy) Next() (at time.Duration, ok bool) {
	if len(p.wakes) == 0 {
		return 0, false
	}
	return p.wakes[0].at, true
}

func (p *Policy) do(a Action) { p.actions = append(p.actions, a) }

// ---- Calls ----

// Begin takes a new call. Only a safe one may be repeated once it may have run.
func (p *Policy) Begin(now time.Duration, class int, safe bool, deadline time.Duration, tag any) *Call {
	p.now = now
	c := &Call{Tag: tag, safe: safe, class: class, deadline: deadline, last: -1, state: holding}
	c.wake = wake{call: c, index: -1}
	p.counts.Calls++
	p.budget.first(now)
	switch {
	case !p.throttle.admit(now):
		p.counts.RefusedLocally++
		p.finish(c, End{Verdict: Refused, Local: true, Wait: p.comeBack()})
	case p.waiting >= p.set.Waiting:
		p.finish(c, End{Verdict: Busy})
	default:
		p.dispatch(c)
	}
	return c
}

// comeBack is how long a caller that is refused here should stay away.
func (p *Policy) comeBack() time.Duration {
	wait := p.set.ProbeEvery
	if at, ok := p.allAway(); ok {
		wait = max(wait, at-p.now)
	}
	return wait
}

// Withdraw ends a call whose caller no longer waits.
func (p *Policy) Withdraw(now time.Duration, c *Call) {
	p.now = now
	p.giveUp(c, Withdrawn)
	p.pump()
}

// giveUp ends a call that may be out.
func (p *Policy) giveUp(c *Call, v Verdict) {
	if c.state == ended {
		return
	}
	if c.state == out {
		p.do(Action{Op: Cancel, Conn: c.conn, Call: c})
		if c.written {
			c.maybeRan = true
		} else {
			p.unsent(c)
		}
		p.leave(c)
	}
	p.finish(c, End{Verdict: v})
}

// unsent takes back that a call went out: not a byte of it was written.
func (p *Policy) unsent(c *Call) {
	c.tries--
	p.counts.Tries--
	if c.second() {
		p.counts.Retries--
	}
}

// second tells whether a router may have seen a try of the call before.
func (c *Call) second() bool { return c.tries > 0 }

// Limit is asked right before a call is written, which counts as done if it is allowed. It returns how long the
// router may be told that the client waits. Bytes is how much is written with it and before it. Where what remains
// can't do any more, the call ends, and must not be written.
func (p *Policy) Limit(now time.Duration, c *Call, bytes int) (limit time.Duration, ok bool) {
	p.now = now
	if c.state != out {
		return 0, false
	}
	c.sent = now
	limit = c.deadline - now - time.Duration(c.conn.pace*float64(bytes))
	if limit < p.classes[c.class].floor(now, p.set.LeastTime) {
		p.giveUp(c, Deadline)
		return 0, false
	}
	c.written = true
	return limit, true
}

// Answered ends the try of a call that is out.
func (p *Policy) Answered(now time.Duration, c *Call, res Result, wait time.Duration) {
	p.now = now
	if c.state != out {
		return
	}
	r := c.conn.router
	c.conn.heard = now
	c.conn.asked = 0
	p.leave(c)
	took := now - c.sent
	p.throttle.answered(now, res != Turned)
	r.answered(now, took, res)
	switch res {
	case Good:
		p.latency += 0.05 * (took.Seconds() - p.latency)
		p.classes[c.class].served(now, took)
		p.healthy(r)
		p.finish(c, End{Verdict: Served})
	case Unusable:
		p.healthy(r)
		p.finish(c, End{Verdict: Failed})
	case Turned:
		p.healthy(r) // it is well enough to say no
		r.away = max(r.away, now+min(wait, p.set.LongestWait))
		p.again(c, End{Verdict: Refused, Wait: wait})
	case Broke:
		if !c.claim { // what a claim could not be told is no fault of the router that was asked
			p.failed(r)
		}
		c.maybeRan, c.claim = true, false
		p.again(c, End{Verdict: Failed})
	}
	p.pump()
}

// again tries a call once more, or ends it. A refusal proves that the latest try did not run.
func (p *Policy) again(c *Call, e End) {
	wait := p.backoff(c.tries)
	switch {
	case c.fixed, c.maybeRan && !c.safe && !c.claim, c.tries >= p.set.Tries:
	case p.now+wait+p.classes[c.class].floor(p.now, p.set.LeastTime) > c.deadline:
	case c.claim && !c.claimed:
		c.claimed = true
		p.counts.Claims++
		c.state, c.held = holding, p.now
		p.rewake(c)
		return
	case !p.throttle.steady(p.now) && e.Verdict == Refused: // the storm is not fed
	case !p.budget.take(p.now):
		p.counts.OutOfBudget++
	default:
		c.state, c.held = holding, p.now+wait
		p.rewake(c)
		return
	}
	p.finish(c, e)
}

// backoff is exponential with full jitter.
func (p *Policy) backoff(tries int) time.Duration {
	most := min(p.set.BackoffMost, p.set.BackoffBase<<min(max(tries-1, 0), 16))
	return time.Duration(p.rnd.Float64() * float64(most))
}

// finish ends a call for its caller.
func (p *Policy) finish(c *Call, e End) {
	p.settled(c)
	c.state = ended
	p.unwake(&c.wake)
	e.MayHaveRun, e.Tries = c.maybeRan, c.tries
	if e.Verdict == Served {
		e.MayHaveRun = false
	}
	p.do(Action{Op: Finish, Call: c, End: e})
}

// leave takes a call off its connection.
func (p *Policy) leave(c *Call) {
	n := c.conn
	c.conn, c.state = nil, holding
	n.open--
	n.router.open--
	n.used = p.now
	p.reconsider(n)
}

// settled takes a call off those that wait for their first try.
func (p *Policy) settled(c *Call) {
	if c.counted {
		c.counted = false
		p.waiting--
	}
}

// wait keeps a call until a place or its time comes.
func (p *Policy) wait(c *Call, s callState) {
	if !c.counted && c.tries == 0 {
		c.counted = true
		p.waiting++
	}
	c.state = s
	p.rewake(c)
}

// dispatch sends a call, or keeps it until it can be sent, or ends it as that moment is too late.
func (p *Policy) dispatch(c *Call) {
	due := c.deadline - p.classes[c.class].floor(p.now, p.set.LeastTime)
	if p.now > due {
		p.finish(c, End{Verdict: Deadline})
		return
	}
	p.warm()
	if n := p.pick(c); n != nil {
		p.send(c, n)
		return
	}
	at, why := p.prospect()
	if at > p.now && why == Refused { // the wait is told by routers: not all at once behind it
		at += time.Duration(p.rnd.Float64() * float64(max(p.set.BackoffBase, (at-p.now)/2)))
	}
	switch {
	case at > due: // what can't be done in time is told now
		p.finish(c, End{Verdict: why, Local: why == Refused, Wait: at - p.now})
	case at > p.now && why == Refused:
		c.held = at
		p.wait(c, holding)
	default:
		p.queue = append(p.queue, c)
		p.wait(c, queued)
	}
}

func (p *Policy) send(c *Call, n *Conn) {
	p.settled(c)
	second := c.second()
	c.conn, c.state, c.last, c.sent, c.written = n, out, n.router.id, p.now, false
	if n.open++; n.open == 1 { // nothing was owed: its silence begins now
		n.heard, n.rested = p.now, p.now-n.used
		p.rewakeConn(n)
	}
	n.sent++
	n.router.open++
	c.tries++
	p.counts.Tries++
	if second {
		p.counts.Retries++
	}
	p.rewake(c)
	p.reconsider(n)
	p.do(Action{Op: Send, Call: c, Conn: n, Router: n.router.id, Second: second})
}

// pump sends what waits for a place, in order, for as long as there are places.
func (p *Policy) pump() {
	for len(p.queue) > 0 {
		c := p.queue[0]
		if c.state == queued {
			n := p.pick(c)
			if n == nil {
				return
			}
			p.queue[0], p.queue = nil, p.queue[1:]
			p.send(c, n)
			continue
		}
		p.queue[0], p.queue = nil, p.queue[1:]
	}
	if cap(p.queue) > 4*p.set.Waiting {
		p.queue = nil
	}
}

// End closes all connections. No call is open any more, and none may begin.
func (p *Policy) End(now time.Duration) {
	p.now = now
	for _, r := range p.routers {
		for len(r.conns) > 0 {
			p.shut(r.conns[0])
		}
		p.unwake(&r.wake)
	}
}

// ---- Times ----

// wake is the next moment at which something of a call, a connection or a router is due.
type wake struct {
	at     time.Duration
	index  int // in the heap; -1: not there
	call   *Call
	conn   *Conn
	router *router
}

type wakes []*wake

func (w wakes) Len() int           { return len(w) }
func (w wakes) Less(i, j int) bool { return w[i].at < w[j].at }
func (w wakes) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}
func (w *wakes) Push(x any) {
	x.(*wake).index = len(*w)
	*w = append(*w, x.(*wake))
}
func (w *wakes) Pop() any {
	old := *w
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*w = old[:len(old)-1]
	last.index = -1
	return last
}

func (p *Policy) setWake(w *wake, at time.Duration) {
	if w.index >= 0 {
		if w.at != at {
			w.at = at
			heap.Fix(&p.wakes, w.index)
		}
		return
	}
	w.at = at
	heap.Push(&p.wakes, w)
}

func (p *Policy) unwake(w *wake) {
	if w.index >= 0 {
		heap.Remove(&p.wakes, w.index)
	}
}

// rewake sets a call's next moment: its end, or before that the time for which it is held.
func (p *Policy) rewake(c *Call) {
	at := c.deadline
	if c.state == holding {
		at = min(at, c.held)
	}
	p.setWake(&c.wake, at)
}

// Tick does what is due.
func (p *Policy) Tick(now time.Duration) {
	p.now = now
	for len(p.wakes) > 0 && p.wakes[0].at <= now {
		w := heap.Pop(&p.wakes).(*wake)
		switch {
		case w.call != nil:
			p.callDue(w.call)
		case w.conn != nil:
			p.connDue(w.conn)
		default:
			p.routerDue(w.router)
		}
	}
	p.pump()
}

func (p *Policy) callDue(c *Call) {
	switch {
	case p.now >= c.deadline:
		if c.state == out {
			p.overdue(c)
		}
		p.giveUp(c, Deadline)
	case c.state == holding:
		p.dispatch(c)
	default:
		p.rewake(c)
	}
}

// least is the quickest that a class was served of late: with less time than that left, a try is in vain.
type least struct {
	now, before time.Duration // of this period and the one before; 0: none
	until       time.Duration
}

const leastPeriod = 10 * time.Second

func (l *least) turn(now time.Duration) {
	if now < l.until {
		return
	}
	l.before, l.now = l.now, 0
	if now >= l.until+leastPeriod {
		l.before = 0
	}
	l.until = now + leastPeriod
}

func (l *least) served(now, took time.Duration) {
	l.turn(now)
	if l.now == 0 || took < l.now {
		l.now = took
	}
}

// floor is the least time that a try needs.
func (l *least) floor(now, atLeast time.Duration) time.Duration {
	l.turn(now)
	f := l.now
	if f == 0 || l.before > 0 && l.before < f {
		f = l.before
	}
	return max(f, atLeast)
}
