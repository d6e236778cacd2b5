package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"hillknot/internal/testutil/fakes"
)

// lateRun has a page cache hang while an order is sent to it, kills the order's router, and lets the page cache go on once the client
// was told that the order may have run. The order must not begin to run after that.
func lateRun(s *stage) error {
	t, err := newSite(s, nil)
	if err != nil {
		return err
	}
	address, err := freeAddress()
	if err != nil {
		return err
	}
	t.list(address)
	cache, err := s.start("cache", "bin/review-stage", []string{"cache", address}, nil, nil)
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
	time.Sleep(5 * time.Second)
	if a := askOnce(members[0].listen, orderRequest(0xf1, 0, orderTime)); a.kind != "served" {
		return fmt.Errorf("an order is not served before the disruption: %s", a.kind)
	}
	told, kind := orderToHungCache(t, members, routers, cache)
	time.Sleep(time.Second)
	ran, err := runsInLog(cache, orderTxn)
	if err != nil {
		return err
	}
	s.note("client: told %s at %s; the page cache began to run the order at %v", kind, told.Format(clockFormat), ran)
	if kind != "Failed" {
		return nil
	}
	for _, at := range ran {
		if at.After(told) {
			return fmt.Errorf("%w: the order began to run %v after its client was told that it may have run", errBroken, at.Sub(told))
		}
	}
	return nil
}

// orderToHungCache sends an order to r1 while the page cache hangs, kills r1 and has the client claim the order at r2. It returns what
// the client was told and when, and then lets the page cache go on.
func orderToHungCache(t *site, members []*member, routers []*process, cache *process) (told time.Time, kind string) {
	s := t.stage
	trouble := !s.calm()
	if trouble && s.trouble != "kill" {
		s.note("the page cache hangs")
		cache.signal(syscall.SIGSTOP)
	}
	begun := time.Now()
	first := make(chan answer, 1)
	go func() { first <- askOnce(members[0].listen, orderRequest(orderTxn, 0, orderTime)) }()
	s.note("client: order %016x to r1", orderTxn)
	if trouble {
		time.Sleep(600 * time.Millisecond)
		s.note("r1 is killed")
		routers[0].kill()
	}
	a := <-first
	s.note("client: answer of r1: %s %s", a.kind, a.body)
	if a.kind == "lost" {
		left := orderTime - time.Since(begun)
		s.note("client: claims the order at r2 with %v left", left.Round(time.Millisecond))
		a = askOnce(members[1].listen, orderRequest(0xa2, orderTxn, left))
		s.note("client: answer of r2 to the claim: %s %s", a.kind, a.body)
	}
	told = time.Now()
	time.Sleep(500 * time.Millisecond)
	s.note("the page cache goes on")
	cache.signal(syscall.SIGCONT)
	return told, a.kind
}

// clockFormat is the form of times in the log of the page cache.
const clockFormat = "15:04:05.000000"

// runCache is the page cache as a process of its own. It logs when it begins to run a request, and answers an order after a second.
func runCache(address string) error {
	var mu sync.Mutex
	_, err := fakes.NewCache(address, func(request fakes.Request) fakes.Reply {
		mu.Lock()
		defer mu.Unlock()
		fmt.Printf("runs %s %s\n", request.ID, time.Now().Format(time.RFC3339Nano))
		return fakes.Reply{Status: "DONE", Body: []byte("done"), Delay: time.Second,
			Fields: fmt.Sprintf("res=fetched_root,version=a,stamp=%d", time.Now().UnixMilli())}
	})
	if err != nil {
		return err
	}
	select {} // until the process is killed
}

// runsInLog returns when the page cache began to run a request.
func runsInLog(cache *process, txn uint64) (runs []time.Time, err error) {
	file, err := os.Open(cache.logPath)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		words := strings.Fields(lines.Text())
		if len(words) != 3 || words[1] != fmt.Sprintf("%016x", txn) {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, words[2])
		if err != nil {
			return nil, err
		}
		runs = append(runs, at)
	}
	return runs, nil
}
