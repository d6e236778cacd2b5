package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"hillknot/internal/rpc"
)

// The funds of the case, in credits. A page costs one.
const (
	funded  = 40
	account = "acme"
)

// loneLedger funds an account at one router of three, spends half of the funds, kills that router and starts it with another disk, which is
// empty. No more may be charged than was funded.
func loneLedger(s *stage) error {
	t, err := newSite(s, nil)
	if err != nil {
		return err
	}
	members, err := newMembers("", "", "")
	if err != nil {
		return err
	}
	topUps := filepath.Join(s.dir, "topups.hcl")
	lines := fmt.Sprintf("among = [\"r1\"]\n\ntopup \"first\" {\n  account = %q\n  amount  = %d\n}\n", account, funded)
	if err := os.WriteFile(topUps, []byte(lines), 0o600); err != nil {
		return err
	}
	for _, m := range members {
		m.extra = creditBlock(filepath.Join(s.dir, m.name+".ledger"), topUps)
	}
	routers, err := t.startMembers(members, nil, nil)
	if err != nil {
		return err
	}
	time.Sleep(4 * time.Second)                       // the routers find each other
	served := spend(s, members[1], 5, 10*time.Second) // r2 lives on transfers of r1
	served += spend(s, members[0], funded/2-5, 10*time.Second)
	if served != funded/2 {
		return fmt.Errorf("%d pages were served before the disruption", served)
	}
	s.note("r1 is killed, and starts again")
	routers[0].kill()
	if !s.calm() {
		s.note("the disk of r1 is lost; its new one is empty")
		members[0].extra = creditBlock(filepath.Join(s.dir, "new-disk.ledger"), topUps)
	}
	if _, err := t.startMember(members[0], "r1-new", members, nil); err != nil {
		return err
	}
	if err := awaitReady(members); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	for _, m := range members {
		served += spend(s, m, 2*funded, 6*time.Second)
	}
	s.note("funded %d, charged %d", funded, served)
	if served > funded {
		return fmt.Errorf("%w: %d credits were charged, and %d were funded", errBroken, served, funded)
	}
	return nil
}

// creditBlock returns the lines for a ledger and prepaid credit in the operator's file.
func creditBlock(ledger, topUps string) string {
	return fmt.Sprintf("  ledger = %q\n  credit {\n    topups   = %q\n    unnamed  = \"refuse\"\n    rest_s   = 1\n"+
		"    chunk_ms = 250\n    prices {\n      part-page {\n        each = 1\n      }\n    }\n  }\n", ledger, topUps)
}

// spend asks a router for pages, one after the other, until a number of them are served or a time is over. A refused client stays away for
// as long as it is told. spend returns how many pages were served.
func spend(s *stage, m *member, pages int, limit time.Duration) (served int) {
	for end := time.Now().Add(limit); served < pages && time.Now().Before(end); {
		nextTxn++
		a := askOnce(m.listen, rpc.Request{Method: "part-page", Txn: nextTxn, TimeoutMillis: 2000, Item: nextTxn, Batch: 3, Account: account})
		s.note("client of %s: page %016x for account %s: %s %s, later %v", m.name, nextTxn, account, a.kind, a.reason, a.later)
		if a.kind == "served" {
			served++
		}
		time.Sleep(max(100*time.Millisecond, a.later))
	}
	s.note("clients of %s: %d pages served", m.name, served)
	return served
}

// nextTxn is the txn of the latest page.
var nextTxn uint64 = 0x1000
