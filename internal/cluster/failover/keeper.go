package failover

import (
	"maps"
	"slices"
	"time"

	"hillknot/internal/cluster/messaging"
)

// state is how a record stands.
type state uint8

const (
	taken   state = iota // its owner may have left it to another keeper by now
	left                 // it is this keeper's to give away, if its owner is lost
	may                  // its owner may send it: nobody else ever may
	loose                // it was taken, and its owner is lost: this keeper never lets it go out
	orphan               // it was left, and its owner is lost: it can be given to one
	given                // to a claimant; blank: as far as this keeper goes it never went out, and does for the claimant alone
	running              // here
	ended
)

// record is what a keeper knows of an order.
type record struct {
	order   Order
	known   bool // the order is
	owner   Incarnation
	session uint64
	state   state
	blank   bool
	due     time.Duration // its client gives up
	forget  time.Duration
	end     Outcome
	wait    []waiter
	to      waiter // of given
}

// waiter is a claimant that is told what becomes of an order.
type waiter struct {
	Incarnation
	claim uint64
}

// waitersMost is how many claimants wait for one order.
const waitersMost = 8

// owner is a router that this one keeps for.
type owner struct {
	session uint64
	until   time.Duration // it is lost then, if it says nothing
	lost    uint64        // this session and those before are
	open    map[string]*record
}

// told takes what an owner tells.
func (t *Coordinator) told(now time.Duration, a messaging.Delivery, m message) {
	from := Incarnation{a.From, a.Process}
	ow := t.owners[from]
	if ow == nil {
		ow = &owner{open: map[string]*record{}}
		t.owners[from] = ow
	}
	if m.Step == stepEnded {
		t.answer(a, word{Say: t.toldEnd(now, from, ow, m)})
		return
	}
	if m.Session <= ow.lost {
		t.answer(a, word{Say: sayLost})
		return
	}
	ow.session, ow.until = max(ow.session, m.Session), now+t.set.outlasts(t.set.LeaseDuration)
	say := sayHeld
	if m.Step != stepNone {
		say = t.toldOf(now, from, ow, m)
	}
	t.answer(a, word{Say: say})
}

// toldOf takes a record of an order that is open.
func (t *Coordinator) toldOf(now time.Duration, from Incarnation, ow *owner, m message) say {
	st := map[step]state{stepTaken: taken, stepLeft: left, stepMay: may}[m.Step]
	r := t.records[m.Txn]
	switch {
	case r == nil:
		if m.Order.Txn != m.Txn { // what it said of it before is not here any more
			return sayGone
		}
		if r = t.room(now, m.Txn); r == nil {
			t.Totals.RecordsRejected++
			return sayFull
		}
		t.Totals.RecordsStored++
	case r.owner == from && r.state <= may:
		if st > r.state {
			r.state, r.session = st, m.Session
			t.log(m.Step.String()+" kept", m.Txn, from.Name)
		}
		return sayHeld
	case r.state == given && r.to.Incarnation == from && m.Order.Txn == m.Txn: // its new owner
	default:
		return sayGone
	}
	r.order, r.known, r.blank, r.owner, r.session, r.state = m.Order, true, false, from, m.Session, st
	r.due = now + m.Order.Left
	r.forget = r.due + t.set.Retention
	ow.open[m.Txn] = r
	t.log(m.Step.String()+" kept", m.Txn, from.Name)
	return sayHeld
}

// toldEnd takes how an order ended.
func (t *Coordinator) toldEnd(now time.Duration, from Incarnation, ow *owner, m message) say {
	r := t.records[m.Txn]
	switch {
	case r == nil:
		if r = t.room(now, m.Txn); r == nil {
			t.blurred = now + t.set.Retention
			return sayHeld
		}
		r.owner = from
	case r.state == given && r.to.Incarnation == from && m.Outcome.Kind == NeverRan: // it gives it back
		t.finish(now, r, m.Outcome)
		return sayHeld
	case r.state == ended && r.owner == from:
		// It was taken for lost, and knows better. But what was told as may have run is not to run from now on.
		if r.end.Kind == MayHaveRun && m.Outcome.Kind != NeverRan {
			t.finish(now, r, m.Outcome)
		}
		return sayHeld
	case m.Session == 0: // it was given, begun there, and given back by mistake
		return sayHeld
	case r.owner != from || r.state > may:
		return sayGone
	}
	delete(ow.open, m.Txn)
	t.finish(now, r, m.Outcome)
	return sayHeld
}

// room makes a record, in place of the oldest of those that have ended where there are too many; nil where none has.
func (t *Coordinator) room(now time.Duration, txn string) *record {
	for len(t.records) >= t.set.MaxRecords {
		if len(t.past) == 0 {
			return nil
		}
		old := t.records[t.past[0]]
		if old != nil && old.state == ended {
			if now < old.forget {
				t.blurred = now + t.set.Retention // nobody can say for sure any more that it knows nothing of an order
			}
			delete(t.records, t.past[0])
		}
		t.past = t.past[1:]
	}
	r := &record{order: Order{Txn: txn}, forget: now + t.set.Retention}
	t.records[txn] = r
	return r
}

