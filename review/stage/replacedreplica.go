package main

import (
	"fmt"
	"os"
	"syscall"
	"time"

	"hillknot/internal/rpc"
)

// The requests of the case.
const (
	orderTxn  = 0x00000000000000a1
	orderItem = 0x7f3a9c21e0b4d655
	readItem  = 0x7f3a9c21e0b4d656
)

// orderRequest is the order, with the time that its client has left.
func orderRequest(txn, resumed uint64, left time.Duration) rpc.Request {
	return rpc.Request{Method: "new-arrange", Txn: txn, ResumedTxn: resumed, TimeoutMillis: left.Milliseconds(),
		Item: orderItem, Batch: 17, Body: []byte("two seats")}
}

// orderTime is the deadline of the order's class.
const orderTime = 3 * time.Second

// replacedReplica replaces the router that keeps the records of another router's orders while an order is out, and kills
// the order's router after that. The order must not run twice.
func replacedReplica(s *stage) error {
	t, err := newSite(s, nil)
	if err != nil {
		return err
	}
	if err := t.addCaches(3); err != nil {
		return err
	}
	members, err := newMembers("rack-1", "rack-1", "rack-2") // so r3 keeps the orders of r1
	if err != nil {
		return err
	}
	socket, err := heldSocket(members[2].listen)
	if err != nil {
		return err
	}
	defer socket.Close()
	routers, err := t.startMembers(members, members[2], socket)
	if err != nil {
		return err
	}
	time.Sleep(8 * time.Second) // the routers find each other, and have been up for longer than the longest request
	warm := askOnce(members[0].listen, orderRequest(0xf1, 0, orderTime))
	s.note("an order before the disruption: %s", warm.kind)
	if warm.kind != "served" {
		return fmt.Errorf("an order is not served before the disruption: %s", warm.kind)
	}

	read := rpc.Request{Method: "full-score", Txn: 0xb0, TimeoutMillis: 5000, Item: readItem, Batch: 18}
	if a := askOnce(members[2].listen, read); a.kind != "served" {
		return fmt.Errorf("a read is not served before the disruption: %s", a.kind)
	}
	if !s.calm() {
		t.hang(0xf1, 0xb0)
	}
	readDone := make(chan answer, 1)
	go func() {
		read.Txn = 0xb1
		a := askOnce(members[2].listen, read)
		s.note("client of r3: the read of 5 s: %s", a.kind)
		readDone <- a
	}()
	time.Sleep(100 * time.Millisecond)
	if !s.calm() && s.trouble != "kill" {
		if err := replaceRouter(t, members, routers[2], socket); err != nil {
			return err
		}
	}
	time.Sleep(2200 * time.Millisecond)
	if err := orderThroughLostRouter(t, members, routers); err != nil {
		return err
	}
	<-readDone
	time.Sleep(500 * time.Millisecond)
	return checkRanOnce(t)
}

// awaitReady waits until all routers take clients.
func awaitReady(members []*member) error {
	for _, m := range members {
		if err := waitFor(m.name+" is ready", 15*time.Second, func() bool { return ready(m.ops) }); err != nil {
			return err
		}
	}
	return nil
}

// checkRanOnce checks that the page cache ran the order once.
func checkRanOnce(t *site) error {
	runs := t.runsOf(orderTxn)
	t.stage.note("the order ran %d times", runs)
	if runs > 1 {
		return fmt.Errorf("%w: the order ran %d times", errBroken, runs)
	}
	if runs == 0 {
		return fmt.Errorf("the order never ran, so that the case shows nothing")
	}
	return nil
}

// replaceRouter replaces the process of r3 by the steps of docs/replacement.md: start the new one, wait until it says yes,
// send the old one SIGTERM.
func replaceRouter(t *site, members []*member, old *process, socket *os.File) error {
	successor := *members[2]
	var err error
	if successor.ops, err = freeAddress(); err != nil {
		return err
	}
	everyone := []*member{members[0], members[1], &successor}
	if _, err := t.startMember(&successor, "r3-new", everyone, socket); err != nil {
		return err
	}
	if err := waitFor("the new r3 says yes", 6*time.Second, func() bool { return ready(successor.ops) }); err != nil {
		return err
	}
	t.stage.note("the new r3 says yes; SIGTERM to the old one")
	old.signal(syscall.SIGTERM)
	return nil
}

// orderThroughLostRouter sends an order to the first router, kills its process, which is the first one too, while the order is out,
// and has the client claim the order at the second router.
func orderThroughLostRouter(t *site, members []*member, routers []*process) error {
	s := t.stage
	begun := time.Now()
	first := make(chan answer, 1)
	go func() { first <- askOnce(members[0].listen, orderRequest(orderTxn, 0, orderTime)) }()
	s.note("client: order %016x to %s", orderTxn, members[0].name)
	if err := waitFor("the order runs", time.Second, func() bool { return t.runsOf(orderTxn) > 0 }); err != nil {
		return err
	}
	if !s.calm() {
		time.Sleep(1600*time.Millisecond - time.Since(begun))
		s.note("%s is killed", routers[0].label)
		routers[0].kill()
	}
	a := <-first
	s.note("client: answer of %s: %s %s", members[0].name, a.kind, a.body)
	if a.kind != "lost" {
		return nil
	}
	left := orderTime - time.Since(begun)
	s.note("client: claims the order at %s with %v left", members[1].name, left.Round(time.Millisecond))
	a = askOnce(members[1].listen, orderRequest(0xa2, orderTxn, left))
	s.note("client: answer of %s to the claim: %s %s", members[1].name, a.kind, a.body)
	return nil
}
