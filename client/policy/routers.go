package policy

import (
	"math"
	"time"
)

// router is what is known of one router.
type router struct {
	id      int
	conns   []*Conn
	open    int           // calls out on its connections
	latency float64       // seconds of its answers, the slower ones weighing more; 0: not known
	accepts float64       // share of its answers that served, of late
	told    time.Duration // when its latest answer came
	away    time.Duration // it told to stay away until then

	fails     int // in a row
	ejected   time.Duration
	ejections int

	dialAfter time.Duration // no connection is opened before
	dials     int           // that failed, in a row
	wasUp     bool
	lost      bool // the last connection broke: the next one that comes up is a reconnect
	wake      wake
}

// Conn is one connection.
type Conn struct {
	Tag any // the caller's

	router  *router
	state   connState
	open    int
	sent    uint64 // calls in all
	pace    float64
	used    time.Duration // when a call last came or went
	heard   time.Duration // when bytes last came, or the connection began to owe an answer
	asked   time.Duration // when it was asked whether the router takes clients, and has not answered; 0: it is not
	checked time.Duration // when it was last asked
	rested  time.Duration // how long it had been without calls before those that are open now
	wake    wake
}

// Router is the number of the connection's router.
func (n *Conn) Router() int { return n.router.id }

type connState uint8

const (
	dialing connState = iota
	checking
	ready
	leaving // takes nothing new, and closes once nothing is open
	closed
)

// most is how many calls one connection carries in its life: ids are bounded.
const most = 1 << 31

// usable tells whether the router may get calls now.
func (r *router) usable(now time.Duration) bool { return now >= r.ejected && now >= r.away }

// place is the connection on which the router has room, the least used one.
func (r *router) place(most int) *Conn {
	var best *Conn
	for _, n := range r.conns {
		if n.state == ready && n.open < most && (best == nil || n.open < best.open) {
			best = n
		}
	}
	return best
}

// score is the lower the sooner a call is served there. A router that refuses is quick at it: its answers count as
// slower the fewer of them serve. What was seen of a router fades, so that it is tried again; of one that is not
// known, what is usual is expected.
func (p *Policy) score(r *router) float64 {
	old := math.Exp(-(p.now - r.told).Seconds() / fade.Seconds())
	latency := p.latency
	if r.latency > 0 {
		latency += (r.latency - p.latency) * old
	}
	accepts := 1 - (1-r.accepts)*old
	return float64(r.open+1) * max(latency, 1e-4) / max(accepts, 0.02)
}

// fade is how long what was seen of a router counts.
const fade = 2 * time.Second

// answered takes the time and the kind of an answer.
func (r *router) answered(now, took time.Duration, res Result) {
	r.told = now
	good := 0.0
	if res == Good || res == Unusable {
		good = 1
		if sample := took.Seconds(); r.latency == 0 {
			r.latency = sample
		} else if sample > r.latency { // slower counts sooner than quicker
			r.latency += 0.3 * (sample - r.latency)
		} else {
			r.latency += 0.1 * (sample - r.latency)
		}
	}
	r.accepts += 0.1 * (good - r.accepts)
}

// pick chooses the connection for a call: the better of two random routers that have room. A retry goes to another
// router than the try before where there is one.
func (p *Policy) pick(c *Call) *Conn {
	first, second, seen := (*Conn)(nil), (*Conn)(nil), 0
	var before *Conn
	for _, r := range p.routers {
		if !r.usable(p.now) {
			continue
		}
		n := r.place(p.set.OpenPerConn)
		if n == nil {
			continue
		}
		if r.id == c.last && c.tries+c.moves > 0 {
			before = n
			continue
		}
		// Each pair is as likely as any other, and nothing is kept between the calls.
		switch seen++; {
		case seen == 1:
			first = n
		case seen == 2:
			second = n
		default:
			if k := p.rnd.IntN(seen); k == 0 {
				first = n
			} else if k == 1 {
				second = n
			}
		}
	}
	switch {
	case first == nil:
		return before
	case second != nil && p.score(second.router) < p.score(first.router):
		return second
	}
	return first
}

// warm opens connections that are wanted and may be opened: to routers without one, and where all are full.
func (p *Policy) warm() {
	for _, r := range p.routers {
		if p.now < r.dialAfter || p.now < r.ejected {
			continue
		}
		coming, room, has := false, false, 0
		for _, n := range r.conns {
			coming = coming || n.state == dialing || n.state == checking
			if n.state != leaving {
				has++
			}
			room = room || n.state == ready && n.open < p.set.OpenPerConn*3/4
		}
		if !coming && !room && has < p.set.ConnsPerRouter {
			p.dial(r)
		}
	}
}

func (p *Policy) dial(r *router) {
	n := &Conn{router: r, state: dialing}
	n.wake = wake{conn: n, index: -1}
	r.conns = append(r.conns, n)
	p.counts.Dials++
	p.setWake(&n.wake, p.now+p.set.DialWait)
	p.do(Action{Op: Dial, Conn: n, Router: r.id})
}

