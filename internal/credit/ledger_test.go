package credit

import (
	"errors"
	"fmt"
	"maps"
	"testing"
	"time"
)

// fundedCluster returns a cluster whose account a is funded with amount, 2 s after the top-up.
func fundedCluster(size int, amount int64) *cluster {
	c := newCluster(1, size)
	c.fund(TopUp{ID: "first", Account: "a", Amount: amount, Routers: c.routerNames()}, c.routers...)
	c.advance(2 * time.Second)
	return c
}

// checkViolations reports each step after which more was charged than was funded, and each top-up list that was rejected.
func (c *cluster) checkViolations(t *testing.T) {
	t.Helper()
	for _, violation := range c.violations {
		t.Error(violation)
	}
}

// A whole balance can be spent at one router alone, and that router rejects few requests while other routers hold most of
// the balance.
func TestWholeBalanceSpendableAtOneRouter(t *testing.T) {
	c := fundedCluster(5, 30_000_000)
	r := c.routers[3]
	r.demand["a"] = 20
	c.advance(6 * time.Second)
	if rejected := r.rejected["a"]; rejected*50 > r.served["a"] {
		t.Errorf("%d rejected and %d served while other routers held most of the balance", rejected, r.served["a"])
	}
	c.advance(330 * time.Second)
	if unspent := c.funded["a"] - c.charged["a"]; unspent*50 > c.funded["a"] {
		t.Errorf("%d of %d could not be spent", unspent, c.funded["a"])
	}
	c.checkViolations(t)
}

// An account that is used up does not affect other accounts: only its own requests are rejected.
func TestExhaustedAccountDoesNotAffectAnother(t *testing.T) {
	c := fundedCluster(3, 40_000)
	c.fund(TopUp{ID: "b", Account: "b", Amount: 1_000_000_000, Routers: c.routerNames()}, c.routers...)
	c.advance(time.Second)
	for _, r := range c.routers {
		r.demand["a"], r.demand["b"] = 50, 50
	}
	c.advance(20 * time.Second)
	for _, r := range c.routers {
		if r.rejected["b"] > 2 || r.rejected["a"] == 0 {
			t.Errorf("%s rejected %d of the account with funds, %d of the one without", r.name, r.rejected["b"], r.rejected["a"])
		}
	}
	// Within a second of a top-up the account's requests are served again.
	c.fund(TopUp{ID: "more", Account: "a", Amount: 500_000_000, Routers: c.routerNames()}, c.routers...)
	c.advance(time.Second)
	for _, r := range c.routers {
		before := r.served["a"]
		if c.advance(time.Second); r.served["a"]-before < 40 {
			t.Errorf("%s served %d of 50 after the top-up", r.name, r.served["a"]-before)
		}
	}
	c.checkViolations(t)
}

// The spending of a low account is paced, so that the balance lasts longer. The class with the greater weight goes first,
// which this test does not check.
func TestLowAccountIsPaced(t *testing.T) {
	c := fundedCluster(3, 6_000_000) // orders at 9,000 each, pages at 1,000 and up to 10,000 more
	for i, r := range c.routers {
		r.demand["a"], r.class = 100, []string{"order", "page", "page"}[i]
	}
	c.advance(3 * time.Second)
	r := c.routers[0]
	if status := r.ledger.AccountStatuses(c.now + r.clockOffset)[0]; status.Level != LevelLow {
		t.Fatalf("account status %+v, want LevelLow", status)
	}
	spent := c.charged["a"]
	c.advance(10 * time.Second)
	if now := c.charged["a"]; now == spent || c.funded["a"] == now {
		t.Errorf("%d spent, then %d of %d: not paced", spent, now, c.funded["a"])
	}
	c.checkViolations(t)
}

// A negative top-up takes back the unspent balance. If it takes back more, the balance becomes negative, and later
// top-ups make up for that first.
func TestNegativeTopUpTakesBackUnspentFunds(t *testing.T) {
	c := fundedCluster(3, 3_000_000)
	c.fund(TopUp{ID: "back", Account: "a", Amount: -2_000_000, Routers: c.routerNames()}, c.routers...)
	c.advance(time.Second)
	if got := c.totalHeld("a"); got != 1_000_000 {
		t.Errorf("%d left after 2,000,000 of 3,000,000 were taken back", got)
	}
	c.fund(TopUp{ID: "more back", Account: "a", Amount: -4_000_000, Routers: c.routerNames()}, c.routers...)
	c.advance(time.Second)
	r := c.routers[0]
	if _, err := r.ledger.Reserve(c.now+r.clockOffset, "a", "page"); !errors.As(err, new(FundsExhaustedError)) {
		t.Errorf("error after more was taken back than was left: %v", err)
	}
	c.fund(TopUp{ID: "more", Account: "a", Amount: 3_000_000, Routers: c.routerNames()}, c.routers...)
	c.advance(time.Second)
	if _, err := r.ledger.Reserve(c.now+r.clockOffset, "a", "page"); !errors.As(err, new(FundsExhaustedError)) {
		t.Errorf("error after a top-up that only balances the negative amount: %v", err)
	}
}

