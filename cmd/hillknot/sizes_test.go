package main

import (
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"hillknot/internal/testutil/fakes"
)

// sized is a page cache with a link that its answers share one after the other: large ones take their time, and what would wait for
// too long is turned away. It notes what it served.
type sized struct {
	mu     sync.Mutex
	busy   time.Time
	served map[string]bool // by object
	hangs  bool
	slow   time.Duration // an answer takes so many times longer
}

// sendingTime is that of an object, which its name tells.
func sendingTime(item string) time.Duration {
	n, _ := strconv.ParseUint(item, 16, 64) // the test names them
	return time.Duration(n>>32) * time.Microsecond
}

func (c *sized) answer(a fakes.Request) fakes.Reply {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.busy.Before(now) {
		c.busy = now
	}
	wait := c.busy.Sub(now)
	switch {
	case c.hangs:
		return fakes.Reply{}
	case wait > 400*time.Millisecond:
		return fakes.Reply{Status: "WAIT"}
	}
	took := sendingTime(a.Fields["obj"]) * c.slow
	c.busy = c.busy.Add(took)
	c.served[a.Fields["obj"]] = true
	return fakes.Reply{Status: "DONE", Fields: "res=cached,version=v1", Body: []byte(a.Fields["obj"]), Delay: wait + took}
}

// The largest requests of a class get at least two thirds of its answered share on a quiet day, and half while a page cache hangs and
// another is slow: by what the page caches served, as far as the clients read it.
func TestLargeRequests(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault bool
		load  float64 // of what the page caches can send
		least float64
	}{{"quiet", false, 0.5, 2. / 3}, {"faulted", true, 0.8, 0.5}} {
		t.Run(c.name, func(t *testing.T) {
			s := newStage(t, 0)
			var caches []*sized
			var hosts []jsonMap
			for i := range 4 {
				m := &sized{served: map[string]bool{}, slow: 1}
				l, err := fakes.NewCache(nowhere, m.answer)
				if err != nil {
					t.Fatal(err)
				}
				defer l.Close()
				caches = append(caches, m)
				hosts = append(hosts, jsonMap{"instanceId": fmt.Sprint("s-", i), "hostPort": l.Addr(), "zone": "e", "machineType": "box", "lifecycle": "ready"})
			}
			hosts = append(hosts, jsonMap{"instanceId": "origin", "hostPort": nobody, "zone": "hub", "machineType": "store", "lifecycle": "ready"})
			s.set([]jsonMap{{"pos": 1, "hosts": jsonMap{"reset": true, "instances": hosts}}}, "known", "entries")
			for _, p := range s.conf["settings"].(jsonMap)["profiles"].([]jsonMap) {
				p["promiseUs"], p["aimStretch"] = 300*ms, 2
			}
			s.start()
			seed := [32]byte{}
			binary.LittleEndian.PutUint64(seed[:], 7)
			rnd := rand.New(rand.NewChaCha8(seed))
			const over = 5 * time.Second
			var work sync.WaitGroup
			var mu sync.Mutex
			answered := map[string]bool{}
			var sizes []string
			begun := time.Now()
			sent := time.Duration(0)
			for id := 1; sent < time.Duration(c.load*float64(over)*float64(len(caches))); id++ {
				took := time.Duration(20*math.Exp(0.8*rnd.NormFloat64())*1000) * time.Microsecond
				took = min(took, 300*time.Millisecond)
				item := fmt.Sprintf("%016x", uint64(took/time.Microsecond)<<32|uint64(id))
				sizes = append(sizes, item)
				sent += took
				at := begun.Add(time.Duration(float64(sent) / c.load / float64(len(caches))))
				work.Go(func() {
					time.Sleep(time.Until(at))
					u := s.dial()
					u.call(id, "page", map[string]string{"item": item})
					if _, word, body, _, err := u.answer(); err == nil && word == "" && body == item {
						mu.Lock()
						answered[item] = true
						mu.Unlock()
					}
					u.nc.Close()
				})
			}
			if c.fault {
				time.Sleep(over / 3)
				for i, m := range caches[:2] {
					m.mu.Lock()
					m.hangs, m.slow = i == 0, 3
					m.mu.Unlock()
				}
			}
			work.Wait()
			slices.Sort(sizes) // by their sending time
			share := func(items []string) float64 {
				n := 0.0
				for _, item := range items {
					served := false
					for _, m := range caches {
						served = served || m.served[item]
					}
					if served && answered[item] {
						n++
					}
				}
				return n / float64(len(items))
			}
			all, largest, next := share(sizes), share(sizes[len(sizes)*9/10:]), share(sizes[len(sizes)*7/10:len(sizes)*9/10])
			t.Logf("%d requests: answered %.3f of all, %.3f of the largest tenth (%v and more), %.3f of the next fifth", len(sizes), all, largest,
				sendingTime(sizes[len(sizes)*9/10]), next)
			if largest < c.least*all || next < c.least*all || all < 0.5 {
				t.Errorf("answered: %.2f of all, %.2f of the largest tenth, %.2f of the next fifth", all, largest, next)
			}
		})
	}
}
