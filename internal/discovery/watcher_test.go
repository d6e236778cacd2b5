package discovery

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"hillknot/internal/core"
	"hillknot/internal/jsonfields"
)

// recorder records the endpoints and purges that a watcher delivers.
type recorder struct{ events chan string }

func newRecorder() *recorder { return &recorder{events: make(chan string, 100)} }

func (r *recorder) PostWatchEvent(f func())                       { f() }
func (r *recorder) ReplaceEndpoints(all []core.EndpointUpdate)    { r.record(true, all) }
func (r *recorder) UpdateEndpoints(changed []core.EndpointUpdate) { r.record(false, changed) }

func (r *recorder) record(complete bool, endpoints []core.EndpointUpdate) {
	for _, e := range endpoints {
		r.events <- fmt.Sprint(complete, " ", e.ID)
	}
}

func (r *recorder) PurgeObject(object uint64, _ time.Duration) {
	r.events <- fmt.Sprint(false, " ", object, " ", 0)
}

func (r *recorder) PurgeGroup(group uint64, _ time.Duration) {
	r.events <- fmt.Sprint(true, " ", 0, " ", group)
}

// serve runs a discovery service until the test ends, and returns its address.
func serve(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// When the connection ends, the watcher connects again and resumes after the latest event. It delivers no event twice.
func TestWatcherResumesAfterLatestEvent(t *testing.T) {
	requests := make(chan string, 100)
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		last := r.Header.Get("Last-Event-ID")
		requests <- r.URL.Path + " " + last
		if last == "4" {
			<-r.Context().Done()
			return
		}
		fmt.Fprint(w, ": hi\n\nid: 1\ndata: {\"pos\":1,\"expire\":{\"set\":1,\"stamp\":5}}\n\n"+
			"id: 3\ndata: {\"pos\":3,\"hosts\":{\"instances\":[{\"instanceId\":\"c\",\"lifecycle\":\"gone\"}]}}\n\n"+
			"id: 4\ndata: {\"pos\":4,\"expire\":{\"name\":\"0a\",\"stamp\":5}}\n\n")
	})
	start := parseObject(t, `{"pos":2,"entries":[
		{"pos":1,"hosts":{"instances":[{"instanceId":"a","lifecycle":"ready"}]}},
		{"pos":2,"hosts":{"instances":[{"instanceId":"b","lifecycle":"ready"}]}}]}`)
	handler := newRecorder()
	startWatcher(t, handler, address, testLimits(time.Millisecond), start)
	for _, want := range []string{"true a", "false b", "false c", "false 10 0"} {
		if got := <-handler.events; got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	for _, want := range []string{"/journal 2", "/journal 4"} {
		if got := <-requests; got != want {
			t.Errorf("requested %q, want %q", got, want)
		}
	}
}

func expect(t *testing.T, c <-chan string, want string) {
	t.Helper()
	select {
	case got := <-c:
		if got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	case <-time.After(20 * time.Second):
		t.Fatalf("got nothing for 20 s, want %q", want)
	}
}

// When the address of the service changes, the watcher connects to the new address at once and resumes after the latest
// event, although the old service stays open. An event that both services send is delivered once.
func TestWatcherFollowsNewAddress(t *testing.T) {
	requests := make(chan string, 100)
	serveEvents := func(name string, last int) string {
		return serve(t, func(w http.ResponseWriter, r *http.Request) {
			requests <- name + " " + r.Header.Get("Last-Event-ID")
			for p := 1; p <= last; p++ {
				fmt.Fprintf(w, "id: %d\ndata: {\"pos\":%d,\"expire\":{\"set\":%d,\"stamp\":5}}\n\n", p, p, p)
			}
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		})
	}
	before, after := serveEvents("old", 2), serveEvents("new", 3)
	handler := newRecorder()
	w := startWatcher(t, handler, before, testLimits(time.Minute), jsonfields.Object{})
	expect(t, requests, "old 0")
	expect(t, handler.events, "true 0 1")
	expect(t, handler.events, "true 0 2")
	w.SetAddress(after)
	expect(t, requests, "new 2")
	expect(t, handler.events, "true 0 3")
}