// A list of top-ups that is invalid, contradicts itself or contradicts an applied top-up is rejected as a whole.
func TestContradictoryTopUpListRejected(t *testing.T) {
	c := fundedCluster(2, 1_000_000)
	ledger := c.routers[0].ledger
	good := TopUp{ID: "x", Account: "a", Amount: 1, Routers: c.routerNames()}
	for name, list := range map[string][]TopUp{
		"repeated ID":            {good, good},
		"changed routers":        {good, {ID: "first", Account: "a", Amount: 1_000_000, Routers: []string{"r0"}}},
		"changed amount":         {good, {ID: "first", Account: "a", Amount: 9, Routers: c.routerNames()}},
		"sum over MaxAmount":     {good, {ID: "y", Account: "a", Amount: MaxAmount, Routers: c.routerNames()}},
		"no routers":             {good, {ID: "y", Account: "a", Amount: 1}},
		"top-up without account": {good, {ID: "y", Amount: 1, Routers: c.routerNames()}},
	} {
		held := c.totalHeld("a")
		err := ledger.ApplyTopUps(list)
		if !errors.As(err, new(TopUpRejectedError)) || c.totalHeld("a") != held || ledger.topUps.applied["x"].Portion != 0 {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Requests for accounts that no top-up names are rejected and add no accounts to the ledger.
func TestUnknownAccountsAreNotKept(t *testing.T) {
	c := fundedCluster(2, 1_000_000)
	ledger := c.routers[0].ledger
	for i := range 100_000 {
		if _, err := ledger.Reserve(c.now, fmt.Sprint("junk", i), "page"); !errors.As(err, new(UnknownAccountError)) {
			t.Fatal(err)
		}
	}
	if len(ledger.accounts) != 1 {
		t.Errorf("the ledger has %d accounts, want 1", len(ledger.accounts))
	}
}

// A new ledger under a name that other routers know applies no top-ups, and spends only what is transferred to it. A
// ledger that is an earlier state of a known ledger spends nothing once another router has replied that it is stale.
func TestNewAndStaleLedgersDetected(t *testing.T) {
	c := fundedCluster(3, 9_000_000)
	c.fund(TopUp{ID: "z", Account: "z", Amount: 100_000_000, Routers: c.routerNames()[1:]}, c.routers...)
	c.advance(time.Second)
	earlier := []map[string][]byte{nil, maps.Clone(c.routers[1].disk), maps.Clone(c.routers[2].disk)}
	c.routers[0].demand["z"] = 50 // must be transferred from the other routers
	c.advance(4 * time.Second)
	clear(c.routers[0].demand)
	sender, other := c.routers[1], c.routers[2]
	if c.routers[0].ledger.received[sender.ledgerID] == 0 {
		sender, other = other, sender
	}
	c.kill(sender)
	sender.disk = earlier[sender.index]
	c.start(sender)
	c.advance(2 * time.Second)
	if _, err := sender.ledger.Reserve(c.now+sender.clockOffset, "z", "page"); !errors.As(err, new(StaleLedgerError)) {
		t.Errorf("error of an earlier state of a ledger: %v", err)
	}
	c.kill(other)
	c.replaceDisk(other)
	c.start(other)
	c.advance(2 * time.Second)
	portion := other.ledger.topUps.applied["first"].Portion
	if err := other.ledger.IdentityError(); !errors.As(err, new(NameTakenError)) || portion != 0 {
		t.Errorf("identity error of a new ledger under a known name: %v", err)
	}
	c.checkViolations(t)
}

// A top-up goes to one router, and all routers lose their disks, one after the other. Those that remember that router's ledger are asked by
// it again after their loss, so it is known to them as the last disk is lost, and the top-up does not count again.
func TestDisksLostOneAfterTheOther(t *testing.T) {
	c := newCluster(1, 3)
	lone := c.routers[0]
	c.fund(TopUp{ID: "first", Account: "a", Amount: 9_000_000, Routers: []string{lone.name}}, c.routers...)
	c.advance(3 * time.Second)
	if portion := lone.ledger.topUps.applied["first"].Portion; portion != 9_000_000 {
		t.Fatalf("%d counted before the loss", portion)
	}
	for _, r := range []*router{c.routers[1], c.routers[2], lone} {
		c.kill(r)
		c.replaceDisk(r)
		c.start(r)
		c.advance(4 * time.Second)
	}
	if err := lone.ledger.IdentityError(); !errors.As(err, new(NameTakenError)) || lone.ledger.topUps.applied["first"].Portion != 0 {
		t.Errorf("identity error of the new ledger: %v, top-up counted: %v", err, lone.ledger.topUps.applied["first"])
	}
}

// The first ledger of a router waits until the whole cluster knows it, although a top-up goes to that router alone.
func TestSingleFundedRouterWaitsForTheCluster(t *testing.T) {
	c := newCluster(1, 3)
	lone, last := c.routers[0], c.routers[2]
	c.kill(last)
	c.fund(TopUp{ID: "first", Account: "a", Amount: 9_000_000, Routers: []string{lone.name}}, c.routers...)
	c.advance(5 * time.Second)
	if _, counted := lone.ledger.topUps.applied["first"]; counted {
		t.Error("a top-up counts before all other routers know the ledger")
	}
	c.start(last)
	c.advance(5 * time.Second)
	if portion := lone.ledger.topUps.applied["first"].Portion; portion != 9_000_000 {
		t.Errorf("%d counted once all know the ledger", portion)
	}
}

// A ledger whose name is taken asks each router once. It asked all of them at each tick, for as long as it lived.
func TestRejectedLedgerAsksEachRouterOnce(t *testing.T) {
	c := newCluster(1, 3)
	c.fund(TopUp{ID: "first", Account: "a", Amount: 9_000_000, Routers: c.routerNames()}, c.routers...)
	c.advance(3 * time.Second)
	r := c.routers[2]
	c.kill(r)
	c.replaceDisk(r)
	c.start(r)
	c.advance(3 * time.Second)
	if err := r.ledger.IdentityError(); !errors.As(err, new(NameTakenError)) {
		t.Fatalf("identity error of a new ledger under a known name: %v", err)
	}
	for end := c.now + 2*time.Second; c.now < end; {
		c.step()
		for _, other := range c.routers[:2] {
			if r.ledger.awaitsIdentityReply(other.name) {
				t.Fatalf("%s is asked again", other.name)
			}
		}
	}
}
