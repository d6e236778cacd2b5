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

// bandwidthLimitedEndpoint is an endpoint whose answers use its link one after the other. A large answer takes long, and the
// endpoint rejects a request whose answer would wait too long. It records the objects that it served.
type bandwidthLimitedEndpoint struct {
	mu        sync.Mutex
	busyUntil time.Time
	served    map[string]bool // by object
	hangs     bool
	slowdown  time.Duration // factor by which the sending time of an answer is multiplied
}

// sendingTime returns how long an object takes on a link. The upper half of the number in its name is the time in microseconds.
func sendingTime(object string) time.Duration {
	n, _ := strconv.ParseUint(object, 16, 64) // valid, because the test creates the names
	return time.Duration(n>>32) * time.Microsecond
}

func (e *bandwidthLimitedEndpoint) answer(req fakes.Request) fakes.Reply {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if e.busyUntil.Before(now) {
		e.busyUntil = now
	}
	wait := e.busyUntil.Sub(now)
	switch {
	case e.hangs:
		return fakes.Reply{}
	case wait > 400*time.Millisecond:
		return fakes.Reply{Status: "WAIT"}
	}
	object := req.Fields["obj"]
	took := sendingTime(object) * e.slowdown
	e.busyUntil = e.busyUntil.Add(took)
	e.served[object] = true
	return fakes.Reply{Status: "DONE", Fields: "res=cached,version=v1", Body: []byte(object), Delay: wait + took}
}

// The answered share of the largest requests of a class is at least two thirds of that of all its requests on a quiet day, and
// half of it while one endpoint hangs and another is slow. A request is answered if an endpoint served it and the client read
// the answer.
func TestLargeRequestsGetTheirShare(t *testing.T) {
	for _, c := range []struct {
		name     string
		faults   bool
		load     float64 // fraction of what the endpoints can send
		minShare float64 // answered share of large requests, relative to that of all
	}{{"quiet", false, 0.5, 2. / 3}, {"faulted", true, 0.8, 0.5}} {
		t.Run(c.name, func(t *testing.T) {
			r := newTestRouter(t, 0)
			load := &largeRequestLoad{router: r, answered: map[string]bool{}}
			for range 4 {
				load.addEndpoint()
			}
			load.configure()
			r.start()
			load.startRequests(c.load)
			if c.faults {
				time.Sleep(largeRequestLoadTime / 3)
				load.injectFaults()
			}
			load.requests.Wait()
			load.checkShares(c.minShare)
		})
	}
}

// largeRequestLoadTime is how long requests are sent.
const largeRequestLoadTime = 5 * time.Second

// largeRequestLoad sends requests for objects of many sizes, and records which of them are answered.
type largeRequestLoad struct {
	router    *testRouter
	endpoints []*bandwidthLimitedEndpoint
	hosts     []jsonMap
	objects   []string
	requests  sync.WaitGroup

	mu       sync.Mutex
	answered map[string]bool // by object
}

// addEndpoint starts an endpoint, which runs until the end of the test.
func (l *largeRequestLoad) addEndpoint() {
	t := l.router.t
	t.Helper()
	endpoint := &bandwidthLimitedEndpoint{served: map[string]bool{}, slowdown: 1}
	server, err := fakes.NewCache(anyPort, endpoint.answer)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	l.hosts = append(l.hosts, jsonMap{
		"instanceId":  fmt.Sprint("s-", len(l.endpoints)),
		"hostPort":    server.Addr(),
		"zone":        "e",
		"machineType": "box",
		"lifecycle":   "ready",
	})
	l.endpoints = append(l.endpoints, endpoint)
}

// configure lists the endpoints in the configuration of the router, and sets a latency objective that grows with the size.
func (l *largeRequestLoad) configure() {
	hosts := append(l.hosts, unreachableOrigin())
	l.router.configure([]jsonMap{{"pos": 1, "hosts": jsonMap{"reset": true, "instances": hosts}}}, "known", "entries")
	for _, class := range l.router.config["settings"].(jsonMap)["profiles"].([]jsonMap) {
		class["promiseUs"], class["aimStretch"] = 300*millisecond, 2
	}
}

// startRequests schedules requests that need a fraction of what the endpoints can send in largeRequestLoadTime.
func (l *largeRequestLoad) startRequests(fraction float64) {
	seed := [32]byte{}
	binary.LittleEndian.PutUint64(seed[:], 7)
	random := rand.New(rand.NewChaCha8(seed))
	capacity := fraction * float64(len(l.endpoints))
	begun := time.Now()
	sent := time.Duration(0)
	for id := 1; sent < time.Duration(capacity*float64(largeRequestLoadTime)); id++ {
		took := time.Duration(20*math.Exp(0.8*random.NormFloat64())*1000) * time.Microsecond
		took = min(took, 300*time.Millisecond)
		object := fmt.Sprintf("%016x", uint64(took/time.Microsecond)<<32|uint64(id))
		l.objects = append(l.objects, object)
		sent += took
		at := begun.Add(time.Duration(float64(sent) / capacity))
		l.requests.Go(func() {
			time.Sleep(time.Until(at))
			l.request(id, object)
		})
	}
}

// request fetches an object over a new connection.
func (l *largeRequestLoad) request(id int, object string) {
	client := l.router.dial()
	defer client.conn.Close()
	client.request(id, "page", map[string]string{"item": object})
	if got, err := client.read(); err == nil && got.errorCode == "" && got.body == object {
		l.mu.Lock()
		l.answered[object] = true
		l.mu.Unlock()
	}
}

// injectFaults makes the first endpoint hang and the second three times slower.
func (l *largeRequestLoad) injectFaults() {
	for i, endpoint := range l.endpoints[:2] {
		endpoint.mu.Lock()
		endpoint.hangs, endpoint.slowdown = i == 0, 3
		endpoint.mu.Unlock()
	}
}

// checkShares compares the answered share of the largest requests with that of all requests. All requests must have ended.
func (l *largeRequestLoad) checkShares(minShare float64) {
	t := l.router.t
	t.Helper()
	slices.Sort(l.objects) // by sending time
	n := len(l.objects)
	all := l.answeredShare(l.objects)
	largest := l.answeredShare(l.objects[n*9/10:])
	next := l.answeredShare(l.objects[n*7/10 : n*9/10])
	t.Logf("%d requests: answered %.3f of all, %.3f of the largest tenth (%v and more), %.3f of the next fifth",
		n, all, largest, sendingTime(l.objects[n*9/10]), next)
	if largest < minShare*all || next < minShare*all || all < 0.5 {
		t.Errorf("answered: %.2f of all, %.2f of the largest tenth, %.2f of the next fifth", all, largest, next)
	}
}

// answeredShare returns the share of objects that an endpoint served and the client read.
func (l *largeRequestLoad) answeredShare(objects []string) float64 {
	answered := 0.0
	for _, object := range objects {
		served := slices.ContainsFunc(l.endpoints, func(e *bandwidthLimitedEndpoint) bool { return e.served[object] })
		if served && l.answered[object] {
			answered++
		}
	}
	return answered / float64(len(objects))
}
