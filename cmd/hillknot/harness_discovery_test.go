package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// watchStream is a watch that the router has opened at the discovery service. The test plays the service and answers it.
type watchStream struct {
	net.Conn
	t           *testing.T
	lastEventID string // id of the last event that the router has
}

// serveWatches accepts the connections of the router to a discovery service.
func (r *testRouter) serveWatches(discovery net.Listener) {
	for {
		conn, err := discovery.Accept()
		if err != nil {
			return
		}
		r.watches <- watchStream{Conn: conn, t: r.t, lastEventID: readLastEventID(conn)}
	}
}

// readLastEventID reads the header of a watch request and returns the id of the last event that the router has.
func readLastEventID(conn net.Conn) (id string) {
	for in := bufio.NewScanner(conn); in.Scan() && in.Text() != ""; {
		if value, ok := strings.CutPrefix(in.Text(), "Last-Event-ID: "); ok {
			id = value
		}
	}
	return id
}

// acceptWatch waits for the next watch, which must continue after the event lastEventID, and begins its answer.
func (r *testRouter) acceptWatch(lastEventID string) watchStream {
	r.t.Helper()
	select {
	case watch := <-r.watches:
		if watch.lastEventID != lastEventID {
			r.t.Fatalf("the router watches from event %s, want %s", watch.lastEventID, lastEventID)
		}
		watch.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
		return watch
	case <-time.After(harnessTimeout):
		r.t.Fatal("the router opened no watch")
	}
	return watchStream{}
}

// restartDiscovery makes the discovery service, which was down, accept connections again, and accepts the first watch.
func (r *testRouter) restartDiscovery(address string) watchStream {
	r.t.Helper()
	ln, err := net.Listen("tcp", address)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { ln.Close() })
	go r.serveWatches(ln)
	return r.acceptWatch("1")
}

// write sends raw text.
func (w watchStream) write(text string) {
	w.t.Helper()
	if _, err := io.WriteString(w, text); err != nil {
		w.t.Fatal(err)
	}
}

// sendEndpoints sends an event with entries of the endpoint list: all entries if complete is true, and otherwise those that
// change.
func (w watchStream) sendEndpoints(position int, complete bool, hosts ...jsonMap) {
	w.t.Helper()
	w.write(w.endpointsEvent(position, complete, hosts...))
}

// endpointsEvent returns the text of the event that sendEndpoints sends.
func (w watchStream) endpointsEvent(position int, complete bool, hosts ...jsonMap) string {
	w.t.Helper()
	text, err := json.Marshal(jsonMap{"pos": position, "hosts": jsonMap{"reset": complete, "instances": hosts}})
	if err != nil {
		w.t.Fatal(err)
	}
	return fmt.Sprintf("id: %d\ndata: %s\n\n", position, text)
}

// sendPurge sends an event that purges an object. stamp is the time of the purge by the clock of the discovery service.
func (w watchStream) sendPurge(position, object int, stamp time.Time) {
	w.t.Helper()
	w.write(purgeEvent(position, object, stamp))
}

// purgeEvent returns the text of the event that sendPurge sends.
func purgeEvent(position, object int, stamp time.Time) string {
	return fmt.Sprintf("id: %d\ndata: {\"pos\":%d,\"expire\":{\"name\":\"%016x\",\"stamp\":%d}}\n\n",
		position, position, object, stamp.UnixMilli())
}
