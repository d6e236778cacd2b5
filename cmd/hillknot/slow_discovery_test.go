package main

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"syscall"
	"testing"
	"time"
)

// Ids of the requests in the tests of slow discovery services. Each names an object of its own.
const (
	servedObject  = 1 // served before the purge
	firstPolling  = 1000
	afterTheNews  = 20 // requests that are sent once the router has applied the news
	purgedObject  = 7
	pollingPeriod = 20 * time.Millisecond
)

// slowDiscovery is a discovery service that answers each call late. Its news is that the first endpoint drains, an object is
// purged and a new endpoint has joined.
type slowDiscovery struct {
	r         *testRouter
	listener  net.Listener
	delay     time.Duration // until a call is answered
	dropCalls int           // the first so many calls are never answered
	joined    *fakeEndpoint
	toldAt    time.Time // when the service began to hold the news
}

// newSlowDiscovery starts a service that holds the news from now on.
func (r *testRouter) newSlowDiscovery(listener net.Listener, delay time.Duration, dropCalls int) *slowDiscovery {
	r.t.Helper()
	s := &slowDiscovery{r: r, listener: listener, delay: delay, dropCalls: dropCalls, joined: r.newEndpoint("joined"),
		toldAt: time.Now()}
	go s.serve()
	return s
}

// serve accepts calls until the listener closes.
func (s *slowDiscovery) serve() {
	for call := 1; ; call++ {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.r.t.Cleanup(func() { conn.Close() })
		go func() {
			readLastEventID(conn)
			if call <= s.dropCalls {
				return
			}
			time.Sleep(s.delay)
			s.stream(conn)
		}()
	}
}

// stream answers a call with the news, and a comment each second. It returns when the connection has ended.
func (s *slowDiscovery) stream(conn net.Conn) {
	text := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + s.news()
	for {
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		time.Sleep(time.Second)
		text = ": here\n\n"
	}
}

// news returns the events that the service holds.
func (s *slowDiscovery) news() string {
	endpoints := watchStream{t: s.r.t}.endpointsEvent(2, false, s.r.endpoints[0].listEntry("draining"), s.joined.listEntry("ready"))
	return endpoints + purgeEvent(3, purgedObject, s.toldAt)
}

// expectApplied checks that the router applies the news until a time: the joined endpoint gets requests, the draining one gets none,
// and copies from before the purge are excluded.
func (s *slowDiscovery) expectApplied(by time.Time) {
	r := s.r
	r.t.Helper()
	client := r.dial()
	id := firstPolling
	for ; r.serveOne(client, id, "page").endpoint != s.joined; id++ {
		if time.Now().After(by) {
			r.t.Fatalf("no request reaches the endpoint that joined %v ago", time.Since(s.toldAt))
		}
		time.Sleep(pollingPeriod)
	}
	r.t.Logf("applied %v after the service began to hold it", time.Since(s.toldAt))
	for range afterTheNews {
		id++
		if attempt := r.serveOne(client, id, "page"); attempt.endpoint == r.endpoints[0] {
			r.t.Errorf("the draining endpoint got an attempt for %s", attempt.requestID)
		}
	}
	client.request(id+1, "page", map[string]string{"item": fmt.Sprintf("%016x", purgedObject)})
	attempt := r.nextAttempt()
	newer, err := strconv.Atoi(attempt.fields["newer"])
	if most := time.Since(s.toldAt).Milliseconds() + 1; err != nil || int64(newer) > most {
		r.t.Errorf("a request for the purged object accepts a copy of %q ms, want %d at most", attempt.fields["newer"], most)
	}
	attempt.serve("x")
	client.expect(id+1, "x")
}

// startForSlowDiscovery starts a router in its own process, whose page caches drop purged copies late enough for these tests.
func startForSlowDiscovery(t *testing.T) (*testRouter, *routerProcess) {
	t.Helper()
	r := newTestRouter(t, 2)
	r.configure(30_000*millisecond, "settings", "specifics", "purgeTakesUs")
	return r, r.startProcess()
}

// A discovery service that took longer than 2 s to answer a call was never heard: the router gave each call up and called again,
// without end, and went on with drained endpoints and purged copies (review, case 7).
func TestSlowDiscoveryIsHeardAfterAReload(t *testing.T) {
	for name, service := range map[string]struct {
		delay     time.Duration
		dropCalls int
		limit     time.Duration // from SIGHUP on
	}{
		"2.5 s":                               {delay: 2500 * time.Millisecond, limit: 4 * time.Second},
		"5 s":                                 {delay: 5 * time.Second, limit: 7 * time.Second},
		"the first call is never answered":    {dropCalls: 1, limit: 4 * time.Second},
		"the first call never, others 1.5 s":  {delay: 1500 * time.Millisecond, dropCalls: 1, limit: 4 * time.Second},
		"the first three never, others 2.5 s": {delay: 2500 * time.Millisecond, dropCalls: 3, limit: 10 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			inParallel(t)
			r, process := startForSlowDiscovery(t)
			r.acceptWatch("1").write(": here\n\n")
			r.serveOne(r.dial(), servedObject, "page")
			moved := listen(t)
			r.configure(moved.Addr().String(), "journal")
			r.writeConfig()
			s := r.newSlowDiscovery(moved, service.delay, service.dropCalls)
			process.signal(syscall.SIGHUP)
			s.expectApplied(s.toldAt.Add(service.limit))
		})
	}
}

