package main

import (
	"fmt"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"hillknot/internal/rpc"
	"hillknot/internal/testutil/fakes"
)

// The budget of repeats that the two routers of the case share.
const (
	repeatRate  = 20.0 // a second
	repeatBurst = 4.0
)

// pageTime is how long the page cache takes for a page.
const pageTime = 40 * time.Millisecond

// sharedBudget replaces a router whose process stands still as the new one asks for it. All processes together must not send more
// repeats than the shared budget allows.
func sharedBudget(s *stage) error {
	t, err := newSite(s, nil)
	if err != nil {
		return err
	}
	if err := t.addCaches(7); err != nil {
		return err
	}
	repeats := &repeatCounter{stage: s, seen: map[string]int{}}
	t.script = repeats.answer
	members, err := newMembers("", "")
	if err != nil {
		return err
	}
	socket, err := heldSocket(members[1].listen)
	if err != nil {
		return err
	}
	defer socket.Close()
	for _, m := range members {
		m.extra = fmt.Sprintf("  retries {\n    rate  = %v\n    burst = %v\n  }\n", repeatRate, repeatBurst)
	}
	routers, err := t.startMembers(members, members[1], socket)
	if err != nil {
		return err
	}
	time.Sleep(5 * time.Second)

	load := newLoad()
	load.add(members[0].listen, 60)
	load.add(members[1].listen, 60)
	time.Sleep(6 * time.Second)
	if !s.calm() {
		if err := replaceStopped(t, members, routers[1], socket); err != nil {
			return err
		}
	}
	for range 15 { // clients that come now reach either process of r2
		load.add(members[1].listen, 4)
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(5 * time.Second)
	served := load.end()
	s.note("clients: %v", served)
	return repeats.check(s)
}

// replaceStopped replaces the process of r2 by the steps of docs/replacement.md. The old one is stopped for 0.8 s as the new one
// starts, except with TROUBLE=replace.
func replaceStopped(t *site, members []*member, old *process, socket *os.File) error {
	s := t.stage
	successor := *members[1]
	var err error
	if successor.ops, err = freeAddress(); err != nil {
		return err
	}
	begun := time.Now()
	if s.trouble != "replace" {
		s.note("the old r2 is stopped")
		old.signal(syscall.SIGSTOP)
	}
	if _, err := t.startMember(&successor, "r2-new", []*member{members[0], &successor}, socket); err != nil {
		return err
	}
	time.Sleep(800*time.Millisecond - time.Since(begun))
	old.signal(syscall.SIGCONT)
	s.note("the old r2 goes on")
	if err := waitFor("the new r2 says yes", 6*time.Second, func() bool { return ready(successor.ops) }); err != nil {
		return err
	}
	s.note("the new r2 says yes; SIGTERM to the old one")
	old.signal(syscall.SIGTERM)
	return nil
}

// repeatCounter is the page caches: every fifth request fails and may have run. It counts the attempts that repeat such a request.
type repeatCounter struct {
	stage    *stage
	mu       sync.Mutex
	requests int
	seen     map[string]int
	repeats  []time.Time
}

func (c *repeatCounter) answer(request fakes.Request) fakes.Reply {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen[request.ID]++
	if c.seen[request.ID] > 1 {
		c.repeats = append(c.repeats, time.Now())
		c.stage.note("page cache gets %s again: repeat %d", request.ID, len(c.repeats))
	} else if c.requests++; c.requests%5 == 0 {
		return fakes.Reply{Status: "BROKE", Delay: pageTime}
	}
	return fakes.Reply{Status: "DONE", Body: []byte("page"), Delay: pageTime,
		Fields: fmt.Sprintf("res=cached,version=%s,stamp=%d", request.Fields["obj"], time.Now().UnixMilli())}
}

// check compares the repeats in all windows of 1 to 4 s with the bound of docs/fleet-talk.md.
func (c *repeatCounter) check(s *stage) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.note("page caches: %d requests, %d repeats", c.requests, len(c.repeats))
	if len(c.repeats) < 100 {
		return fmt.Errorf("too few repeats to show anything")
	}
	worst, text := 0.0, ""
	for seconds := 1; seconds <= 4; seconds++ {
		window := time.Duration(seconds) * time.Second
		bound := repeatBurst + repeatRate*(window.Seconds()+0.05)*1.02
		for i, begin := range c.repeats {
			end, _ := slices.BinarySearchFunc(c.repeats, begin.Add(window), time.Time.Compare)
			if share := float64(end-i) / bound; share > worst {
				worst = share
				text = fmt.Sprintf("%d repeats in %v from %.3f on, of %.1f that the budget allows", end-i, window,
					begin.Sub(s.started).Seconds(), bound)
			}
		}
	}
	s.note("the most: %s (%.2f)", text, worst)
	if worst > 1 {
		return fmt.Errorf("%w: %s", errBroken, text)
	}
	return nil
}

// load is clients that ask for pages, one after the other with a short pause. A refused client stays away for as long as it is told.
type load struct {
	stop    chan struct{}
	clients sync.WaitGroup

	mu      sync.Mutex
	txn     uint64
	answers map[string]int
}

func newLoad() *load { return &load{stop: make(chan struct{}), txn: 0x5000, answers: map[string]int{}} }

// add adds clients with a connection each. A client whose connection ends opens another one.
func (l *load) add(address string, count int) {
	for range count {
		l.clients.Go(func() {
			for !l.ended() {
				l.session(address)
			}
		})
	}
}

func (l *load) ended() bool {
	select {
	case <-l.stop:
		return true
	default:
		return false
	}
}

// session asks over one connection until it ends.
func (l *load) session(address string) {
	c, err := dial(address)
	if err != nil {
		time.Sleep(20 * time.Millisecond)
		return
	}
	defer c.close()
	for !l.ended() {
		l.mu.Lock()
		l.txn++
		txn := l.txn
		l.mu.Unlock()
		a := c.ask(rpc.Request{Method: "part-page", Txn: txn, TimeoutMillis: 2000, Item: txn % 500, Batch: 3})
		l.mu.Lock()
		l.answers[a.kind]++
		l.mu.Unlock()
		if a.kind == "lost" || a.kind == "none" || a.kind == "unreadable" {
			return
		}
		time.Sleep(max(15*time.Millisecond, a.later))
	}
}

// end ends the clients and returns how many answers of each kind they got.
func (l *load) end() map[string]int {
	close(l.stop)
	l.clients.Wait()
	return l.answers
}
