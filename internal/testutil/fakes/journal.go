package fakes

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Journal plays the journal service: it tells the events after the one that a caller names, and lives on.
type Journal struct {
	srv    *http.Server
	addr   string
	mu     sync.Mutex
	events []string // the data; the first has the number first
	first  int
	grown  chan struct{}
	cut    chan struct{} // closed when the open calls are to end
	until  time.Time     // no call is taken before
	relist func() string // nil: changes are told
	work   sync.WaitGroup
	sent   atomic.Int64
}

// Sent is how many bytes of events were sent.
func (j *Journal) Sent() int64 { return j.sent.Load() }

// Break ends the open calls.
func (j *Journal) Break() {
	j.mu.Lock()
	defer j.mu.Unlock()
	close(j.cut)
	j.cut = make(chan struct{})
}

// Pause ends the open calls, and takes none for a while.
func (j *Journal) Pause(span time.Duration) {
	j.mu.Lock()
	j.until = time.Now().Add(span)
	j.mu.Unlock()
	j.Break()
}

// Relist has each call answered with a whole list first, which is an event of its own: what comes behind "pos" in its data.
func (j *Journal) Relist(list func() string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.relist = list
}

// NewJournal listens. Its first event has the number first.
func NewJournal(addr string, first int) (*Journal, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	j := &Journal{addr: ln.Addr().String(), first: first, grown: make(chan struct{}), cut: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /journal", j.follow)
	j.srv = &http.Server{Handler: mux}
	j.work.Go(func() { _ = j.srv.Serve(ln) }) // it ends with Close
	return j, nil
}

// Addr is where it listens.
func (j *Journal) Addr() string { return j.addr }

// Tell adds an event: what comes behind "pos" in its data.
func (j *Journal) Tell(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.events = append(j.events, fmt.Sprintf(`{"pos":%d,%s}`, j.first+len(j.events), fmt.Sprintf(format, args...)))
	close(j.grown)
	j.grown = make(chan struct{})
}

// Close ends the service.
func (j *Journal) Close() {
	_ = j.srv.Close() // what it reports is of connections that are closed
	j.work.Wait()
}

// follow tells a caller the events, and a comment each second.
func (j *Journal) follow(w http.ResponseWriter, r *http.Request) {
	last, err := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	if err != nil {
		last = 0
	}
	j.mu.Lock()
	closed, relist, cut := time.Now().Before(j.until), j.relist, j.cut
	j.mu.Unlock()
	if closed {
		http.Error(w, "paused", http.StatusServiceUnavailable)
		return
	}
	if relist != nil {
		j.Tell("%s", relist())
	}
	w.Header().Set("Content-Type", "text/event-stream")
	next, tick := last+1, time.NewTicker(time.Second)
	defer tick.Stop()
	for text := ": here\n\n"; ; text = "" {
		j.mu.Lock()
		grown := j.grown
		for ; next-j.first < len(j.events); next++ {
			if next >= j.first {
				text += fmt.Sprintf("id: %d\ndata: %s\n\n", next, j.events[next-j.first])
			}
		}
		j.mu.Unlock()
		if text == "" {
			text = ": here\n\n"
		}
		j.sent.Add(int64(len(text)))
		if _, err := w.Write([]byte(text)); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-cut:
			return
		case <-grown:
		case <-tick.C:
		}
	}
}
