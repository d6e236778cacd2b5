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
	t, err := newSite(s, map[string]time.Duration{"full-score": 900 * time.Millisecond, "new-arrange": 300 * time.Millisecond})
	if err != nil {
		return err
	}
	members, err := newMembers("", "", "")
	if err != nil {
		return err
	}
	routers, err := t.startMembers(members, nil, nil)
	if err != nil {
		return err
	}
	time.Sleep(6 * time.Second)

	reader, err := dial(members[1].listen)
	if err != nil {
		return err
	}
	defer reader.close()
	if err := readWhileDrained(s, reader, members[1]); err != nil {
		return err
	}
	begun := time.Now()
	first := make(chan answer, 1)
	go func() { first <- askOnce(members[0].listen, orderRequest(orderTxn, 0, orderTime)) }()
	s.note("client: order %016x to r1", orderTxn)
	if err := waitFor("the order runs", time.Second, func() bool { return t.runsOf(orderTxn) > 0 }); err != nil {
		return err
	}
	if !s.calm() {
		time.Sleep(100 * time.Millisecond)
		s.note("r1 is killed")
		routers[0].kill()
	}
	a := <-first
	s.note("client: answer of r1: %s %s", a.kind, a.body)
	if a.kind == "lost" {
		left := orderTime - time.Since(begun)
		s.note("client: claims the order over its open connection to r2, with %v left", left.Round(time.Millisecond))
		if a = reader.claim(s, orderRequest(0xa2, orderTxn, left)); a.kind == "lost" {
			return errors.New("r2 has closed the connection")
		}
		s.note("client: answer of r2 to the claim: %s %s", a.kind, a.body)
	}
	return resendIfRefused(t, members[2], a, begun)
}

// readWhileDrained sends reads to a router, each before the one before is answered, and drains the router after the first, for 2.2 s.
func readWhileDrained(s *stage, reader *caller, m *member) error {
	if err := readOn(s, reader, 1); err != nil {
		return err
	}
	if !s.calm() && s.trouble != "kill" {
		if err := standby(s, m); err != nil {
			return err
		}
	}
	for number := range uint64(4) {
		time.Sleep(450 * time.Millisecond)
		if err := readOn(s, reader, number+2); err != nil {
			return err
		}
	}
	time.Sleep(400 * time.Millisecond)
	return nil
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
func resendIfRefused(t *site, m *member, a answer, begun time.Time) error {
	if a.kind != rpc.CodeThrottled {
		return checkRanOnce(t)
	}
	if t.runsOf(orderTxn) == 0 {
		return nil
	}
	time.Sleep(a.later)
	left := orderTime - time.Since(begun)
	t.stage.note("client: stayed away for %v; sends the order again, as it was refused, to %s with %v left", a.later, m.name,
		left.Round(time.Millisecond))
	again := orderRequest(0xa3, 0, left)
	again.Retry = true
	a = askOnce(m.listen, again)
	t.stage.note("client: answer of %s: %s %s", m.name, a.kind, a.body)
	return fmt.Errorf("%w: the client was told that its order never ran, and it had run; sent again, it ran %d more times",
		errBroken, t.runsOf(0xa3))
}

// readOn sends a read whose answer is read later.
func readOn(s *stage, c *caller, number uint64) error {
	s.note("client: read %d to r2, over the same connection", number)
	return c.send(rpc.Request{Method: "full-score", Txn: 0xb0 + number, TimeoutMillis: 5000, Item: readItem, Nth: number, Batch: 18})
}

// claim sends a claim, and reads answers until that of the claim has come.
func (c *caller) claim(s *stage, request rpc.Request) answer {
	if c.send(request) != nil {
		return answer{kind: "lost"}
	}
	for {
		a := c.read()
		if a.id == c.nextID || a.id == 0 {
			return a
		}
		s.note("client: answer of r2 to read %d: %s", a.id, a.kind)
	}
}
