package failover

import (
	"errors"
	"maps"
	"slices"
	"time"

	"hillknot/internal/cluster/messaging"
)

// keeper is a router that keeps this one's orders, for a session. A session that is lost is followed by another.
type keeper struct {
	name    string
	session uint64
	until   time.Duration // the lease: orders may be sent until then
	renew   time.Duration // when it is to be prolonged
	open    int           // orders that are kept there and have not ended
	lost    bool
}

// own is an order that this router has taken.
type own struct {
	order  Order
	until  time.Duration // its client gives up
	k      *keeper       // nil: no keeper
	want   step          // what the keeper is to know
	said   step          // what it was told
	held   step          // what it has said that it holds
	ever   bool          // some keeper was told of it
	left   bool          // a keeper was told that it may give it to another
	bare   bool          // it goes out without a keeper
	gone   bool          // the caller was told that it may send it
	went   bool          // it may have been sent
	tried  []string      // keepers that were asked in vain
	end    *Outcome
	letGo  bool // its refusal waits for the keeper to let go
	forget time.Duration
	wait   []waiter
	given  Incarnation // to whom this router gave it, where no keeper ever knew of it
}

// renewals is how many times a lease is prolonged in its time.
const renewals = 4

// Replicate takes an order that a client waits for. An error says why it can't be taken; it never ran then.
func (t *Coordinator) Replicate(now time.Duration, o Order) error {
	if t.set.Strict && t.current(now) == nil {
		t.Totals.OrdersWithoutReplica++
		return ReplicaUnreachableError{}
	}
	if o.Whole = len(o.Body) <= t.set.MaxBodyBytes; !o.Whole {
		o.Body = nil
	}
	t.Totals.OrdersReplicated++
	t.mine[o.Txn] = &own{order: o, until: now + o.Left, want: stepTaken}
	t.dirty = append(t.dirty, o.Txn)
	t.log("taken", o.Txn, "")
	return nil
}

// current is the keeper for new orders; nil where there is none.
func (t *Coordinator) current(now time.Duration) *keeper {
	k := t.keeperNow
	if k != nil && !k.lost && t.alive(k.name) {
		return k
	}
	// One that took this router for lost may keep for it again.
	if name := t.best(nil); name != "" {
		return t.change(now, name)
	}
	return nil
}

func (t *Coordinator) alive(name string) bool {
	return slices.ContainsFunc(t.live, func(o Peer) bool { return o.Name == name })
}

// change goes on with another keeper, or another session of the same.
func (t *Coordinator) change(now time.Duration, name string) *keeper {
	t.number++
	t.keeperNow = &keeper{name: name, session: t.number, renew: now}
	t.keepers = append(t.keepers, t.keeperNow)
	t.log("kept by", "", name)
	return t.keeperNow
}

// RequestLease tells that an order is to be sent. Go follows at once or later, or Stop, or nothing where it ends before.
func (t *Coordinator) RequestLease(now time.Duration, txn string) {
	o := t.mine[txn]
	switch {
	case o == nil || o.end != nil:
		t.do(Action{Kind: ActionStop, Txn: txn, Outcome: Outcome{Kind: MayHaveRun}, Err: LeaseLostError{}})
	case o.bare || o.held == stepMay && now < o.k.until:
		t.do(Action{Kind: ActionSend, Txn: txn})
	default: // where it had the word before, the lease has run out since: the keeper is asked anew
		if o.gone {
			o.gone, o.said, o.held = false, stepNone, stepNone
		}
		o.want = stepMay
		t.dirty = append(t.dirty, txn)
	}
}

// UseLease tells whether an order may be written now. Who gets a yes writes it at once.
func (t *Coordinator) UseLease(now time.Duration, txn string) bool {
	o := t.mine[txn]
	if o == nil || o.end != nil || !o.bare && (o.held != stepMay || o.k == nil || now >= o.k.until) {
		return false
	}
	if !o.went {
		t.log("sent", txn, "")
	}
	o.went = true
	return true
}

