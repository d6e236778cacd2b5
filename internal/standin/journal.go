package standin

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
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
	work   sync.WaitGroup
}

// NewJournal listens. Its first event has the number first.
func NewJournal(addr string, first int) (*Journal, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	j := &Journal{addr: ln.Addr().String(), first: first, grown: make(chan struct{})}
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
		if _, err := w.Write([]byte(text)); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-grown:
		case <-tick.C:
		}
	}
}
