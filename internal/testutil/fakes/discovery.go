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

// The service sends keepaliveComment at the start of a stream, and after each keepaliveInterval if there is no new event to
// send.
const (
	keepaliveComment  = ": here\n\n"
	keepaliveInterval = time.Second
)

// Discovery is a fake discovery service. It streams its events to each caller, starting after the last event that the caller
// has seen. Its methods may be called by several goroutines at once.
type Discovery struct {
	server     *http.Server
	address    string
	goroutines sync.WaitGroup
	bytesSent  atomic.Int64

	mu            sync.Mutex
	events        []string      // the data of each event
	firstPosition int           // position of the first event
	appended      chan struct{} // closed when the next event is appended
	endStreams    chan struct{} // closed when the open streams are to end
	outageEnd     time.Time     // the service rejects calls until this time
	snapshot      func() string // returns the data of a complete list; nil: streams start without one
}

// NewDiscovery starts a discovery service that listens at address. Its first event has the position firstPosition. NewDiscovery
// returns an error if it cannot listen at address.
func NewDiscovery(address string, firstPosition int) (*Discovery, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	d := &Discovery{address: listener.Addr().String(), firstPosition: firstPosition, appended: make(chan struct{}),
		endStreams: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /journal", d.stream)
	d.server = &http.Server{Handler: mux}
	d.goroutines.Go(func() { _ = d.server.Serve(listener) }) // Serve returns an error after Close
	return d, nil
}

// Addr returns the address that the service listens at.
func (d *Discovery) Addr() string { return d.address }

// BytesSent returns the number of bytes of events and comments sent so far.
func (d *Discovery) BytesSent() int64 { return d.bytesSent.Load() }

// Publish appends an event. The formatted text becomes the part of the event's data that follows the field "pos".
func (d *Discovery) Publish(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	position := d.firstPosition + len(d.events)
	d.events = append(d.events, fmt.Sprintf(`{"pos":%d,%s}`, position, fmt.Sprintf(format, args...)))
	close(d.appended)
	d.appended = make(chan struct{})
}

// SendSnapshots makes each new stream publish a complete list when it starts. The list is an event of its own: snapshot returns
// the part of its data that follows the field "pos".
func (d *Discovery) SendSnapshots(snapshot func() string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.snapshot = snapshot
}

// CloseStreams closes all open streams.
func (d *Discovery) CloseStreams() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.endStreams)
	d.endStreams = make(chan struct{})
}

// StartOutage closes all open streams, and makes the service reject calls for the given length of time.
func (d *Discovery) StartOutage(length time.Duration) {
	d.mu.Lock()
	d.outageEnd = time.Now().Add(length)
	d.mu.Unlock()
	d.CloseStreams()
}

// Close stops the service, and waits until it accepts no more calls.
func (d *Discovery) Close() {
	_ = d.server.Close() // the error concerns only sockets that are closed anyway
	d.goroutines.Wait()
}

// stream sends events to a caller as they are published, until the caller disconnects or the streams are closed.
func (d *Discovery) stream(w http.ResponseWriter, r *http.Request) {
	lastSeen, err := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	if err != nil {
		lastSeen = 0
	}
	d.mu.Lock()
	rejected, snapshot, endStreams := time.Now().Before(d.outageEnd), d.snapshot, d.endStreams
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
		case <-endStreams:
			return
		case <-appended:
		case <-keepalive.C:
		}
	}
}

// eventsFrom formats the events from position on. It returns their text, the position after the last event, and a channel
// that is closed when the next event is appended.
func (d *Discovery) eventsFrom(position int) (text string, next int, appended <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var b strings.Builder
	for ; position-d.firstPosition < len(d.events); position++ {
		if position >= d.firstPosition {
			fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", position, d.events[position-d.firstPosition])
		}
	}
	return b.String(), position, d.appended
}

// write sends text to a caller and adds its length to bytesSent.
func (d *Discovery) write(w http.ResponseWriter, text string) error {
	d.bytesSent.Add(int64(len(text)))
	if _, err := w.Write([]byte(text)); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}
