package state

import (
	"fmt"
	"testing"
	"time"
)

// No share has two holders, and in no window more is spent than the budget allows, while messages are lost, delayed and
// repeated, links are cut, and routers are killed, paused and restarted.
func TestBudgetsStayBoundedUnderFaults(t *testing.T) {
	for seed := range uint64(*seeds) {
		c := newSimulatedCluster(t, seed, 3+int(seed%5))
		for c.now < 20*time.Second {
			if c.step(); c.rnd.IntN(100) == 0 {
				c.injectFault()
			}
			if violation := c.budgetViolation(); violation != "" {
				t.Fatalf("seed %d: %s", seed, violation)
			}
		}
	}
}

// budgetViolation describes a violation that exists now: shares with two holders, or more spent in some window than the
// budget allows. It returns "" if there is none.
func (c *simulatedCluster) budgetViolation() string {
	held := 0
	for _, r := range c.routers {
		if c.now >= r.pausedUntil { // a paused router spends nothing, and its clock goes on
			held += r.state.spendableShares(r.state.budgets[testBudget], r.clock(c.now))
		}
	}
	if total := sharesPerRouter * len(c.routers); held > total {
		return fmt.Sprintf("at %v: %d shares are held, of %d in all", c.now, held, total)
	}
	for _, window := range []time.Duration{100 * ms, time.Second, 4 * time.Second} {
		spent := c.spentWithin(window)
		bound := c.limits.Burst + c.limits.Rate*window.Seconds()*(1+clockDrift)
		if float64(spent) > bound+1 {
			return fmt.Sprintf("at %v: %d tokens were spent in %v, more than %.1f", c.now, spent, window, bound)
		}
	}
	return ""
}

// spentWithin returns how many tokens were spent in the latest window of time.
func (c *simulatedCluster) spentWithin(window time.Duration) int {
	n := 0
	for i := len(c.spendTimes) - 1; i >= 0 && c.spendTimes[i] > c.now-window; i-- {
		n++
	}
	return n
}

// spendRate returns the mean number of tokens spent per second in the latest window of time.
func (c *simulatedCluster) spendRate(window time.Duration) float64 {
	return float64(c.spentWithin(window)) / window.Seconds()
}

// Shares that the other routers don't need are lent to the router that does. A router that is cut off spends at the rate of
// the shares that it owns. If all routers need shares, nearly the whole budget is spent.
func TestUnneededSharesAreLentToBusyRouter(t *testing.T) {
	c := newSimulatedCluster(t, 1, 5)
	owned := c.limits.Rate / 5
	c.routers[0].demand = 1000
	c.run(10 * time.Second)
	if rate := c.spendRate(4 * time.Second); rate < 2.5*owned {
		t.Errorf("the router with all demand spends %.0f per second, and owns %.0f of %.0f", rate, owned, c.limits.Rate)
	}
	c.isolate(0)
	c.run(6 * time.Second)
	if rate := c.spendRate(3 * time.Second); rate > owned*(1+clockDrift)+1 || rate < owned*0.95 {
		t.Errorf("the router that is cut off spends %.1f per second, and owns %.1f", rate, owned)
	}
	for _, r := range c.routers {
		r.demand = 1000
	}
	c.run(6 * time.Second)
	if rate := c.spendRate(3 * time.Second); rate < 0.95*c.limits.Rate {
		t.Errorf("with high demand at all routers, %.0f of %.0f per second are spent", rate, c.limits.Rate)
	}
}

