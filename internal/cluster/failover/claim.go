package failover

import (
	"errors"
	"maps"
	"slices"
	"time"

	"hillknot/internal/cluster/messaging"
)

// claim is what this router asks others for a client that has lost another router.
type claim struct {
	order Order
	until time.Duration
	began time.Duration
	asked bool
	again time.Duration   // when those that have said nothing for good are asked once more
	words map[string]word // of those that were asked
	out   map[string]bool // asked, and nothing was said yet
}

// Claim asks what became of an order that a client has lost: its txn, and all else as the client asks for it now. Begin or
// Settle follows, unless it is dropped before.
func (t *Coordinator) Claim(now time.Duration, id uint64, o Order) {
	t.Totals.Claims++
	c := &claim{order: o, until: now + o.Left, began: now, words: map[string]word{}, out: map[string]bool{}}
	t.claims[id] = c
	t.log("claimed", o.Txn, "")
	// What is known here first: nothing may be kept of it from now on but for this claim.
	c.words[""] = t.look(now, o, waiter{Incarnation{t.set.Self, t.set.Process}, id})
	t.weigh(now, id, c)
}

// CancelClaim ends a claim whose client no longer waits.
func (t *Coordinator) CancelClaim(id uint64) { delete(t.claims, id) }

// look is what this router itself knows of an order.
func (t *Coordinator) look(now time.Duration, o Order, w waiter) word {
	own := t.mine[o.Txn]
	if own != nil && (own.end == nil || own.end.Kind != NeverRan || t.records[o.Txn] == nil) {
		if own.order.Digest != o.Digest {
			return word{Say: sayMay} // whoever asks does not know the order, and learns nothing
		}
		return t.ownWord(own, w)
	}
	if r := t.records[o.Txn]; r != nil {
		if !r.blank && (!r.known || r.order.Digest != o.Digest) {
			return word{Say: sayMay}
		}
		return t.recordWord(now, r, w)
	}
	r := t.room(now, o.Txn)
	if r == nil {
		return word{Say: sayUnknown}
	}
	r.state, r.blank, r.to = given, true, w
	return word{Say: sayUnknown, Sure: t.sure(now)}
}

// ownWord is what a claimant is told of an order of this router's own.
func (t *Coordinator) ownWord(o *own, w waiter) word {
	switch {
	case o.end == nil:
		return t.later(&o.wait, w)
	case o.end.Kind == Served, o.end.Kind == Failed:
		return word{Say: sayOutcome, Outcome: *o.end}
	case o.end.Kind == MayHaveRun && o.went:
		return word{Say: sayMay}
	case o.end.Kind == MayHaveRun, o.ever, o.given != (Incarnation{}) && o.given != w.Incarnation: // its keeper has it to give, or it was given
		return word{Say: sayElsewhere}
	}
	o.given = w.Incarnation
	t.Totals.OrdersGiven++
	t.log("given", o.order.Txn, w.Name)
	return word{Say: sayRun}
}

// claimed answers a claimant.
func (t *Coordinator) claimed(now time.Duration, a messaging.Delivery, m message) {
	w := t.look(now, m.Order, waiter{Incarnation{a.From, a.Process}, m.Claim})
	t.answer(a, w)
}

// tell tells a claimant more.
func (t *Coordinator) tell(now time.Duration, txn string, w waiter, what word) {
	if w.Name == t.set.Self {
		if c := t.claims[w.claim]; c != nil {
			c.words[""] = what
			t.weigh(now, w.claim, c)
		} else if what.Say == sayRun {
			t.giveBack(now, txn, "")
		}
		return
	}
	// A claimant that can't be told asks again by itself.
	_, _ = t.send(now, w.Name, message{Kind: kindNews, Txn: txn, Claim: w.claim, Word: what}, now+t.set.MaxClientWait, ask{})
}

// news takes what one that was asked before tells now.
func (t *Coordinator) news(now time.Duration, a messaging.Delivery, m message) {
	t.answer(a, word{Say: sayHeld})
	c := t.claims[m.Claim]
	if c == nil || c.order.Txn != m.Txn {
		if m.Word.Say == sayRun && t.mine[m.Txn] == nil {
			t.giveBack(now, m.Txn, a.From)
		}
		return
	}
	c.words[a.From] = m.Word
	t.weigh(now, m.Claim, c)
}

// giveBack returns an order to who gave it: nobody here waits for it any more.
func (t *Coordinator) giveBack(now time.Duration, txn, from string) {
	if from != "" {
		_, _ = t.send(now, from, message{Kind: kindTell, Txn: txn, Step: stepEnded, Outcome: Outcome{Kind: NeverRan}}, now+t.set.Retention, ask{step: stepEnded})
		return // one that can't be told holds it as given, which is safe
	}
	if r := t.records[txn]; r != nil && r.state == given && !r.blank {
		t.finish(now, r, Outcome{Kind: NeverRan})
	}
}

