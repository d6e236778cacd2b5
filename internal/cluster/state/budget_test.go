package state

import (
	"fmt"
	"testing"
	"time"
)

// Whatever is lost, late, repeated, cut, killed, paused and restarted, no share has two holders and in no window is
// more spent than the budget.
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

// budgetViolation describes what is wrong now: shares with two holders, or more spent in some window than the budget
// allows.
func (c *simulatedCluster) budgetViolation() string {
	held := 0
	for _, r := range c.routers {
		if c.now >= r.pausedUntil { // a paused one spends nothing, and its clock goes on
			held += r.state.spendableShares(r.state.budgets[testBudget], r.clock(c.now))
		}
	}
	if total := sharesPerRouter * len(c.routers); held > total {
		return fmt.Sprintf("at %v %d shares of %d are held", c.now, held, total)
	}
	for _, window := range []time.Duration{100 * ms, time.Second, 4 * time.Second} {
		spent := c.spentWithin(window)
		bound := c.limits.Burst + c.limits.Rate*window.Seconds()*(1+clockDrift)
		if float64(spent) > bound+1 {
			return fmt.Sprintf("at %v %d were spent in %v, over %.1f", c.now, spent, window, bound)
		}
	}
	return ""
}

// spentWithin counts what was spent in the latest window of time.
func (c *simulatedCluster) spentWithin(window time.Duration) int {
	n := 0
	for i := len(c.spends) - 1; i >= 0 && c.spends[i] > c.now-window; i-- {
		n++
	}
	return n
}

// spendRate is what is spent a second, over the latest window of time.
func (c *simulatedCluster) spendRate(window time.Duration) float64 {
	return float64(c.spentWithin(window)) / window.Seconds()
}

// What the others don't need is lent to the router that does; alone, a router has the shares that it owns and no more.
func TestUnneededSharesAreLentToBusyRouter(t *testing.T) {
	c := newSimulatedCluster(t, 1, 5)
	owned := c.limits.Rate / 5
	c.routers[0].demand = 1000
	c.run(10 * time.Second)
	if rate := c.spendRate(4 * time.Second); rate < 2.5*owned {
		t.Errorf("one that needs all spends %.0f a second, and owns %.0f of %.0f", rate, owned, c.limits.Rate)
	}
	c.isolate(0)
	c.run(6 * time.Second)
	if rate := c.spendRate(3 * time.Second); rate > owned*(1+clockDrift)+1 || rate < owned*0.95 {
		t.Errorf("one that is cut off spends %.1f a second, and owns %.1f", rate, owned)
	}
	for _, r := range c.routers {
		r.demand = 1000
	}
	c.run(6 * time.Second)
	if rate := c.spendRate(3 * time.Second); rate < 0.95*c.limits.Rate {
		t.Errorf("where all need all, %.0f of %.0f a second are spent", rate, c.limits.Rate)
	}
}

// A router over the configured number owns no shares, and spends what it borrows. A process that is replaced spends
// nothing.
func TestGuestSpendsOnlyLeasesAndReplacedProcessNothing(t *testing.T) {
	settings := Defaults("guest", 1, 3)
	settings.Guest = true
	guest := newState(t, settings)
	guest.OpenBudget(0, testBudget, BudgetLimits{Rate: 30, Burst: 30}, 0)
	guest.SetPeers([]string{"a"}, 3)
	guest.Tick(time.Second)
	if guest.CanSpend(2*time.Second, testBudget) {
		t.Error("a guest spends without a lease")
	}
	guest.Tick(2 * time.Second)
	out := guest.OutgoingMessages()
	if len(out) == 0 || out[0].Message.Kind != KindLeaseRequest {
		t.Fatalf("a guest that was denied sends %+v", out)
	}
	guest.ReceiveMessage(2*time.Second, Message{Kind: KindLeaseGrant, From: "a", Process: 9, Key: testBudget,
		Sequence: out[0].Message.Sequence, Value: 1, Shares: 32})
	if !guest.CanSpend(3*time.Second, testBudget) {
		t.Error("a guest can't spend what it was lent")
	}
	if guest.SetReplaced(true); guest.CanSpend(3*time.Second, testBudget) {
		t.Error("a process that is replaced spends")
	}
	if guest.SetReplaced(false); guest.CanSpend(5*time.Second, testBudget) {
		t.Error("a lease outlasts its time")
	}
}