// A guest, which is a router beyond the configured number, owns no shares, and spends only on those that it borrows. A
// process that is replaced spends nothing.
func TestGuestSpendsOnlyLeasesAndReplacedProcessNothing(t *testing.T) {
	settings := Defaults("guest", 1, 3)
	settings.Guest = true
	guest := newState(t, settings)
	guest.OpenBudget(0, testBudget, BudgetLimits{Rate: 30, Burst: 30}, 0)
	guest.SetPeers([]string{"a"}, 3)
	guest.Tick(time.Second)
	if guest.CanSpend(2*time.Second, testBudget) {
		t.Error("a guest can spend without a lease")
	}
	guest.Tick(2 * time.Second)
	out := guest.OutgoingMessages()
	if len(out) == 0 || out[0].Message.Kind != KindLeaseRequest {
		t.Fatalf("a guest that could not spend sends %+v, want a lease request", out)
	}
	guest.ReceiveMessage(2*time.Second, Message{Kind: KindLeaseGrant, From: "a", Process: 9, Key: testBudget,
		Sequence: out[0].Message.Sequence, Value: 1, Shares: 32})
	if !guest.CanSpend(3*time.Second, testBudget) {
		t.Error("a guest can't spend on the shares that it was lent")
	}
	if guest.SetReplaced(3*time.Second, true); guest.CanSpend(3*time.Second, testBudget) {
		t.Error("a process that is replaced can spend")
	}
	if guest.SetReplaced(3*time.Second, false); guest.CanSpend(5*time.Second, testBudget) {
		t.Error("a lease is valid after its end")
	}
}

// A process that has waited for another one of its router spends no more than after a start, until the leases are over that the other one
// may have granted.
func TestProcessRecoversAfterAnotherOneOfItsRouter(t *testing.T) {
	s := newState(t, Defaults("a", 1, 2))
	s.OpenBudget(0, testBudget, BudgetLimits{Rate: 30, Burst: 30}, 0)
	s.SetReplaced(0, true)
	s.Tick(time.Second)
	const heardAt = 5 * time.Second
	if phase := s.phase(heardAt); phase != phaseReplaced {
		t.Errorf("phase %d beside the other process, want %d", phase, phaseReplaced)
	}
	s.SetReplaced(heardAt, false)
	for after, want := range map[time.Duration]phase{0: phaseRecovering, 2 * s.settings.LeaseDuration: phaseActive} {
		if got := s.phase(heardAt + after); got != want {
			t.Errorf("phase %d %v after the other process, want %d", got, after, want)
		}
	}
}

// The part of the budget that a router owns shrinks if there are more routers with shares of their own than it is
// configured for, and stays so.
func TestSharesShrinkIfMoreRoutersThanConfigured(t *testing.T) {
	s := newState(t, Defaults("a", 1, 2))
	s.Tick(time.Second)
	s.OpenBudget(time.Second, testBudget, BudgetLimits{Rate: 100, Burst: 4}, 0)
	if n := spendAllFor10s(s, 10*time.Second); n < 495 || n > 502 {
		t.Errorf("half of 100 per second: %d in 10 s", n)
	}
	s.SetPeers(nil, 4)
	s.SetPeers(nil, 1)
	if n := spendAllFor10s(s, 30*time.Second); n < 245 || n > 252 {
		t.Errorf("a quarter of 100 per second, as one of four routers: %d in 10 s", n)
	}
}

// spendAllFor10s spends a token whenever a step allows one, for 10 s, and returns how many it spent.
func spendAllFor10s(s *State, from time.Duration) int {
	n := 0
	for now := from; now < from+10*time.Second; now += stepTime {
		if s.CanSpend(now, testBudget) {
			s.Spend(now, testBudget)
			n++
		}
	}
	return n
}