// Finish takes what an order's client is about to be told. Where it returns true the client is not told yet, but at Release:
// a keeper may still give the order away.
func (t *Coordinator) Finish(now time.Duration, txn string, out Outcome) (wait bool) {
	o := t.mine[txn]
	if o == nil || o.end != nil {
		return false
	}
	if out.Kind == Served && len(out.Body) > t.set.MaxBodyBytes {
		out = Outcome{Kind: MayHaveRun}
	}
	o.end, o.forget = &out, now+t.set.Retention
	t.over = append(t.over, txn)
	for len(t.over) > t.set.MaxRecords {
		t.forgetOwn(now)
	}
	t.log("ended "+out.Kind.String(), txn, "")
	if o.k != nil {
		o.k.open--
	}
	if o.want = stepNone; o.said != stepNone { // else nobody was told, and nobody need be
		o.want = stepEnded
		t.dirty = append(t.dirty, txn)
	}
	o.letGo = out.Kind == NeverRan && o.left
	if !o.letGo {
		t.spread(now, txn, o)
	}
	return o.letGo
}

// spread tells who waits for an own order how it ended.
func (t *Coordinator) spread(now time.Duration, txn string, o *own) {
	wait := o.wait
	o.wait = nil
	for _, w := range wait {
		t.tell(now, txn, w, t.ownWord(o, w))
	}
	if r := t.records[txn]; r != nil && r.state == running {
		t.finish(now, r, *o.end)
	}
}

// Abandon tells that another's order was not run here after all, and never will be.
func (t *Coordinator) Abandon(now time.Duration, txn string) {
	if r := t.records[txn]; r != nil && r.state == running {
		t.finish(now, r, Outcome{Kind: NeverRan})
	}
}

// forgetOwn forgets the own order that ended first; where that is too soon, this router says so for a while.
func (t *Coordinator) forgetOwn(now time.Duration) {
	txn := t.over[0]
	t.over = t.over[1:]
	if o := t.mine[txn]; o != nil && o.end != nil {
		if now < o.forget {
			t.blurred = now + t.set.Retention
		}
		delete(t.mine, txn)
	}
}

// Cancel ends an order whose client no longer waits. Ran tells whether it may have run.
func (t *Coordinator) Cancel(now time.Duration, txn string, ran bool) {
	if o := t.mine[txn]; o != nil && o.end == nil {
		kind := NeverRan
		if ran {
			kind = MayHaveRun
		}
		if t.Finish(now, txn, Outcome{Kind: kind}) {
			t.StopWaiting(now, txn) // nobody waits for the keeper's word
		}
	}
}

// tellAll has the keepers told what they are to know.
func (t *Coordinator) tellAll(now time.Duration) {
	list := t.dirty
	t.dirty = nil
	for _, txn := range list {
		if o := t.mine[txn]; o != nil && o.want > o.said {
			t.tellOne(now, txn, o)
		}
	}
}

func (t *Coordinator) tellOne(now time.Duration, txn string, o *own) {
	if o.k == nil {
		k := t.current(now)
		if k != nil && slices.Contains(o.tried, k.name) {
			if name := t.best(o.tried); name != "" {
				k = t.change(now, name)
			} else {
				k = nil
			}
		}
		if k == nil {
			t.unkept(now, txn, o, nil)
			return
		}
		o.k = k
		k.open++
	}
	m := message{Kind: kindTell, Txn: txn, Step: o.want, Session: o.k.session}
	until := now + t.set.ReplicaTimeout
	switch {
	case o.want == stepEnded:
		m.Outcome, until = *o.end, now+t.set.Retention
	case o.held == stepNone:
		m.Order = o.order
		m.Order.Left = max(o.until-now, 0)
	}
	if o.want == stepLeft || o.left { // only this keeper's word can tell what became of it
		until = max(until, o.until)
	}
	if _, err := t.send(now, o.k.name, m, until, ask{txn: txn, step: o.want, session: o.k.session}); err != nil {
		t.failed(now, txn, o, err)
		return
	}
	o.ever, o.said, o.left = true, o.want, o.left || o.want == stepLeft
	t.log(o.want.String()+" said", txn, o.k.name)
	o.k.renew = now + t.set.LeaseDuration/renewals
}

