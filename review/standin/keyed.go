package main

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"
)

func init() { scenarios["keyed"] = playKeyed }

// keyedConfig is a configuration of one router in location edge-1. Class part-page is keyed: the page caches of one cell
// discard repeats.
const keyedConfig = `{"name":%q,"listen":%q,"ops":%q,"journal":%q,
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
 "known":%s,
 "settings":{"locality":"edge-1","dcs":["upper","edge-1"],"hostTypes":["small","large","parent","origin"],"discovery":"push",
  "allowed":{"cancel":true,"connectTimeoutUs":400000,"keepaliveUs":30000000,"maxAttempts":6,"mayDuplicate":false,
   "retryAfter":true,"maxRetryAfterUs":500000},
  "invariants":{"answerSlackUs":8000,"coldFrom":0.21,"coldUs":18000000,"drainGraceUs":250000,"fallUs":2000000,"overloadFactor":4},
  "profiles":[
   {"name":"full-score","repeat":"safe","group":"all","promiseUs":400000,"aimStretch":1.6,"deadlineUs":5000000,"windowUs":5000000,"worth":2},
   {"name":"part-page","repeat":"keyed","group":"cell","promiseUs":1500000,"aimStretch":2,"deadlineUs":3000000,"windowUs":5000000,"worth":1},
   {"name":"new-arrange","repeat":"unsafe","group":"all","promiseUs":700000,"deadlineUs":3000000,"windowUs":5000000,"worth":3}],
  "specifics":{"passThroughOk":true,"collapses":false,"instancesByZone":[0,1],"midKind":2,"storeKind":3,"peersFill":"off",
   "classWrite":[false,false,true],"classFreshUs":[0,20000000,0],"graceForUs":[0,10000000,0],"notesGiven":"all",
   "noticeTimeUs":1000000,"purgeTakesUs":6000000,"parentFloor":0.062,"parentColdUs":21000000,"parentBreaksAt":2}}}`

// keyedPlay is one play of the scenario keyed.
type keyedPlay struct {
	*run
	hold time.Duration // how long a page cache works on a request

	mu      sync.Mutex
	cells   map[string]string   // cell by endpoint
	asked   map[string][]string // endpoints that got a request whole, by its id
	stopped map[string]bool     // page caches whose requests get no answer any more
}

// got records a request, works on it and answers it.
func (p *keyedPlay) got(a *ask) {
	p.mu.Lock()
	p.asked[a.id] = append(p.asked[a.id], a.endpoint.name)
	p.mu.Unlock()
	p.noteAt(a.at, a.endpoint.name, "got and runs %s kind=%s fetch=%s", a.id, a.fields["kind"], a.fields["fetch"])
	time.Sleep(p.hold)
	p.mu.Lock()
	stopped := p.stopped[a.endpoint.name]
	p.mu.Unlock()
	if !stopped {
		a.done("fetched_root", time.Now(), []byte(a.endpoint.name))
		p.note(a.endpoint.name, "answers %s: DONE", a.id)
	}
}

// playKeyed: a page cache begins to drain, and its connections are reset while it works on requests of a keyed class. Only
// page caches of its cell discard repeats, so no other endpoint may get these requests.
func playKeyed(r *run) (bool, error) {
	p := &keyedPlay{run: r, hold: 400 * time.Millisecond, asked: map[string][]string{}, stopped: map[string]bool{},
		cells: map[string]string{"s-1": "edge-1 1", "s-2": "edge-1 2", "p-1": "upper 0", "o-1": "upper 0"}}
	endpoints := map[string]*endpoint{}
	for name := range p.cells {
		e, err := newEndpoint(name, p.got)
		if err != nil {
			return false, err
		}
		endpoints[name] = e
	}
	j, err := newJournal()
	if err != nil {
		return false, err
	}
	cache := func(name string, cell int, state string) string {
		return instance(name, endpoints[name].address, "edge-1", "small", cell, state)
	}
	j.publish(hosts(true, cache("s-1", 1, "ready"), cache("s-2", 2, "ready"),
		instance("p-1", endpoints["p-1"].address, "upper", "parent", 0, "ready"),
		instance("o-1", endpoints["o-1"].address, "upper", "origin", 0, "ready")))
	for _, name := range []string{"s-1", "s-2", "p-1", "o-1"} {
		r.note("test", "%s is in location and cell: %s", name, p.cells[name])
	}
	r.note("test", "class part-page is keyed, group cell, window 5 s; requests may go straight to parents and the origin")
	router, err := p.startKeyedRouter(j)
	if err != nil {
		return false, err
	}
	c, err := connect(router.listen)
	if err != nil {
		return false, err
	}
	defer c.close()
	answers := map[string]<-chan answer{}
	for i := range 8 {
		txn := newTxn()
		fields := map[string]string{"txn": txn, "limit": "3000", "item": fmt.Sprintf("%016x", 0x7f3a9c21e0b40000+i), "nth": "0", "batch": "17"}
		r.note("client", "sends %s part-page %s", txn, fields["item"])
		answers[txn] = c.send("part-page", fields, nil)
	}
	time.Sleep(100 * time.Millisecond) // the page caches have got the requests
	if begun := p.begunAt("s-1"); begun == 0 {
		return false, errors.New("s-1 has got no request")
	}
	if r.trouble {
		r.note("journal", "s-1 drains")
		j.publish(hosts(false, cache("s-1", 1, "draining")))
		time.Sleep(100 * time.Millisecond)
		r.note("s-1", "its connections are reset")
		p.mu.Lock()
		p.stopped["s-1"] = true
		p.mu.Unlock()
		endpoints["s-1"].resetAll()
	}
	for txn, result := range answers {
		r.note("client", "is told of %s: %v", txn, await(result, 5*time.Second))
	}
	return p.check()
}

// begunAt returns how many requests an endpoint has got.
func (p *keyedPlay) begunAt(endpoint string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, names := range p.asked {
		if slices.Contains(names, endpoint) {
			n++
		}
	}
	return n
}

func (p *keyedPlay) startKeyedRouter(j *journal) (*router, error) {
	listen, err := freeAddress()
	if err != nil {
		return nil, err
	}
	ops, err := freeAddress()
	if err != nil {
		return nil, err
	}
	router := &router{name: "n1", listen: listen, ops: ops}
	return router, p.start("bin/hillknot", router, fmt.Sprintf(keyedConfig, "n1", listen, ops, j.address, j.known()))
}

// check reports whether all endpoints that got the same request belong to one group.
func (p *keyedPlay) check() (bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ok := true
	for id, names := range p.asked {
		for _, name := range names[1:] {
			if p.cells[name] != p.cells[names[0]] {
				p.note("test", "%s may have run at %s (%s) and was sent to %s (%s) then", id, names[0], p.cells[names[0]], name, p.cells[name])
				ok = false
			}
		}
	}
	return ok, nil
}