// The same, with a service that is slow when the router starts, or that never answers the first call.
func TestSlowDiscoveryIsHeardAfterTheStart(t *testing.T) {
	for name, service := range map[string]struct {
		delay     time.Duration
		dropCalls int
		limit     time.Duration // from the start on
	}{
		"2.5s":                             {delay: 2500 * time.Millisecond, limit: 7 * time.Second},
		"5s":                               {delay: 5 * time.Second, limit: 7 * time.Second},
		"the first call is never answered": {dropCalls: 1, limit: 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			inParallel(t)
			r := newTestRouter(t, 2)
			r.configure(30_000*millisecond, "settings", "specifics", "purgeTakesUs")
			slow := listen(t)
			r.configure(slow.Addr().String(), "journal")
			s := r.newSlowDiscovery(slow, service.delay, service.dropCalls)
			r.startProcess()
			s.expectApplied(s.toldAt.Add(service.limit))
		})
	}
}

// The same, with an open watch that falls silent, when the service answers the next calls late, or the first of them never. Silence is
// still noticed after 2 s.
func TestSlowDiscoveryIsHeardAfterASilentWatch(t *testing.T) {
	for name, service := range map[string]slowDiscovery{
		"2.5 s":                             {delay: 2500 * time.Millisecond},
		"the next call never, others 1.5 s": {delay: 1500 * time.Millisecond, dropCalls: 1},
	} {
		t.Run(name, func(t *testing.T) {
			inParallel(t)
			r, _ := startForSlowDiscovery(t)
			r.acceptWatch("1").write(": here\n\n") // and nothing more
			silentSince := time.Now()
			r.serveOne(r.dial(), servedObject, "page")
			select {
			case watch := <-r.watches:
				watch.Close() // refused, so that the next calls reach the slow service
				if silence := time.Since(silentSince); silence > 2500*time.Millisecond {
					t.Errorf("a silent watch was noticed after %v, want 2 s", silence)
				}
			case <-time.After(harnessTimeout):
				t.Fatal("the silent watch is not replaced")
			}
			s := &service
			s.r, s.joined, s.toldAt = r, r.newEndpoint("joined"), time.Now()
			stop := make(chan struct{})
			defer close(stop)
			go s.answerWatches(stop)
			s.expectApplied(s.toldAt.Add(4 * time.Second))
		})
	}
}

// answerWatches answers the watches that the router opens at its own discovery service, until stop is closed.
func (s *slowDiscovery) answerWatches(stop <-chan struct{}) {
	for call := 1; ; call++ {
		select {
		case watch := <-s.r.watches:
			if call > s.dropCalls {
				time.AfterFunc(s.delay, func() { s.stream(watch) })
			}
		case <-stop:
			return
		}
	}
}

// A stop of the process for longer than a watch may be silent must not end the watch while bytes of the service wait to be read:
// what it told meanwhile would have to be requested again.
func TestWatchOutlivesAStopOfTheProcess(t *testing.T) {
	inParallel(t)
	r, process := startForSlowDiscovery(t)
	watch := r.acceptWatch("1")
	watch.write(": here\n\n")
	for round := range 5 {
		r.serveOne(r.dial(), servedObject, "page")
		process.stop()
		for range 5 {
			watch.write(": here\n\n")
			time.Sleep(500 * time.Millisecond)
		}
		watch.sendPurge(round+2, purgedObject, time.Now())
		process.resume()
		select {
		case <-r.watches:
			t.Errorf("round %d: the watch was given up although its bytes were unread", round)
			return
		case <-time.After(300 * time.Millisecond):
		}
		watch.write(": here\n\n")
	}
}

// What discovery tells binds a successor from 2 s after it says that it serves, which the platform awaits for 6 s. A successor that
// served without waiting long enough for a slow service went on with the list and the copies of its configuration.
func TestHotRestartWaitsForSlowDiscovery(t *testing.T) {
	const (
		maxStart = 6 * time.Second
		newsBind = 2 * time.Second
	)
	for name, delay := range map[string]time.Duration{
		"2.5 s": 2500 * time.Millisecond, "5 s": 5 * time.Second, "never": time.Hour,
	} {
		t.Run(name, func(t *testing.T) {
			inParallel(t)
			r := newTestRouter(t, 2)
			r.configure(30_000*millisecond, "settings", "specifics", "purgeTakesUs")
			tempDir := shortTempDir(t)
			r.startProcess("TMPDIR=" + tempDir)
			watch := r.acceptWatch("1")
			s := &slowDiscovery{r: r, listener: listen(t), delay: delay, joined: r.newEndpoint("joined"), toldAt: time.Now()}
			watch.write(s.news())
			r.waitForEndpoint(r.dial(), firstPolling, s.joined)

			r.configure(s.listener.Addr().String(), "journal")
			go s.serve()
			begun := time.Now()
			predecessor := r.processes[0]
			servingAt := r.startSuccessor("TMPDIR=" + tempDir)
			predecessor.end()
			if elapsed := servingAt.Sub(begun); elapsed > maxStart {
				t.Errorf("the successor serves after %v, want %v at most", elapsed, maxStart)
			}
			if delay < maxStart {
				s.expectApplied(servingAt.Add(newsBind))
			}
		})
	}
}
