package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"hillknot/internal/rpc"
)

// refusedClaim kills the router of an order that has run, and has the client claim the order at a router that is being drained. A
// client that is told "Throttled" may send the order again, so the claim must not be answered so.
func refusedClaim(s *stage) error {
	t, err := newSite(s, map[string]time.Duration{"full-score": 4500 * time.Millisecond, "new-arrange": 1900 * time.Millisecond})
	if err != nil {
		return err
	}
	members, err := newMembers("", "", "")
	if err != nil {
		return err
	}
	var routers []*process
	for _, m := range members {
		p, err := t.startMember(m, m.name, members, nil)
		if err != nil {
			return err
		}
		routers = append(routers, p)
	}
	if err := awaitReady(members); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)

	reader, err := dial(members[1].listen)
	if err != nil {
		return err
	}
	defer reader.close()
	s.note("client: a read of 5 s to r2, which the page cache answers after 4.5 s")
	if err := reader.send(rpc.Request{Method: "full-score", Txn: 0xb1, TimeoutMillis: 5000, Item: readItem, Batch: 18}); err != nil {
		return err
	}
	if !s.calm() && s.trouble != "kill" {
		if err := standby(s, members[1]); err != nil {
			return err
		}
	}
	time.Sleep(900 * time.Millisecond)
	begun := time.Now()
	first := make(chan answer, 1)
	go func() { first <- askOnce(members[0].listen, orderRequest(orderTxn, 0, orderTime)) }()
	s.note("client: order %016x to r1", orderTxn)
	if err := waitFor("the order runs", time.Second, func() bool { return t.runsOf(orderTxn) > 0 }); err != nil {
		return err
	}
	if !s.calm() {
		time.Sleep(1500*time.Millisecond - time.Since(begun))
		s.note("r1 is killed")
		routers[0].kill()
	}
	a := <-first
	s.note("client: answer of r1: %s %s", a.kind, a.body)
	if a.kind == "lost" {
		left := orderTime - time.Since(begun)
		s.note("client: claims the order over its open connection to r2, with %v left", left.Round(time.Millisecond))
		a = reader.ask(orderRequest(0xa2, orderTxn, left))
		s.note("client: answer of r2 to the claim: %s %s", a.kind, a.body)
	}
	return resendIfRefused(t, members[2], a, orderTime-time.Since(begun))
}

// standby drains a router at an operator's request.
func standby(s *stage, m *member) error {
	client := http.Client{Timeout: time.Second}
	response, err := client.Post("http://"+m.ops+"/standby", "text/plain", nil)
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	s.note("operator: POST /standby to %s: %s", m.name, response.Status)
	if response.StatusCode != http.StatusOK {
		return errors.New("the router can't be drained")
	}
	return nil
}

// resendIfRefused sends the order again, as a client may that was told "Throttled", and checks that the order did not run before.
func resendIfRefused(t *site, m *member, a answer, left time.Duration) error {
	if a.kind != rpc.CodeThrottled {
		return checkRanOnce(t)
	}
	if t.runsOf(orderTxn) == 0 {
		return nil
	}
	t.stage.note("client: sends the order again, as it was refused, to %s with %v left", m.name, left.Round(time.Millisecond))
	again := orderRequest(0xa3, 0, left)
	again.Retry = true
	a = askOnce(m.listen, again)
	t.stage.note("client: answer of %s: %s %s", m.name, a.kind, a.body)
	return fmt.Errorf("%w: the client was told that its order never ran, and it had run; sent again, it ran %d more times",
		errBroken, t.runsOf(0xa3))
}
