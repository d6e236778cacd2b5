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
	acceptGate    sync.Mutex // locked while no connection may come up
	acceptedConns []net.Conn // kept because the garbage collector would close them; used by accept only
}

// messageKind is the kind of a message that an endpoint has read.
type messageKind string

// The kinds of messages. The values of the first two are the words of the protocol.
const (
	attemptMessage messageKind = "ASK"
	cancelMessage  messageKind = "QUIT"
	connectionEnd  messageKind = "END"
)

// endpointMessage is a complete message that an endpoint has read from the router.
type endpointMessage struct {
	conn      net.Conn
	endpoint  *fakeEndpoint
	kind      messageKind
	requestID string // 16 hex digits; "txn" in the protocol
	fields    map[string]string
	body      string
}

// newEndpoint starts an endpoint that is not on the endpoint list of the router yet.
func (r *testRouter) newEndpoint(id string) *fakeEndpoint {
	r.t.Helper()
	e := &fakeEndpoint{Listener: listen(r.t), t: r.t, id: id, messages: r.messages}
	go e.accept()
	return e
}

// listEntry returns the entry of the endpoint in the endpoint list.
func (e *fakeEndpoint) listEntry(lifecycle string) jsonMap {
	return jsonMap{
		"instanceId":  e.id,
		"hostPort":    e.Addr().String(),
		"zone":        "e",
		"machineType": "box",
		"lifecycle":   lifecycle,
	}
}

// accept accepts connections and starts to read them.
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

// waitForAcceptGate waits while connections are held back. They stay in the accept queue of the socket.
func (e *fakeEndpoint) waitForAcceptGate() {
	e.acceptGate.Lock()
	defer e.acceptGate.Unlock()
}

// read sends the messages that arrive on a connection to e.messages, and connectionEnd when the connection ends.
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

// readMessage reads the rest of the message whose first line has these words. It returns false if the line does not begin a
// complete message.
func readMessage(words []string, in io.Reader) (endpointMessage, bool) {
	switch len(words) {
	case 2:
		return endpointMessage{kind: messageKind(words[0]), requestID: words[1]}, true
	case 4:
		length, _ := strconv.Atoi(words[3]) // 0 if the router sends no number, which makes the test fail
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

// holdConnections keeps new connections to the endpoint from coming up until release is called.
func (e *fakeEndpoint) holdConnections() (release func()) {
	e.t.Helper()
	raw, err := e.Listener.(*net.TCPListener).SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) }) // its accept queue has one place from now on
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

// fillAcceptQueue dials until the accept queue of the socket is full, and returns the connections that fill it.
func (e *fakeEndpoint) fillAcceptQueue() (queued []net.Conn) {
	for refused := 0; refused < 2; refused++ { // two in a row: the first connection that leaves the queue frees its place
		conn, err := net.DialTimeout("tcp", e.Addr().String(), 50*time.Millisecond)
		if err == nil {
			queued, refused = append(queued, conn), -1
		}
	}
	return queued
}

// hangingAddress returns an address at which no connection comes up.
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

// handleAttempts calls handle with each attempt until stop is closed.
func (r *testRouter) handleAttempts(stop <-chan bool, handle func(endpointMessage)) {
	for {
		select {
		case message := <-r.messages:
			if message.kind == attemptMessage {
				handle(message)
			}
		case <-stop:
			return
		}
	}
}

// nextCancel returns the next message of the router to an endpoint, which must be a cancel.
func (r *testRouter) nextCancel() endpointMessage {
	r.t.Helper()
	return r.nextMessage(cancelMessage)
}

// nextMessage returns the next message, which must be of this kind. It skips ends of connections.
func (r *testRouter) nextMessage(kind messageKind) endpointMessage {
	r.t.Helper()
	for {
		select {
		case message := <-r.messages:
			if message.kind == connectionEnd {
				continue
			}
			if message.kind != kind {
				r.t.Fatalf("%s got the message %s %s, want %s", message.endpoint.id, message.kind, message.requestID, kind)
			}
			return message
		case <-time.After(harnessTimeout):
			r.t.Fatalf("no endpoint got a message %s in time", kind)
		}
	}
}

// expectNoAttempt checks that no endpoint gets an attempt within 400 ms, which is much longer than an attempt takes to arrive.
func (r *testRouter) expectNoAttempt(when string) {
	r.t.Helper()
	for end := time.After(400 * time.Millisecond); ; {
		select {
		case message := <-r.messages:
			if message.kind == attemptMessage {
				r.t.Errorf("%s: %s got an attempt for %s", when, message.endpoint.id, message.requestID)
			}
		case <-end:
			return
		}
	}
}

// reply writes an answer to the message: a status word of the protocol and what follows it.
func (m endpointMessage) reply(format string, args ...any) {
	fmt.Fprintf(m.conn, m.requestID+" "+format, args...) // fails if the router has closed the connection
}

// serve answers that the request was served, with a body.
func (m endpointMessage) serve(body string) {
	m.reply("DONE res=cached,version=v1 %d\r\n%s\r\n", len(body), body)
}

// fail answers that the endpoint has failed.
func (m endpointMessage) fail() { m.reply("BROKE - 0\r\n\r\n") }
