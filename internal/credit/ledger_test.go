package credit

import (
	"errors"
	"fmt"
	"maps"
	"testing"
	"time"
)

// fundedCluster returns a cluster at rest whose account a has an amount.
func fundedCluster(size int, amount int64) *cluster {
	c := newCluster(1, size)
	c.fund(TopUp{ID: "first", Account: "a", Amount: amount, Routers: c.names()}, c.routers...)
	c.pass(2 * time.Second)
	return c
}

// checkViolations reports all moments when more was charged than was funded.
func (c *cluster) checkViolations(t *testing.T) {
	t.Helper()
	for _, violation := range c.violations {
		t.Error(violation)
	}
}

// All of a balance can be spent at one router alone, and few requests are rejected there while much lies elsewhere.
func TestHotAccount(t *testing.T) {
	c := fundedCluster(5, 30_000_000)
	r := c.routers[3]
	r.demand["a"] = 20
	c.pass(6 * time.Second)
	if rejected := r.rejected["a"]; rejected*50 > r.served["a"] {
		t.Errorf("%d rejected beside %d served, while most of it was elsewhere", rejected, r.served["a"])
	}
	c.pass(330 * time.Second)
	if unspent := c.funded["a"] - c.charged["a"]; unspent*50 > c.funded["a"] {
		t.Errorf("%d of %d could not be spent", unspent, c.funded["a"])
	}
	c.checkViolations(t)
}

// An account that is used up doesn't affect others: its requests are rejected, theirs aren't.
func TestExhaustedAccountBesideAnother(t *testing.T) {
	c := fundedCluster(3, 40_000)
	c.fund(TopUp{ID: "b", Account: "b", Amount: 1_000_000_000, Routers: c.names()}, c.routers...)
	c.pass(time.Second)
	for _, r := range c.routers {
		r.demand["a"], r.demand["b"] = 50, 50
	}
	c.pass(20 * time.Second)
	for _, r := range c.routers {
		if r.rejected["b"] > 2 || r.rejected["a"] == 0 {
			t.Errorf("%s rejected %d of the account with funds, %d of the one without", r.name, r.rejected["b"], r.rejected["a"])
		}
	}
	// After a top-up its requests are served within a second.
	c.fund(TopUp{ID: "more", Account: "a", Amount: 500_000_000, Routers: c.names()}, c.routers...)
	c.pass(time.Second)
	for _, r := range c.routers {
		before := r.served["a"]
		if c.pass(time.Second); r.served["a"]-before < 40 {
			t.Errorf("%s served %d of 50 after the top-up", r.name, r.served["a"]-before)
		}
	}
	c.checkViolations(t)
}

// What is low is paced to last, and the class of greater weight goes first.
func TestLowAccountIsPaced(t *testing.T) {
	c := fundedCluster(3, 6_000_000) // orders at 9,000 each, pages at 1,000 and up to 10,000 more
	for i, r := range c.routers {
		r.demand["a"], r.class = 100, []string{"order", "page", "page"}[i]
	}
	c.pass(3 * time.Second)
	r := c.routers[0]
	if status := r.ledger.AccountStatuses(c.now + r.clockOffset)[0]; status.Level != LevelLow {
		t.Fatalf("the account stands as %+v", status)
	}
	spent := c.charged["a"]
	c.pass(10 * time.Second)
	if now := c.charged["a"]; now == spent || c.funded["a"] == now {
		t.Errorf("%d spent, then %d of %d: not paced", spent, now, c.funded["a"])
	}
	c.checkViolations(t)
}

