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

// watchStream is a watch that the router has opened at the discovery service, which the test answers.
type watchStream struct {
	net.Conn
	t           *testing.T
	lastEventID string // the router has the events up to here
}

// serveWatches accepts the router's calls of a discovery service.
func (r *testRouter) serveWatches(discovery net.Listener) {
	for {
		conn, err := discovery.Accept()
		if err != nil {
			return
		}
		r.watches <- watchStream{Conn: conn, t: r.t, lastEventID: readLastEventID(conn)}
	}
}

// readLastEventID reads the head of a call of the discovery service.
func readLastEventID(conn net.Conn) (id string) {
	for in := bufio.NewScanner(conn); in.Scan() && in.Text() != ""; {
		if value, ok := strings.CutPrefix(in.Text(), "Last-Event-ID: "); ok {
			id = value
		}
	}
	return id
}

// acceptWatch takes the next watch, which must go on from an event, and begins its answer.
func (r *testRouter) acceptWatch(lastEventID string) watchStream {
	r.t.Helper()
	select {
	case watch := <-r.watches:
		if watch.lastEventID != lastEventID {
			r.t.Fatalf("discovery is called from event %s, want %s", watch.lastEventID, lastEventID)
		}
		watch.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
		return watch
	case <-time.After(harnessTimeout):
		r.t.Fatal("discovery is not called")
	}
	return watchStream{}
}

// restartDiscovery has the discovery service, which was down, take calls again, and takes the first.
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

// write sends text as it is.
func (w watchStream) write(text string) {
	w.t.Helper()
	if _, err := io.WriteString(w, text); err != nil {
		w.t.Fatal(err)
	}
}

// sendEndpoints sends an event with entries of the endpoint list: all of them where it is complete, else those that change.
func (w watchStream) sendEndpoints(position int, complete bool, hosts ...jsonMap) {
	w.t.Helper()
	text, err := json.Marshal(jsonMap{"pos": position, "hosts": jsonMap{"reset": complete, "instances": hosts}})
	if err != nil {
		w.t.Fatal(err)
	}
	w.write(fmt.Sprintf("id: %d\ndata: %s\n\n", position, text))
}

// sendPurge sends an event that purges an object, stamped by the service's clock.
func (w watchStream) sendPurge(position, object int, stamp time.Time) {
	w.t.Helper()
	w.write(fmt.Sprintf("id: %d\ndata: {\"pos\":%d,\"expire\":{\"name\":\"%016x\",\"stamp\":%d}}\n\n",
		position, position, object, stamp.UnixMilli()))
}