// allAway tells whether all routers that can be reached told to stay away, and until when the first of them did.
func (p *Policy) allAway() (at time.Duration, all bool) {
	for _, r := range p.routers {
		if len(r.conns) == 0 && p.now < r.dialAfter || p.now < r.ejected {
			continue
		}
		if r.away <= p.now {
			return 0, false
		}
		if !all || r.away < at {
			at, all = r.away, true
		}
	}
	return at, all
}

// prospect is when a call that finds no place now may find one, and as what it ends if that is too late: now, where
// a place will come free or a connection is on its way.
func (p *Policy) prospect() (at time.Duration, why Verdict) {
	if at, all := p.allAway(); all {
		return at, Refused
	}
	at, why = -1, Unreachable
	for _, r := range p.routers {
		when := max(r.ejected, r.away)
		if len(r.conns) == 0 {
			when = max(when, r.dialAfter)
		}
		if when <= p.now {
			return p.now, Busy
		}
		if at < 0 || when < at {
			at = when
		}
	}
	return at, why
}

// ---- Health of routers ----

func (p *Policy) healthy(r *router) {
	r.fails = 0
	if r.ejections > 0 && p.now > r.ejected+4*p.set.EjectFor {
		r.ejections = 0
	}
}

// failed counts a failure of a router and, after some in a row, takes it out of the choice. Where too many are out
// already, it stays: then it is not the odd one out.
func (p *Policy) failed(r *router) {
	if r.fails++; r.fails < p.set.EjectAfter || p.now < r.ejected {
		return
	}
	gone := 1
	for _, o := range p.routers {
		if o != r && p.now < o.ejected {
			gone++
		}
	}
	if float64(gone) > p.set.EjectShare*float64(len(p.routers)) {
		return
	}
	r.fails = p.set.EjectAfter - 1 // the first failure after it counts in full
	span := min(p.set.EjectMost, p.set.EjectFor<<min(r.ejections, 16))
	r.ejections++
	r.ejected = p.now + time.Duration((0.75+0.5*p.rnd.Float64())*float64(span))
	p.counts.Ejections++
	p.setWake(&r.wake, r.ejected)
}

// overdue takes that a router did not answer in the time that it was told.
func (p *Policy) overdue(c *Call) {
	r := c.conn.router
	r.accepts -= 0.1 * r.accepts
	p.failed(r)
}

func (p *Policy) routerDue(r *router) {
	if p.demand() {
		p.warm()
	}
	if at := max(r.dialAfter, r.ejected); at > p.now {
		p.setWake(&r.wake, at)
	}
}

// demand tells whether a call waits for a place.
func (p *Policy) demand() bool {
	for _, c := range p.queue {
		if c.state == queued {
			return true
		}
	}
	return false
}

// ---- Connections ----

// Connected tells that a connection is up. Its router is asked whether it takes clients before it gets any.
func (p *Policy) Connected(now time.Duration, n *Conn) {
	p.now = now
	if n.state != dialing {
		return
	}
	n.state, n.heard = checking, now
	p.check(n)
}

func (p *Policy) check(n *Conn) {
	n.asked, n.checked = p.now, p.now
	p.do(Action{Op: Check, Conn: n, Router: n.router.id})
	p.rewakeConn(n)
}

// Checked tells what a router answered.
func (p *Policy) Checked(now time.Duration, n *Conn, takes bool) {
	p.now = now
	r := n.router
	n.heard, n.asked = now, 0
	switch {
	case n.state == closed:
		return
	case !takes:
		p.drained(r)
	case n.state == checking:
		n.state, n.used = ready, now
		r.dials, r.wasUp = 0, true
		if r.lost {
			r.lost = false
			p.counts.Reconnects++
		}
		p.rewakeConn(n)
	default:
		p.rewakeConn(n)
	}
	p.pump()
}

// drained leaves a router that takes no clients: what is open goes on, and it is asked again later.
func (p *Policy) drained(r *router) {
	p.counts.Drains++
	for _, n := range append([]*Conn(nil), r.conns...) {
		if n.state == ready || n.state == checking {
			n.state = leaving
			p.reconsider(n)
		}
	}
	r.dialAfter = p.now + time.Duration((0.5+p.rnd.Float64())*float64(p.set.CheckEvery))
	p.setWake(&r.wake, r.dialAfter)
	p.reroute()
}

// Heard tells that bytes came in.
func (p *Policy) Heard(now time.Duration, n *Conn) {
	n.heard = now
	if n.state != checking { // there only the answer counts
		n.asked = 0
	}
}

// Wrote tells how long a write of so many bytes took: by it is judged how long the next will take.
func (n *Conn) Wrote(bytes int, took time.Duration) {
	if bytes > 0 {
		n.pace += 0.3 * (float64(took)/float64(bytes) - n.pace)
	}
}

// reconsider closes a connection that leaves and has nothing open, and sets when the others are looked at.
func (p *Policy) reconsider(n *Conn) {
	switch {
	case n.state == leaving && n.open == 0:
		p.shut(n)
	case n.state == ready && n.sent >= most:
		n.state = leaving
	case n.state == ready && n.wake.index < 0:
		p.rewakeConn(n)
	}
}