// kept takes what a keeper says to what it was told, or that it says nothing.
func (t *Coordinator) kept(now time.Duration, a ask, d messaging.Completion, w word) {
	k := t.session(a.session)
	if k != nil {
		switch {
		case d.Err == nil && w.Say == sayHeld: // it came after it was sent: the lease runs from there
			k.until = max(k.until, a.sent+t.set.LeaseDuration)
		case d.Err == nil && w.Say == sayLost && a.step != stepEnded:
			t.sessionLost(now, k)
		case d.Err != nil && !k.lost:
			t.keeperLost(now, k)
		}
	}
	o := t.mine[a.txn]
	if o == nil || a.txn == "" || o.k == nil || o.k.session != a.session {
		return
	}
	switch {
	case a.step == stepEnded:
		t.letGo(now, a, o, d.Err, w)
	case d.Err == nil && w.Say == sayHeld:
		o.held = max(o.held, a.step)
		t.log(a.step.String()+" held", a.txn, d.To)
		switch {
		case o.end != nil:
		case o.held == stepMay && !o.gone:
			o.gone = true
			t.do(Action{Kind: ActionSend, Txn: a.txn})
		case o.held == stepTaken && o.want == stepTaken: // it waits for longer than that took
			o.want = stepLeft
			t.dirty = append(t.dirty, a.txn)
		}
	case d.Err == nil && (w.Say == sayLost || w.Say == sayGone):
		if !o.went && o.end == nil {
			t.stop(now, a.txn, o, Outcome{Kind: MayHaveRun}, LeaseLostError{d.To})
		}
	default:
		err := d.Err
		if err == nil {
			err = ReplicaFullError{d.To}
		}
		t.failed(now, a.txn, o, err)
	}
}

// letGo takes whether a keeper lets go of an order that was refused.
func (t *Coordinator) letGo(now time.Duration, a ask, o *own, err error, w word) {
	if !o.letGo {
		return
	}
	act := Action{Kind: ActionRelease, Txn: a.txn}
	switch {
	case err != nil:
		act.Err = NotReleasedError{a.to}
	case w.Say != sayHeld:
		act.Err = LeaseLostError{a.to}
	}
	if act.Err != nil {
		t.StopWaiting(now, a.txn)
	} else {
		o.letGo = false
		t.spread(now, a.txn, o)
	}
	t.do(act)
}

// StopWaiting ends the wait for a keeper to let go of an order: it may still run it.
func (t *Coordinator) StopWaiting(now time.Duration, txn string) {
	if o := t.mine[txn]; o != nil && o.letGo {
		o.letGo = false
		o.end.Kind = MayHaveRun
		t.spread(now, txn, o)
	}
}

func (t *Coordinator) session(number uint64) *keeper {
	if i := slices.IndexFunc(t.keepers, func(k *keeper) bool { return k.session == number }); i >= 0 {
		return t.keepers[i]
	}
	return nil
}

// keeperLost leaves a keeper that does not answer. Orders that it can't give away go to the next.
func (t *Coordinator) keeperLost(now time.Duration, k *keeper) {
	k.lost = true
	t.log("keeper lost", "", k.name)
	if t.keeperNow == k {
		if name := t.best([]string{k.name}); name != "" {
			t.change(now, name)
		}
	}
	for _, txn := range slices.Sorted(maps.Keys(t.mine)) {
		if o := t.mine[txn]; o.k == k && o.end == nil && !o.left {
			t.move(o)
			t.dirty = append(t.dirty, txn)
		}
	}
}