// backlogChecker is an EventHandler that checks at each event, before it is posted, that the watcher has a backlog.
type backlogChecker struct {
	*recorder
	watcher chan *Watcher // holds the watcher once it exists
	missed  chan struct{} // gets a value for each event without a backlog
}

func (h *backlogChecker) PostWatchEvent(f func()) {
	w := <-h.watcher
	h.watcher <- w
	if !w.HasBacklog() {
		h.missed <- struct{}{}
	}
	f()
}

// waitUntilCaughtUp waits until a watcher has no backlog.
func waitUntilCaughtUp(t *testing.T, w *Watcher) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); w.HasBacklog(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("still a backlog 20 s after everything was sent")
		}
	}
}

// An event that was read and is being posted, at once or by the timer of a long burst, is a backlog: after a stop of the process, a
// request could overtake a purge.
func TestEventThatIsBeingPostedIsBacklog(t *testing.T) {
	ln := listen(t)
	handler := &backlogChecker{recorder: newRecorder(), watcher: make(chan *Watcher, 1), missed: make(chan struct{}, 100)}
	limits := testLimits(time.Millisecond)
	limits.DiscoveryReadInterval = 25 * time.Millisecond
	w, err := New(handler, ln.Addr().String(), limits, jsonfields.Object{})
	if err != nil {
		t.Fatal(err)
	}
	handler.watcher <- w
	runWatcher(t, w)
	conn := acceptWatch(t, ln)
	send(t, conn, responseHeader+"\r\n: here\n\n")
	for position := 1; position <= 2*maxBurst; position++ { // the last ones are posted together, by a timer
		if position <= maxBurst {
			waitUntilCaughtUp(t, w)
		}
		send(t, conn, fmt.Sprintf("id: %d\ndata: {\"pos\":%d,\"expire\":{\"set\":1,\"stamp\":5}}\n\n", position, position))
	}
	for range 2 * maxBurst {
		expect(t, handler.events, "true 0 1")
	}
	if missed := len(handler.missed); missed > 0 {
		t.Errorf("%d events were not counted as backlog before they were posted", missed)
	}
}

// An event that was read from its socket and is being parsed is a backlog, too.
func TestEventThatIsBeingParsedIsBacklog(t *testing.T) {
	ln := listen(t)
	w := startWatcher(t, newRecorder(), ln.Addr().String(), testLimits(time.Millisecond), jsonfields.Object{})
	conn := acceptWatch(t, ln)
	send(t, conn, responseHeader+"\r\n: here\n\n")
	waitUntilCaughtUp(t, w)
	w.mu.Lock()
	stream := w.stream
	w.mu.Unlock()

	w.queue.mu.Lock() // the event can't get into the queue
	defer w.queue.mu.Unlock()
	send(t, conn, "id: 1\ndata: {\"pos\":1,\"expire\":{\"set\":1,\"stamp\":5}}\n\n")
	for end := time.Now().Add(20 * time.Second); !stream.hasPendingInput() || stream.hasUnreadInput(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the event was not read in 20 s")
		}
	}
	backlog := make(chan bool, 1)
	go func() { backlog <- w.HasBacklog() }()
	select {
	case found := <-backlog:
		if !found {
			t.Error("no backlog while an event is being parsed")
		}
	case <-time.After(time.Second): // it looks at the queue, as it has found nothing before
		t.Error("no backlog found outside of the queue while an event is being parsed")
	}
}

// Until the first bytes of the service are read, there may be events: a router that was stopped while it connected must not
// assume that it has read all of them.
func TestWatcherHasBacklogUntilServiceIsRead(t *testing.T) {
	ln := listen(t)
	w, err := New(newRecorder(), ln.Addr().String(), testLimits(time.Millisecond), jsonfields.Object{})
	if err != nil {
		t.Fatal(err)
	}
	if !w.HasBacklog() {
		t.Error("no backlog before the first connection")
	}
	runWatcher(t, w)
	conn := acceptWatch(t, ln)
	time.Sleep(20 * time.Millisecond)
	if !w.HasBacklog() {
		t.Error("no backlog on a connection that has received nothing")
	}
	send(t, conn, responseHeader+"\r\n: here\n\n")
	for end := time.Now().Add(20 * time.Second); w.HasBacklog(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("still a backlog 20 s after the service was read")
		}
	}
}