// rewakeConn sets when a connection is looked at next. Moments that have moved on since are found then.
func (p *Policy) rewakeConn(n *Conn) {
	at := n.used + p.set.Idle
	switch {
	case n.state == dialing:
		return
	case n.asked > 0:
		at = n.asked + p.set.CheckWait
	case n.open > 0:
		at = min(n.heard+p.set.Quiet, n.checked+p.set.CheckEvery)
	}
	p.setWake(&n.wake, max(at, p.now+time.Millisecond))
}

func (p *Policy) connDue(n *Conn) {
	r := n.router
	switch {
	case n.state == dialing: // too slow
		p.shut(n)
		p.unreachable(r)
	case n.asked > 0 && p.now >= n.asked+p.set.CheckWait: // it holds connections, but nobody is there
		p.counts.Silent++
		p.shut(n)
		p.failed(r)
		p.unreachable(r)
	case n.asked > 0:
		p.rewakeConn(n)
	case n.open == 0 && p.now >= n.used+p.set.Idle:
		p.shut(n)
	case n.open > 0 && p.now >= min(n.heard+p.set.Quiet, n.checked+p.set.CheckEvery):
		p.check(n)
	default:
		p.rewakeConn(n)
	}
}

// shut closes a connection. What is open on it is told of by Closed.
func (p *Policy) shut(n *Conn) {
	if n.state == closed {
		return
	}
	p.drop(n)
	p.do(Action{Op: Close, Conn: n, Router: n.router.id})
}

func (p *Policy) drop(n *Conn) {
	n.state = closed
	p.unwake(&n.wake)
	r := n.router
	for i, o := range r.conns {
		if o == n {
			r.conns = append(r.conns[:i], r.conns[i+1:]...)
			break
		}
	}
}

// DialFailed tells that a connection did not come up.
func (p *Policy) DialFailed(now time.Duration, n *Conn) {
	p.now = now
	if n.state != dialing {
		return
	}
	p.drop(n)
	p.unreachable(n.router)
	p.pump()
}

// restLong is how long a connection is without calls until its end says nothing of the router.
const restLong = time.Second

// Closed tells that a connection has ended: by the other side, or as Close asked. Of the calls that were out on it
// it lists those of which surely not one byte went out, and all others.
func (p *Policy) Closed(now time.Duration, n *Conn, unsent, lost []*Call) {
	p.now = now
	r := n.router
	byPeer, was, idle := n.state != closed, n.state, now-n.used
	if n.open > 0 {
		idle = 0
	}
	p.drop(n)
	// A router may close a connection on which nothing was open: then all on it were written just before.
	crossing := byPeer && was != leaving
	for _, c := range lost {
		crossing = crossing && now-c.sent <= p.set.Crossing
	}
	if byPeer {
		if len(lost) > 0 && !crossing {
			p.failed(r)
		}
		// Whoever was at work with it comes back with all the others: spread. One that had idled was closed for
		// that, or comes back at a time of its own.
		if was == checking || idle < restLong && !(crossing && n.rested >= restLong) {
			p.unreachable(r)
		}
	}
	for _, c := range unsent {
		if c.conn == n {
			p.leave(c)
			p.move(c)
		}
	}
	for _, c := range lost {
		if c.conn == n {
			p.leave(c)
			p.lostTry(c, crossing)
		}
	}
	p.pump()
}

// move sends a call elsewhere of which not a byte went out: no router has seen it.
func (p *Policy) move(c *Call) {
	p.unsent(c)
	if c.moves++; c.moves > 2*len(p.routers)+2 {
		p.finish(c, End{Verdict: Unreachable})
		return
	}
	p.counts.Moves++
	p.dispatch(c)
}

// lostTry takes that a try got no answer that can be read.
func (p *Policy) lostTry(c *Call, crossing bool) {
	c.maybeRan = true
	c.claim = p.set.Claims && !c.safe && !c.fixed
	if crossing && c.safe && !c.crossed && !c.fixed {
		c.crossed = true
		p.counts.Crossings++
		p.dispatch(c)
		return
	}
	p.again(c, End{Verdict: Lost})
}

// unreachable sets when the next connection to a router is opened: clients of a router that restarts must not all
// come back together. One that never was up is asked sooner at first.
func (p *Policy) unreachable(r *router) {
	for _, n := range r.conns {
		if n.state == ready {
			return
		}
	}
	span := float64(p.set.Reconnect)
	wait := p.rnd.Float64() * span
	switch {
	case !r.wasUp:
		wait = p.rnd.Float64() * min(span, float64(100*time.Millisecond<<min(r.dials, 10)))
	case r.dials > 0:
		wait += span / 2
	}
	r.dials++
	r.lost = r.lost || r.wasUp
	r.dialAfter = p.now + time.Duration(wait)
	p.setWake(&r.wake, max(r.dialAfter, r.ejected))
	p.reroute()
}

// reroute looks again at the calls that wait for a place: what they waited for may come too late now.
func (p *Policy) reroute() {
	old := p.queue
	p.queue = nil
	for _, c := range old {
		if c.state == queued {
			p.dispatch(c)
		}
	}
}
