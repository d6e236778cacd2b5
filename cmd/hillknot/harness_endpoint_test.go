package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// fakeEndpoint is a page cache that the test plays.
type fakeEndpoint struct {
	net.Listener
	t             *testing.T
	id            string
	messages      chan<- endpointMessage
	acceptGate    sync.Mutex // held: connections don't come up
	acceptedConns []net.Conn // kept, as the collector would close them; only accept uses it
}

// messageKind is what an endpoint has read.
type messageKind string

// The first two are the words of the protocol.
const (
	attemptMessage messageKind = "ASK"
	cancelMessage  messageKind = "QUIT"
	connectionEnd  messageKind = "END"
)

// endpointMessage is what an endpoint has read from the router, complete with its body.
type endpointMessage struct {
	conn      net.Conn
	endpoint  *fakeEndpoint
	kind      messageKind
	requestID string // in 16 hex digits; the protocol's "txn"
	fields    map[string]string
	body      string
}

// newEndpoint returns an endpoint that is not on the router's list yet.
func (r *testRouter) newEndpoint(id string) *fakeEndpoint {
	r.t.Helper()
	e := &fakeEndpoint{Listener: listen(r.t), t: r.t, id: id, messages: r.messages}
	go e.accept()
	return e
}

// listEntry is the endpoint's entry in the endpoint list.
func (e *fakeEndpoint) listEntry(lifecycle string) jsonMap {
	return jsonMap{
		"instanceId":  e.id,
		"hostPort":    e.Addr().String(),
		"zone":        "e",
		"machineType": "box",
		"lifecycle":   lifecycle,
	}
}

func (e *fakeEndpoint) accept() {
	for {
		conn, err := e.Accept()
		if err != nil {
			return
		}
		e.waitForAcceptGate()
		e.acceptedConns = append(e.acceptedConns, conn)
		go e.read(conn)
	}
}

// waitForAcceptGate waits while connections are held back: they stay in the queue of the socket.
func (e *fakeEndpoint) waitForAcceptGate() {
	e.acceptGate.Lock()
	defer e.acceptGate.Unlock()
}

// read passes on what comes on a connection, up to its end.
func (e *fakeEndpoint) read(conn net.Conn) {
	for in := bufio.NewReader(conn); ; {
		line, err := in.ReadString('\n')
		if err != nil {
			e.messages <- endpointMessage{conn: conn, endpoint: e, kind: connectionEnd}
			return
		}
		message, ok := readMessage(strings.Fields(line), in)
		if !ok {
			continue
		}
		message.conn, message.endpoint = conn, e
		e.messages <- message
	}
}

// readMessage reads the message that begins with a line of words. It returns false where this is none.
func readMessage(words []string, in io.Reader) (endpointMessage, bool) {
	switch len(words) {
	case 2:
		return endpointMessage{kind: messageKind(words[0]), requestID: words[1]}, true
	case 4:
		length, _ := strconv.Atoi(words[3]) // 0 where the router writes nonsense, which the test sees
		body := make([]byte, length+2)
		if _, err := io.ReadFull(in, body); err != nil {
			return endpointMessage{}, false
		}
		fields := map[string]string{}
		for _, field := range strings.Split(words[2], ",") {
			key, value, _ := strings.Cut(field, "=")
			fields[key] = value
		}
		return endpointMessage{
			kind:      messageKind(words[0]),
			requestID: words[1],
			fields:    fields,
			body:      string(body[:length]),
		}, true
	}
	return endpointMessage{}, false
}

// holdConnections keeps further connections to the endpoint from coming up, until they are released.
func (e *fakeEndpoint) holdConnections() (release func()) {
	e.t.Helper()
	raw, err := e.Listener.(*net.TCPListener).SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) }) // its queue has one place from now on
	}
	if err != nil {
		e.t.Fatal(err)
	}
	e.acceptGate.Lock()
	queued := e.fillAcceptQueue()
	return sync.OnceFunc(func() {
		for _, conn := range queued {
			conn.Close()
		}
		e.acceptGate.Unlock()
	})
}

// fillAcceptQueue dials until the socket's queue is full, and returns the connections that fill it.
func (e *fakeEndpoint) fillAcceptQueue() (queued []net.Conn) {
	for refused := 0; refused < 2; refused++ { // the first that is taken out of the queue frees its place
		conn, err := net.DialTimeout("tcp", e.Addr().String(), 50*time.Millisecond)
		if err == nil {
			queued, refused = append(queued, conn), -1
		}
	}
	return queued
}

// hangingAddress returns an address at which connections don't come up.
func hangingAddress(t *testing.T) string {
	t.Helper()
	e := (&testRouter{t: t}).newEndpoint("hanging")
	t.Cleanup(e.holdConnections())
	return e.Addr().String()
}

// nextAttempt returns the next message of the router to an endpoint, which must be an attempt.
func (r *testRouter) nextAttempt() endpointMessage {
	r.t.Helper()
	return r.nextMessage(attemptMessage)
}

// nextCancel returns the next message of the router to an endpoint, which must be a cancel.
func (r *testRouter) nextCancel() endpointMessage {
	r.t.Helper()
	return r.nextMessage(cancelMessage)
}

// nextMessage returns the next message, which must be of a kind. Ends of connections are passed over.
func (r *testRouter) nextMessage(kind messageKind) endpointMessage {
	r.t.Helper()
	for {
		select {
		case message := <-r.messages:
			if message.kind == connectionEnd {
				continue
			}
			if message.kind != kind {
				r.t.Fatalf("%s reads %s %s, want %s", message.endpoint.id, message.kind, message.requestID, kind)
			}
			return message
		case <-time.After(harnessTimeout):
			r.t.Fatalf("no %s", kind)
		}
	}
}

// expectNoAttempt checks that no endpoint gets an attempt within a time that is long for it.
func (r *testRouter) expectNoAttempt(when string) {
	r.t.Helper()
	for end := time.After(400 * time.Millisecond); ; {
		select {
		case message := <-r.messages:
			if message.kind == attemptMessage {
				r.t.Errorf("%s: %s is asked for %s", when, message.endpoint.id, message.requestID)
			}
		case <-end:
			return
		}
	}
}

// reply answers: a word of the protocol and what follows it.
func (m endpointMessage) reply(format string, args ...any) {
	fmt.Fprintf(m.conn, m.requestID+" "+format, args...) // a router that has gone reads nothing
}

// serve answers with a body.
func (m endpointMessage) serve(body string) {
	m.reply("DONE res=cached,version=v1 %d\r\n%s\r\n", len(body), body)
}

// fail answers that the endpoint has failed.
func (m endpointMessage) fail() { m.reply("BROKE - 0\r\n\r\n") }
