package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { scenarios["lateclaim"] = playLateClaim }

const (
	orderLimit  = 3 * time.Second         // for which a client waits for an order
	claimAfter  = 2850 * time.Millisecond // after which it asks another router
	poorDelay   = 300 * time.Millisecond  // of a poor link, each way
	orderCount  = 40
	orderSpread = time.Second // within which the orders are sent
)

// latePlay is one play of the scenario lateclaim.
type latePlay struct {
	*run
	fleet *fleet

	mu      sync.Mutex
	ran     map[string][]string // endpoints at which an order ran, by its id
	claimed int                 // claims that were sent
}

// got runs an order at once.
func (p *latePlay) got(a *ask) {
	p.mu.Lock()
	p.ran[a.id] = append(p.ran[a.id], a.endpoint.name)
	n := len(p.ran[a.id])
	p.mu.Unlock()
	p.noteAt(a.at, a.endpoint.name, "got and runs order %s, run %d", a.id, n)
	time.Sleep(10 * time.Millisecond)
	a.done("fetched_root", time.Now(), []byte("done "+a.id))
	p.note(a.endpoint.name, "answers order %s: DONE", a.id)
}

// check reports whether no order ran twice.
func (p *latePlay) check() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	twice := 0
	for id, names := range p.ran {
		if len(names) > 1 {
			p.note("test", "order %s ran %d times: at %v", id, len(names), names)
			twice++
		}
	}
	p.note("test", "%d orders ran, %d of them twice", len(p.ran), twice)
	return twice == 0
}

// playLateClaim: the router that took the orders is lost with its answers, and clients claim them at another router, over a
// poor link. The claims arrive after the records of the orders are gone.
func playLateClaim(r *run) (bool, error) {
	p := &latePlay{run: r, ran: map[string][]string{}}
	f, err := newFleet(r, p.got)
	if err != nil {
		return false, err
	}
	p.fleet = f
	f.deadlines = [3]time.Duration{orderLimit, orderLimit, orderLimit}
	f.extra = func(int) string {
		return fmt.Sprintf(`,"takeover":{"strict":true,"keep_ms":%d}`, orderLimit.Milliseconds())
	}
	r.note("test", "all classes have a time limit of %v, takeover has strict and keep_ms = %d", orderLimit, orderLimit.Milliseconds())
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(orderLimit + 500*time.Millisecond) // all routers have been up for longer than the longest order
	near, err := newLink(f.routers[0].listen, 0, true)
	if err != nil {
		return false, err
	}
	delay := time.Duration(0)
	if r.trouble {
		delay = poorDelay
	}
	poor, err := newLink(f.routers[2].listen, delay, false)
	if err != nil {
		return false, err
	}
	r.note("network", "what r1 answers to clients is lost")
	r.note("network", "clients reach r3 over a link with a delay of %v each way", delay)
	var clients sync.WaitGroup
	for i := range orderCount {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * orderSpread / orderCount)
			p.order(near, poor, i)
		})
	}
	time.Sleep(orderSpread + 200*time.Millisecond)
	r.note("network", "the link to r1 is cut, and r1 is killed")
	near.setCut()
	r.kill(f.routers[0])
	clients.Wait()
	time.Sleep(500 * time.Millisecond)
	if len(p.ran) != orderCount || p.claimed != orderCount {
		return false, fmt.Errorf("of %d orders %d ran and %d were claimed", orderCount, len(p.ran), p.claimed)
	}
	return p.check(), nil
}

// order sends an order to r1, whose answers are lost, and claims it at r3 with the time that is left.
func (p *latePlay) order(near, poor *link, i int) {
	first, err := connect(near.address)
	if err != nil {
		p.note("client", "can't connect to r1: %v", err)
		return
	}
	defer first.close()
	txn := newTxn()
	fields := map[string]string{"txn": txn, "limit": fmt.Sprint(orderLimit.Milliseconds()), "item": fmt.Sprintf("%016x", 0xa1+i), "nth": "0", "batch": "1"}
	sentAt := time.Now()
	p.note("client", "sends order %s to r1", txn)
	first.send("new-arrange", fields, []byte("two seats"))
	time.Sleep(claimAfter - 100*time.Millisecond)
	second, err := connect(poor.address)
	if err != nil {
		p.note("client", "can't connect to r3: %v", err)
		return
	}
	defer second.close()
	time.Sleep(time.Until(sentAt.Add(claimAfter)))
	left := time.Until(sentAt.Add(orderLimit))
	claim := map[string]string{"txn": newTxn(), "limit": fmt.Sprint(left.Milliseconds()), "resumes": txn, "second": "1", "item": fields["item"], "nth": "0", "batch": "1"}
	p.note("client", "claims order %s at r3, and waits %v", txn, left.Round(time.Millisecond))
	result := second.send("new-arrange", claim, []byte("two seats"))
	p.mu.Lock()
	p.claimed++
	p.mu.Unlock()
	a := await(result, left)
	if a.verdict == lost {
		second.cancel(1)
		p.note("client", "got no answer about %s in time, and cancels", txn)
	} else {
		p.note("client", "is told of %s: %v", txn, a)
	}
	time.Sleep(time.Second) // what is under way arrives
}