// A negative top-up takes back what is not spent; the rest is owed, and later top-ups pay that first.
func TestNegativeTopUp(t *testing.T) {
	c := fundedCluster(3, 3_000_000)
	c.fund(TopUp{ID: "back", Account: "a", Amount: -2_000_000, Routers: c.names()}, c.routers...)
	c.pass(time.Second)
	if got := c.holds("a"); got != 1_000_000 {
		t.Errorf("%d are left of three millions of which two were taken back", got)
	}
	c.fund(TopUp{ID: "more back", Account: "a", Amount: -4_000_000, Routers: c.names()}, c.routers...)
	c.pass(time.Second)
	r := c.routers[0]
	if _, err := r.ledger.Reserve(c.now+r.clockOffset, "a", "page"); !errors.As(err, new(FundsExhaustedError)) {
		t.Errorf("after more was taken back than there was: %v", err)
	}
	c.fund(TopUp{ID: "more", Account: "a", Amount: 3_000_000, Routers: c.names()}, c.routers...)
	c.pass(time.Second)
	if _, err := r.ledger.Reserve(c.now+r.clockOffset, "a", "page"); !errors.As(err, new(FundsExhaustedError)) {
		t.Errorf("a top-up that only fills what is owed: %v", err)
	}
}

// A list that contradicts itself, or what was applied before, is rejected as a whole.
func TestTopUpListRejected(t *testing.T) {
	c := fundedCluster(2, 1_000_000)
	ledger := c.routers[0].ledger
	good := TopUp{ID: "x", Account: "a", Amount: 1, Routers: c.names()}
	for name, list := range map[string][]TopUp{
		"twice":         {good, good},
		"another split": {good, {ID: "first", Account: "a", Amount: 1_000_000, Routers: []string{"r0"}}},
		"another sum":   {good, {ID: "first", Account: "a", Amount: 9, Routers: c.names()}},
		"too much":      {good, {ID: "y", Account: "a", Amount: MaxAmount, Routers: c.names()}},
		"nobody":        {good, {ID: "y", Account: "a", Amount: 1}},
		"no account":    {good, {ID: "y", Amount: 1, Routers: c.names()}},
	} {
		held := c.holds("a")
		err := ledger.ApplyTopUps(list)
		if !errors.As(err, new(TopUpRejectedError)) || c.holds("a") != held || ledger.topUps.applied["x"].Portion != 0 {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Requests of accounts that no top-up names add nothing to the ledger.
func TestUnknownAccountsAreNotKept(t *testing.T) {
	c := fundedCluster(2, 1_000_000)
	ledger := c.routers[0].ledger
	for i := range 100_000 {
		if _, err := ledger.Reserve(c.now, fmt.Sprint("junk", i), "page"); !errors.As(err, new(UnknownAccountError)) {
			t.Fatal(err)
		}
	}
	if len(ledger.accounts) != 1 {
		t.Errorf("%d accounts are held", len(ledger.accounts))
	}
}

// A new ledger under a name that others know is rejected, and lives on what is transferred to it; one that is an older
// state of a known ledger spends nothing once it has heard of that.
func TestConflictingLedgers(t *testing.T) {
	c := fundedCluster(3, 9_000_000)
	c.fund(TopUp{ID: "z", Account: "z", Amount: 100_000_000, Routers: c.names()[1:]}, c.routers...)
	c.pass(time.Second)
	earlier := []map[string][]byte{nil, maps.Clone(c.routers[1].disk), maps.Clone(c.routers[2].disk)}
	c.routers[0].demand["z"] = 50 // it needs what the others have
	c.pass(4 * time.Second)
	clear(c.routers[0].demand)
	giver, other := c.routers[1], c.routers[2]
	if c.routers[0].ledger.received[giver.ledgerID] == 0 {
		giver, other = other, giver
	}
	c.kill(giver)
	giver.disk = earlier[giver.index]
	c.start(giver)
	c.pass(2 * time.Second)
	if _, err := giver.ledger.Reserve(c.now+giver.clockOffset, "z", "page"); !errors.As(err, new(StaleLedgerError)) {
		t.Errorf("a ledger of before: %v", err)
	}
	c.kill(other)
	c.replaceDisk(other)
	c.start(other)
	c.pass(2 * time.Second)
	portion := other.ledger.topUps.applied["first"].Portion
	if err := other.ledger.IdentityError(); !errors.As(err, new(NameTakenError)) || portion != 0 {
		t.Errorf("a new ledger of a known name: %v", err)
	}
	c.checkViolations(t)
}
