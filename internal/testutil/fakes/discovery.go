package fakes

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// keepaliveComment is sent at the start of a stream and once a second while there are no events.
const (
	keepaliveComment  = ": here\n\n"
	keepaliveInterval = time.Second
)

// Discovery plays the discovery service: it streams its events, from the one after the last that a caller has seen. Its
// methods may be called by several goroutines at once.
type Discovery struct {
	server     *http.Server
	address    string
	goroutines sync.WaitGroup
	bytesSent  atomic.Int64

	mu       sync.Mutex
	events   []string      // their data
	first    int           // position of the first event
	appended chan struct{} // closed when the next event is appended
	cut      chan struct{} // closed when the open streams are to end
	outage   time.Time     // calls are rejected until then
	snapshot func() string // nil: streams start without a complete list
}

// NewDiscovery starts the service at an address. Its first event has the position first.
func NewDiscovery(address string, first int) (*Discovery, error) {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	d := &Discovery{address: socket.Addr().String(), first: first, appended: make(chan struct{}), cut: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /journal", d.stream)
	d.server = &http.Server{Handler: mux}
	d.goroutines.Go(func() { _ = d.server.Serve(socket) }) // it returns after Close
	return d, nil
}

// Addr returns the address that it listens at.
func (d *Discovery) Addr() string { return d.address }

// BytesSent returns how many bytes of events and comments were sent so far.
func (d *Discovery) BytesSent() int64 { return d.bytesSent.Load() }

// Publish appends an event. The text is what follows "pos" in the event's data.
func (d *Discovery) Publish(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	position := d.first + len(d.events)
	d.events = append(d.events, fmt.Sprintf(`{"pos":%d,%s}`, position, fmt.Sprintf(format, args...)))
	close(d.appended)
	d.appended = make(chan struct{})
}

// SendSnapshots has each stream from now on start with a complete list. That is an event of its own: snapshot returns what
// follows "pos" in its data.
func (d *Discovery) SendSnapshots(snapshot func() string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.snapshot = snapshot
}

// CloseStreams ends the open streams.
func (d *Discovery) CloseStreams() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.cut)
	d.cut = make(chan struct{})
}

// StartOutage ends the open streams, and rejects calls for a time.
func (d *Discovery) StartOutage(length time.Duration) {
	d.mu.Lock()
	d.outage = time.Now().Add(length)
	d.mu.Unlock()
	d.CloseStreams()
}

// Close ends the service, and waits until it accepts no more calls.
func (d *Discovery) Close() {
	_ = d.server.Close() // what it reports is about connections that are closed
	d.goroutines.Wait()
}

// stream sends a caller the events as they come, until it leaves or the streams are cut.
func (d *Discovery) stream(w http.ResponseWriter, r *http.Request) {
	lastSeen, err := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	if err != nil {
		lastSeen = 0
	}
	d.mu.Lock()
	rejected, snapshot, cut := time.Now().Before(d.outage), d.snapshot, d.cut
	d.mu.Unlock()
	if rejected {
		http.Error(w, "paused", http.StatusServiceUnavailable)
		return
	}
	if snapshot != nil {
		d.Publish("%s", snapshot())
	}
	w.Header().Set("Content-Type", "text/event-stream")
	keepalive := time.NewTicker(keepaliveInterval)
	defer keepalive.Stop()
	prefix := keepaliveComment
	for next := lastSeen + 1; ; {
		var text string
		var appended <-chan struct{}
		text, next, appended = d.eventsFrom(next)
		if text = prefix + text; text == "" {
			text = keepaliveComment
		}
		prefix = ""
		if err := d.write(w, text); err != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-cut:
			return
		case <-appended:
		case <-keepalive.C:
		}
	}
}

// eventsFrom formats the events from a position on. It returns the position after the last of them, and a channel that is
// closed when there are more.
func (d *Discovery) eventsFrom(position int) (text string, next int, appended <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var b strings.Builder
	for ; position-d.first < len(d.events); position++ {
		if position >= d.first {
			fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", position, d.events[position-d.first])
		}
	}
	return b.String(), position, d.appended
}

// write sends text and counts it.
func (d *Discovery) write(w http.ResponseWriter, text string) error {
	d.bytesSent.Add(int64(len(text)))
	if _, err := w.Write([]byte(text)); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}