// heard takes the answer to a question, or that there is none.
func (t *Coordinator) heard(now time.Duration, a ask, d messaging.Completion, w word) {
	c := t.claims[a.claim]
	if c == nil || c.order.Txn != a.txn {
		if w.Say == sayRun && t.mine[a.txn] == nil { // else it was begun
			t.giveBack(now, a.txn, d.To)
		}
		return
	}
	delete(c.out, d.To)
	switch {
	case d.Err == nil:
		c.words[d.To] = w
	case errors.As(d.Err, new(messaging.ProcessReplacedError)): // it has been restarted since it was heard of last
		t.askOne(now, a.claim, c, d.To)
	}
	t.weigh(now, a.claim, c)
}

// weigh acts on the strongest word, once it is strong enough or all have been heard or waited for.
func (t *Coordinator) weigh(now time.Duration, id uint64, c *claim) {
	best, sure := word{}, 0
	for _, from := range slices.Sorted(maps.Keys(c.words)) {
		if w := c.words[from]; w.Say > best.Say {
			best = w
		}
		if w := c.words[from]; w.Say == sayUnknown && w.Sure {
			sure++
		}
	}
	switch {
	case best.Say == sayRun:
		t.begin(now, id, c)
		return
	case best.Say == sayOutcome:
		t.Totals.ClaimsAnswered++
		t.settle(id, Action{Outcome: best.Outcome})
		return
	case best.Say == sayUnknown && t.set.Strict && sure >= t.set.ClusterSize-1: // all but its lost owner: none held it, so it never went out
		t.Totals.ClaimsOfUnsent++
		t.begin(now, id, c)
		return
	}
	later := best.Say == sayWait || best.Say == sayElsewhere
	if !c.asked || later && now >= c.again {
		t.askAll(now, id, c)
	}
	if len(c.out) > 0 && now < c.began+t.set.ClaimTimeout || later {
		return // more is to be heard
	}
	why := "its router can't be reached, and no other knows what became of it"
	if best.Say == sayMay {
		why = "it was being sent when its router was lost"
	}
	t.may(id, why)
}

// askAll asks all others that have not said anything for good.
func (t *Coordinator) askAll(now time.Duration, id uint64, c *claim) {
	c.asked, c.again = true, now+t.set.ClaimTimeout
	for _, o := range t.live {
		if s := c.words[o.Name].Say; s == sayMay || s == sayUnknown || c.out[o.Name] {
			continue
		}
		t.askOne(now, id, c, o.Name)
	}
}

func (t *Coordinator) askOne(now time.Duration, id uint64, c *claim, to string) {
	m := message{Kind: kindClaim, Txn: c.order.Txn, Claim: id, Order: Order{Txn: c.order.Txn, Digest: c.order.Digest}}
	if _, err := t.send(now, to, m, min(c.until, now+4*t.set.ClaimTimeout), ask{claim: id, txn: c.order.Txn}); err == nil {
		c.out[to] = true
	}
}

// begin gives the claim to its client's router to run.
func (t *Coordinator) begin(now time.Duration, id uint64, c *claim) {
	delete(t.claims, id)
	if now >= c.until {
		t.giveBack(now, c.order.Txn, "")
		t.do(Action{Kind: ActionSettleClaim, ClaimID: id, Txn: c.order.Txn, Outcome: Outcome{Kind: MayHaveRun}, Err: MayHaveRunError{"there was no time left for it"}})
		return
	}
	t.log("begun", c.order.Txn, "")
	o := c.order
	o.Left = c.until - now
	t.do(Action{Kind: ActionBeginClaim, ClaimID: id, Txn: o.Txn, Order: o})
}

func (t *Coordinator) settle(id uint64, a Action) {
	a.Kind, a.ClaimID, a.Txn = ActionSettleClaim, id, t.claims[id].order.Txn
	delete(t.claims, id)
	t.log("settled "+a.Outcome.Kind.String(), a.Txn, "")
	t.do(a)
}

func (t *Coordinator) may(id uint64, why string) {
	t.Totals.ClaimsMayHaveRun++
	t.settle(id, Action{Outcome: Outcome{Kind: MayHaveRun}, Err: MayHaveRunError{why}})
}

// beatClaims asks again, and ends claims whose time is over.
func (t *Coordinator) beatClaims(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(t.claims)) {
		if c := t.claims[id]; now >= c.until {
			t.may(id, "nobody knew in its time")
		} else {
			t.weigh(now, id, c)
		}
	}
}