// finish ends a record, and tells who waits for that. One that never ran is given to the first.
func (t *Coordinator) finish(now time.Duration, r *record, out Outcome) {
	r.state, r.end, r.forget = ended, out, now+t.set.Retention
	t.past = append(t.past, r.order.Txn)
	t.log("kept as "+out.Kind.String(), r.order.Txn, "")
	wait := r.wait
	r.wait = nil
	for _, w := range wait {
		t.tell(now, r.order.Txn, w, t.recordWord(now, r, w))
	}
}

// beatRecords finds owners that are lost, and takes over what they leave.
func (t *Coordinator) beatRecords(now time.Duration) {
	if t.swept == now { // beatOwn has just looked through its own
		maps.DeleteFunc(t.records, func(_ string, r *record) bool {
			if ow := t.owners[r.owner]; ow != nil && now >= r.forget {
				delete(ow.open, r.order.Txn)
			}
			return now >= r.forget
		})
		t.past = slices.DeleteFunc(t.past, func(txn string) bool { return t.records[txn] == nil })
	}
	for _, who := range t.ownerNames() {
		switch ow := t.owners[who]; {
		case now < ow.until:
		case len(ow.open) > 0:
			t.ownerLost(now, who, ow)
		case now >= ow.until+t.set.Retention:
			delete(t.owners, who)
		}
	}
}

func (t *Coordinator) ownerNames() []Incarnation {
	return slices.SortedFunc(maps.Keys(t.owners), func(a, b Incarnation) int {
		if a.Name != b.Name {
			return map[bool]int{true: -1, false: 1}[a.Name < b.Name]
		}
		return int(min(max(int64(a.Process-b.Process), -1), 1))
	})
}

// ownerLost takes over what a router leaves that has said nothing for a lease.
func (t *Coordinator) ownerLost(now time.Duration, who Incarnation, ow *owner) {
	ow.lost = ow.session
	t.Totals.OwnersLost++
	t.log("owner lost", "", who.Name)
	for _, txn := range slices.Sorted(maps.Keys(ow.open)) {
		r := ow.open[txn]
		t.Totals.OrdersTakenOver++
		if r.state == may {
			t.finish(now, r, Outcome{Kind: MayHaveRun})
			continue
		}
		if r.state == taken {
			r.state = loose
		} else {
			r.state = orphan
		}
		r.owner = Incarnation{} // whatever its owner says of it from now on is too late
		t.log("orphaned", txn, who.Name)
		if wait := r.wait; len(wait) > 0 {
			r.wait = wait[1:]
			t.tell(now, txn, wait[0], t.recordWord(now, r, wait[0]))
			continue
		}
		t.runHere(now, r)
	}
	clear(ow.open)
}

// runHere runs an order without its client, where all of it is here and there is time for it.
func (t *Coordinator) runHere(now time.Duration, r *record) {
	if r.state != orphan || !r.order.Whole || now >= r.due {
		return // a claim may bring what is lacking, or it never runs
	}
	r.state = running
	o := r.order
	o.Left = r.due - now
	t.Totals.OrdersRun++
	t.log("run here", o.Txn, "")
	t.do(Action{Kind: ActionRun, Txn: o.Txn, Order: o})
}

// recordWord is what a claimant is told of a record, whose order it has shown to know. What may be given away is given by
// the very word.
func (t *Coordinator) recordWord(now time.Duration, r *record, w waiter) word {
	switch r.state {
	case taken, left, may, running:
		return t.later(&r.wait, w)
	case loose:
		r.state, r.blank, r.to = given, true, w
		return word{Say: sayUnknown, Sure: t.sure(now)}
	case given:
		switch {
		case r.to != w:
			return word{Say: sayElsewhere}
		case r.blank:
			return word{Say: sayUnknown, Sure: t.sure(now)}
		}
		return word{Say: sayRun}
	case ended:
		switch r.end.Kind {
		case MayHaveRun:
			return word{Say: sayMay}
		case Served, Failed:
			return word{Say: sayOutcome, Outcome: r.end}
		}
	}
	r.state, r.to = given, w
	t.Totals.OrdersGiven++
	t.log("given", r.order.Txn, w.Name)
	return word{Say: sayRun}
}

// later has a claimant wait.
func (t *Coordinator) later(list *[]waiter, w waiter) word {
	if !slices.Contains(*list, w) {
		if len(*list) >= waitersMost {
			return word{Say: sayElsewhere}
		}
		*list = append(*list, w)
	}
	return word{Say: sayWait}
}

// sure tells whether this router would know of an order, had any process of it kept one: all clients of before its start
// have given up, and nothing was forgotten too soon.
func (t *Coordinator) sure(now time.Duration) bool {
	return t.born > 0 && now >= t.born+t.set.outlasts(t.set.MaxClientWait) && now >= t.blurred
}