// A budget starts with no tokens. Shares that were lent earn only for the borrower until the lease ends, also if the
// lender is paused at that time.
func TestLentSharesEarnOnlyForBorrower(t *testing.T) {
	s := newState(t, Defaults("a", 1, 2))
	s.Tick(time.Second)
	s.OpenBudget(time.Second, testBudget, BudgetLimits{Rate: 2, Burst: 1000}, 0)
	if s.CanSpend(time.Second, testBudget) {
		t.Error("a budget that was just opened has tokens")
	}
	s.Tick(4 * time.Second)
	b := s.budgets[testBudget]
	s.refill(b, 4*time.Second)
	s.ReceiveMessage(4*time.Second, Message{Kind: KindLeaseRequest, From: "z", Process: 1, Key: testBudget,
		Sequence: 1, Shares: 32})
	before := b.bucket.tokens
	s.CanSpend(24*time.Second, testBudget) // the lease ended soon after 6 s, while the process was paused until 24 s
	if got, want := b.bucket.tokens-before, 20*0.5; got > want {
		t.Errorf("with half of the shares lent, the other half earned %.1f tokens in 20 s, more than %.1f", got, want)
	}
}

// Budgets beyond maxBudgets are not opened, and CanSpend allows everything for them. A budget is closed at its end.
func TestBudgetsAreLimitedAndExpire(t *testing.T) {
	s := newState(t, Defaults("a", 1, 2))
	limits := BudgetLimits{Rate: 1, Burst: 4}
	for i := range maxBudgets {
		if !s.OpenBudget(0, fmt.Sprint("budget ", i), limits, time.Second) {
			t.Fatalf("budget %d was not opened", i)
		}
	}
	if s.OpenBudget(0, "one more", limits, 0) {
		t.Error("more than maxBudgets budgets were opened")
	}
	if !s.CanSpend(0, "one more") || s.CanSpend(0, "budget 0") {
		t.Error("a budget that is not open must allow everything, and one that was just opened nothing")
	}
	s.OpenBudget(0, "budget 0", limits, 0) // without end now
	s.Tick(time.Second)
	if open := s.BudgetStatuses(time.Second); len(open) != 1 || open[0].Key != "budget 0" {
		t.Errorf("after the end of the others, these budgets are open: %+v", open)
	}
}

// A router spends no more than its own part of a budget that it opens beyond maxSharedBudgets, for example while very many
// endpoints warm up at once. Such budgets once had no bound.
func TestUnsharedBudgetsStayBounded(t *testing.T) {
	const routers, extra, window = 4, 3, 10 * time.Second
	s, err := New(Defaults("r1", 1, routers))
	if err != nil {
		t.Fatal(err)
	}
	limits := BudgetLimits{Rate: 40, Burst: 20}
	key := func(i int) string { return fmt.Sprintf("cold s-%d", i) }
	s.SetPeers([]string{"r2", "r3", "r4"}, routers)
	for i := range maxSharedBudgets + extra {
		if !s.OpenBudget(0, key(i), limits, 0) {
			t.Fatalf("budget %d is not open", i)
		}
	}
	numbers, spent := map[string]int{}, map[int]int{}
	for i := maxSharedBudgets; i < maxSharedBudgets+extra; i++ {
		numbers[key(i)] = i
	}
	for now := time.Duration(0); now <= window; now += 10 * ms {
		if now%s.settings.TickInterval == 0 {
			s.Tick(now)
		}
		for budget, i := range numbers {
			for s.CanSpend(now, budget) && spent[i] < 10_000 {
				s.Spend(now, budget)
				spent[i]++
			}
		}
		for _, out := range s.OutgoingMessages() {
			if _, beyond := numbers[out.Message.Key]; beyond && out.Message.Kind == KindLeaseRequest {
				t.Fatalf("shares of the unshared budget %s are requested", out.Message.Key)
			}
		}
	}
	part := 1.0 / routers
	for i, n := range spent {
		if most := part * (limits.Rate*window.Seconds() + limits.Burst); float64(n) > most+1 {
			t.Errorf("%d spent of budget %d in %v, want at most %.0f", n, i, window, most)
		}
		if least := part * limits.Rate * window.Seconds() / 2; float64(n) < least {
			t.Errorf("%d spent of budget %d in %v, want at least %.0f", n, i, window, least)
		}
	}
	if len(spent) != extra {
		t.Errorf("tokens of %d budgets were spent, want %d", len(spent), extra)
	}
}
