package credit

import (
	"errors"
	"fmt"
	"maps"
	"testing"
	"time"
)

// rich is a fleet at rest whose account a has so much.
func rich(n int, amount int64) *fleet {
	f := newFleet(1, n)
	f.fund(TopUp{ID: "first", Account: "a", Amount: amount, Routers: f.names()}, f.routers...)
	f.pass(2 * time.Second)
	return f
}

func (f *fleet) check(t *testing.T) {
	t.Helper()
	for _, s := range f.wrong {
		t.Error(s)
	}
}

// All of a balance can be spent at one router alone, and nobody is refused there while much lies elsewhere.
func TestHotAccount(t *testing.T) {
	f := rich(5, 30_000_000)
	r := f.routers[3]
	r.demand["a"] = 20
	f.pass(6 * time.Second)
	if n := r.refused["a"]; n*50 > r.served["a"] {
		t.Errorf("%d refused beside %d served, while most of it was elsewhere", n, r.served["a"])
	}
	f.pass(330 * time.Second)
	if left := f.funded["a"] - f.charged["a"]; left*50 > f.funded["a"] {
		t.Errorf("%d of %d could not be spent", left, f.funded["a"])
	}
	f.check(t)
}

// One account's end is no other's: it is refused, that is not.
func TestBeside(t *testing.T) {
	f := rich(3, 40_000)
	f.fund(TopUp{ID: "b", Account: "b", Amount: 1_000_000_000, Routers: f.names()}, f.routers...)
	f.pass(time.Second)
	for _, r := range f.routers {
		r.demand["a"], r.demand["b"] = 50, 50
	}
	f.pass(20 * time.Second)
	for _, r := range f.routers {
		if r.refused["b"] > 2 || r.refused["a"] == 0 {
			t.Errorf("%s refused %d of the account with funds, %d of the one without", r.name, r.refused["b"], r.refused["a"])
		}
	}
	// A top-up frees it within a second.
	f.fund(TopUp{ID: "more", Account: "a", Amount: 500_000_000, Routers: f.names()}, f.routers...)
	f.pass(time.Second)
	for _, r := range f.routers {
		before := r.served["a"]
		if f.pass(time.Second); r.served["a"]-before < 40 {
			t.Errorf("%s served %d of 50 after the top-up", r.name, r.served["a"]-before)
		}
	}
	f.check(t)
}

// What is low is paced to last, and the class of greater worth goes first.
func TestLow(t *testing.T) {
	f := rich(3, 6_000_000) // orders at 9,000 each, pages at 1,000 and up to 10,000 more
	for i, r := range f.routers {
		r.demand["a"], r.class = 100, []string{"order", "page", "page"}[i]
	}
	f.pass(3 * time.Second)
	if s := f.routers[0].book.AccountStatuses(f.now + f.routers[0].offset)[0]; s.Level != LevelLow {
		t.Fatalf("the account stands as %+v", s)
	}
	spent := f.charged["a"]
	f.pass(10 * time.Second)
	if now := f.charged["a"]; now == spent || f.funded["a"] == now {
		t.Errorf("%d spent, then %d of %d: not paced", spent, now, f.funded["a"])
	}
	f.check(t)
}

// What is taken back is what is not spent; the rest is owed, and filled by the next top-up first.
func TestTakenBack(t *testing.T) {
	f := rich(3, 3_000_000)
	f.fund(TopUp{ID: "back", Account: "a", Amount: -2_000_000, Routers: f.names()}, f.routers...)
	f.pass(time.Second)
	if got := f.holds("a"); got != 1_000_000 {
		t.Errorf("%d are left of three millions of which two were taken back", got)
	}
	f.fund(TopUp{ID: "more back", Account: "a", Amount: -4_000_000, Routers: f.names()}, f.routers...)
	f.pass(time.Second)
	r := f.routers[0]
	if _, err := r.book.Reserve(f.now+r.offset, "a", "page"); !errors.As(err, new(FundsExhaustedError)) {
		t.Errorf("after more was taken back than there was: %v", err)
	}
	f.fund(TopUp{ID: "more", Account: "a", Amount: 3_000_000, Routers: f.names()}, f.routers...)
	f.pass(time.Second)
	if _, err := r.book.Reserve(f.now+r.offset, "a", "page"); !errors.As(err, new(FundsExhaustedError)) {
		t.Errorf("a top-up that only fills what is owed: %v", err)
	}
}

// A list that contradicts itself, or what was counted before, is refused as a whole.
func TestListRefused(t *testing.T) {
	f := rich(2, 1_000_000)
	b := f.routers[0].book
	good := TopUp{ID: "x", Account: "a", Amount: 1, Routers: f.names()}
	for what, list := range map[string][]TopUp{
		"twice":         {good, good},
		"another split": {good, {ID: "first", Account: "a", Amount: 1_000_000, Routers: []string{"r0"}}},
		"another sum":   {good, {ID: "first", Account: "a", Amount: 9, Routers: f.names()}},
		"too much":      {good, {ID: "y", Account: "a", Amount: MaxAmount, Routers: f.names()}},
		"nobody":        {good, {ID: "y", Account: "a", Amount: 1}},
		"no account":    {good, {ID: "y", Amount: 1, Routers: f.names()}},
	} {
		held := f.holds("a")
		if err := b.ApplyTopUps(f.now, list); !errors.As(err, new(TopUpRejectedError)) || f.holds("a") != held || b.topups["x"].Part != 0 {
			t.Errorf("%s: %v", what, err)
		}
	}
}

// Names that no top-up has take no room.
func TestJunkAccounts(t *testing.T) {
	f := rich(2, 1_000_000)
	b := f.routers[0].book
	for i := range 100_000 {
		if _, err := b.Reserve(f.now, fmt.Sprint("junk", i), "page"); !errors.As(err, new(UnknownAccountError)) {
			t.Fatal(err)
		}
	}
	if len(b.accounts) != 1 {
		t.Errorf("%d accounts are held", len(b.accounts))
	}
}

// A new ledger under a name that others know is refused, and lives on what it is given; one that is an older state of a
// known ledger spends nothing once it has heard of that.
func TestOtherLedgers(t *testing.T) {
	f := rich(3, 9_000_000)
	f.fund(TopUp{ID: "z", Account: "z", Amount: 100_000_000, Routers: f.names()[1:]}, f.routers...)
	f.pass(time.Second)
	old := []map[string][]byte{nil, maps.Clone(f.routers[1].disk), maps.Clone(f.routers[2].disk)}
	f.routers[0].demand["z"] = 50 // it needs what the others have
	f.pass(4 * time.Second)
	clear(f.routers[0].demand)
	r, other := f.routers[1], f.routers[2]
	if f.routers[0].book.got[r.ledger] == 0 {
		r, other = other, r
	}
	f.kill(r)
	r.disk = old[r.i]
	f.start(r)
	f.pass(2 * time.Second)
	if _, err := r.book.Reserve(f.now+r.offset, "z", "page"); !errors.As(err, new(StaleLedgerError)) {
		t.Errorf("a ledger of before: %v", err)
	}
	f.kill(other)
	f.newDisk(other)
	f.start(other)
	f.pass(2 * time.Second)
	if err := other.book.IdentityError(); !errors.As(err, new(NameTakenError)) || other.book.topups["first"].Part != 0 {
		t.Errorf("a new ledger of a known name: %v", err)
	}
	f.check(t)
}