// Where more routers are seen, or any was configured for more, than this one was, its shares shrink, and stay so.
func TestSharesShrinkIfMoreRoutersThanConfigured(t *testing.T) {
	s := newState(t, Defaults("a", 1, 2))
	s.Tick(time.Second)
	s.OpenBudget(time.Second, testBudget, BudgetLimits{Rate: 100, Burst: 4}, 0)
	if n := spendAllFor10s(s, 10*time.Second); n < 495 || n > 502 {
		t.Errorf("half of 100 a second: %d in 10 s", n)
	}
	s.SetPeers(nil, 4)
	s.SetPeers(nil, 1)
	if n := spendAllFor10s(s, 30*time.Second); n < 245 || n > 252 {
		t.Errorf("a quarter of 100 a second, as one of four: %d in 10 s", n)
	}
}

// spendAllFor10s spends whatever it can for 10 s, and returns how much that was.
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

// A budget starts with no tokens; shares that were lent earn for the borrower alone up to the lease's end, whoever is
// paused then.
func TestLentSharesEarnOnlyForBorrower(t *testing.T) {
	s := newState(t, Defaults("a", 1, 2))
	s.Tick(time.Second)
	s.OpenBudget(time.Second, testBudget, BudgetLimits{Rate: 2, Burst: 1000}, 0)
	if s.CanSpend(time.Second, testBudget) {
		t.Error("a budget that was just opened can be spent")
	}
	s.Tick(4 * time.Second)
	b := s.budgets[testBudget]
	s.refill(b, 4*time.Second)
	s.ReceiveMessage(4*time.Second, Message{Kind: KindLeaseRequest, From: "z", Process: 1, Key: testBudget,
		Sequence: 1, Shares: 32})
	before := b.bucket.tokens
	s.CanSpend(24*time.Second, testBudget) // the lease ended soon after 6 s; the process was paused until now
	if got, want := b.bucket.tokens-before, 20*0.5; got > want {
		t.Errorf("half of the shares, while the other half was lent, earned %.1f in 20 s, over %.1f", got, want)
	}
}

// Budgets over the bound are not opened, so not shared: then CanSpend allows everything. A budget ends at its time.
func TestBudgetsAreLimitedAndExpire(t *testing.T) {
	s := newState(t, Defaults("a", 1, 2))
	limits := BudgetLimits{Rate: 1, Burst: 4}
	for i := range maxBudgets {
		if !s.OpenBudget(0, fmt.Sprint("budget ", i), limits, time.Second) {
			t.Fatalf("budget %d is not opened", i)
		}
	}
	if s.OpenBudget(0, "one more", limits, 0) {
		t.Error("more budgets are opened than the bound")
	}
	if !s.CanSpend(0, "one more") || s.CanSpend(0, "budget 0") {
		t.Error("a budget that is not open must allow everything, one that was just opened nothing")
	}
	s.OpenBudget(0, "budget 0", limits, 0) // for good now
	s.Tick(time.Second)
	if left := s.BudgetStatuses(time.Second); len(left) != 1 || left[0].Key != "budget 0" {
		t.Errorf("after their end, these are open: %+v", left)
	}
}

// Each router of a cluster keeps within its part of a budget that it opens beyond those that can be shared, as when very many
// endpoints warm up at once. Such a budget had no bound.
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
				t.Fatalf("shares of %s are asked for", out.Message.Key)
			}
		}
	}
	part := 1.0 / routers
	for i, n := range spent {
		if most := part * (limits.Rate*window.Seconds() + limits.Burst); float64(n) > most+1 {
			t.Errorf("%d spent of budget %d in %v, at most %.0f are this router's", n, i, window, most)
		}
		if least := part * limits.Rate * window.Seconds() / 2; float64(n) < least {
			t.Errorf("%d spent of budget %d in %v, want at least %.0f", n, i, window, least)
		}
	}
	if len(spent) != extra {
		t.Errorf("%d of %d budgets were spent of", len(spent), extra)
	}
}