// move has an order told to another keeper. The one before never had the right to give it away.
func (t *Coordinator) move(o *own) {
	o.k.open--
	o.tried = append(o.tried, o.k.name)
	o.k, o.said, o.held = nil, stepNone, stepNone
}

// sessionLost takes that the keeper holds this router to have been lost: what was not sent may be another's by now.
func (t *Coordinator) sessionLost(now time.Duration, k *keeper) {
	if k.lost {
		return
	}
	k.lost = true
	k.until = 0
	t.log("session lost", "", k.name)
	for _, txn := range slices.Sorted(maps.Keys(t.mine)) {
		if o := t.mine[txn]; o.k == k && o.end == nil && !o.went {
			t.stop(now, txn, o, Outcome{Kind: MayHaveRun}, LeaseLostError{k.name})
		}
	}
}

// failed takes that a keeper could not be told of an order in time.
func (t *Coordinator) failed(now time.Duration, txn string, o *own, err error) {
	switch {
	case o.end != nil || o.went:
	case o.left: // it may have it all the same, and nobody else can tell
		t.stop(now, txn, o, Outcome{Kind: MayHaveRun}, NotReleasedError{o.k.name})
	case now >= o.until:
		t.stop(now, txn, o, Outcome{Kind: NeverRan}, err)
	default:
		t.move(o)
		t.dirty = append(t.dirty, txn)
		if t.best(o.tried) == "" {
			t.unkept(now, txn, o, err)
		}
	}
}

// unkept takes that nobody can keep an order.
func (t *Coordinator) unkept(now time.Duration, txn string, o *own, err error) {
	switch full := (ReplicaFullError{}); {
	case o.end != nil:
		o.said = o.want
	case !t.set.Strict:
		o.bare, o.said = true, o.want
		if o.want == stepMay && !o.gone {
			o.gone = true
			t.do(Action{Kind: ActionSend, Txn: txn})
		}
	case o.went: // nobody is left to be told
		o.said = o.want
	default:
		t.Totals.OrdersWithoutReplica++
		if !errors.As(err, &full) {
			err = ReplicaUnreachableError{o.tried}
		}
		t.stop(now, txn, o, Outcome{Kind: NeverRan}, err)
	}
}

// stop ends an order that may not be sent.
func (t *Coordinator) stop(now time.Duration, txn string, o *own, out Outcome, err error) {
	if out.Kind == MayHaveRun {
		t.Totals.LeasesLost++
	}
	if t.Finish(now, txn, out) {
		t.StopWaiting(now, txn)
	}
	t.do(Action{Kind: ActionStop, Txn: txn, Outcome: *o.end, Err: err})
}

// beatOwn prolongs leases and forgets what has ended long ago.
func (t *Coordinator) beatOwn(now time.Duration) {
	t.keepers = slices.DeleteFunc(t.keepers, func(k *keeper) bool { return k.open <= 0 && k != t.keeperNow })
	t.current(now)
	for _, k := range t.keepers {
		first := k.until == 0 && k == t.keeperNow // so that the first order finds the way made
		if (k.open > 0 || first) && !k.lost && now >= k.renew {
			k.renew = now + t.set.LeaseDuration/renewals
			// A failure is found by what is told of orders, or by the next of these.
			_, _ = t.send(now, k.name, message{Kind: kindTell, Session: k.session}, now+t.set.LeaseDuration, ask{session: k.session})
		}
	}
	if now < t.swept+sweepEvery {
		return
	}
	t.swept = now
	for len(t.over) > 0 && (t.mine[t.over[0]] == nil || now >= t.mine[t.over[0]].forget) {
		t.forgetOwn(now)
	}
}

// sweepEvery is how often what has ended is looked through.
const sweepEvery = time.Second

// String names an outcome as logs do.
func (k Kind) String() string {
	return [...]string{"may have run", "served", "failed", "never ran"}[min(k, NeverRan)]
}

func (s step) String() string {
	return [...]string{"none", "taken", "left", "may", "ended"}[min(s, stepEnded)]
}
