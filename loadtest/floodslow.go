package loadtest

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// This file holds the peers that take long: they write slowly, stop in the middle of a message, or send very many short fields.

const (
	slowPieceBytes    = 64                    // written at a time by a slow peer
	slowPieceInterval = 20 * time.Millisecond // between two pieces
	manyFields        = 8000                  // short fields in one message
)

// writeSlowly writes bytes in small pieces until the connection ends.
func writeSlowly(conn net.Conn, b []byte) error {
	for len(b) > 0 {
		n := min(slowPieceBytes, len(b))
		if _, err := conn.Write(b[:n]); err != nil {
			return err
		}
		b = b[n:]
		time.Sleep(slowPieceInterval)
	}
	return nil
}

// thenWait returns a use of a connection that writes bytes at once, and then reads until the router closes it.
func thenWait(message func() []byte) func(*floodRun, net.Conn) {
	return writeThenRead(message, func(conn net.Conn, b []byte) error {
		_, err := conn.Write(b)
		return err
	})
}

// slowly returns a use of a connection that writes bytes slowly, and then reads until the router closes it.
func slowly(message func() []byte) func(*floodRun, net.Conn) {
	return writeThenRead(message, writeSlowly)
}

// writeThenRead returns a use of a connection that writes bytes with a function, and then reads until the router closes it.
func writeThenRead(message func() []byte, write func(net.Conn, []byte) error) func(*floodRun, net.Conn) {
	return func(_ *floodRun, conn net.Conn) {
		if write(conn, message()) == nil { // otherwise the router has closed the connection
			_, _ = io.Copy(io.Discard, conn)
		}
		time.Sleep(slowPieceInterval) // leaves the processors to the steady client
	}
}

// startConnsAt returns the start of a flood of connections to a port of the router's address.
func startConnsAt(port, conns int, use func(*floodRun, net.Conn)) func(*floodRun) *sync.WaitGroup {
	return func(run *floodRun) *sync.WaitGroup { return run.startConnsTo(run.router.addressOf(port), conns, use) }
}

// largeRequest returns a request with a large body.
func largeRequest() []byte {
	message, _ := bodyRequests(nil, 1, 1)
	return message
}

// halfRequest returns the first half of a large request.
func halfRequest() []byte { return largeRequest()[:floodBodyBytes/2] }

// fieldsRequest returns a request with very many short fields that no router knows.
func fieldsRequest() []byte {
	const arrayOf4, emptyString, map16 = 0x94, 0xa0, 0xde
	message := []byte{arrayOf4, 0, 1}
	message = append(message, 0xa0|byte(len(classPage)))
	message = append(message, classPage...)
	message = append(message, 0x91, map16)
	message = binary.BigEndian.AppendUint16(message, manyFields)
	for i := range manyFields {
		message = append(message, 0xa4)
		message = fmt.Appendf(message, "%04x", i)
		message = append(message, emptyString)
	}
	return message
}

// halfAnswers reads attempts and answers each with the first half of a large body.
func halfAnswers(_ *floodPeers, conn net.Conn) {
	answerAttempts(conn, func(txn string) error {
		_, err := fmt.Fprintf(conn, "%s DONE res=cached,version=v %d\r\n%s", txn, largestBody, strings.Repeat("x", largestBody/2))
		return err
	})
}

// slowAnswers reads attempts and answers each with a large body, slowly.
func slowAnswers(_ *floodPeers, conn net.Conn) {
	answerAttempts(conn, func(txn string) error {
		return writeSlowly(conn, fmt.Appendf(nil, "%s DONE res=cached,version=v %d\r\n%s", txn, largestBody, strings.Repeat("x", largestBody)))
	})
}

// fieldAnswers reads attempts and answers each with very many short fields.
func fieldAnswers(_ *floodPeers, conn net.Conn) {
	fields := strings.Repeat("a=b,", manyFields)
	answerAttempts(conn, func(txn string) error {
		_, err := fmt.Fprintf(conn, "%s DONE %sres=cached 1\r\nx\r\n", txn, fields)
		return err
	})
}

// largestBody is the size of the largest object, in bytes.
const largestBody = 240_000

// answerAttempts calls answer with the txn of each attempt on a connection, until it ends.
func answerAttempts(conn net.Conn, answer func(txn string) error) {
	for in := bufio.NewReader(conn); ; {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		if words := strings.Fields(line); len(words) == 4 && words[0] == "ASK" {
			if answer(words[1]) != nil {
				return
			}
		}
	}
}

// slowEvents sends a complete list slowly.
func slowEvents(p *floodPeers, conn net.Conn) {
	_ = writeSlowly(conn, []byte(p.longListEvent()))
}

// halfEvents sends half of a complete list and stops.
func halfEvents(p *floodPeers, conn net.Conn) {
	list := p.longListEvent()
	_, _ = conn.Write([]byte(list[:len(list)/2]))
	_, _ = io.Copy(io.Discard, conn)
}

// fieldEvents sends events with very many short fields that no router knows.
func fieldEvents(p *floodPeers, conn net.Conn) {
	var fields strings.Builder
	for i := range 8 * manyFields {
		fmt.Fprintf(&fields, `"%05x":1,`, i)
	}
	p.writeEvents(conn, func(position int) string {
		return fields.String() + fmt.Sprintf(`"expire":{"name":"%016x","stamp":1}`, position<<20)
	})
}

// newNames sends changes that add an endpoint under a new name each, at the address of the one before, which is gone.
func newNames(p *floodPeers, conn net.Conn) {
	p.writeEvents(conn, func(position int) string {
		return endpointsEvent(position, false, []endpoint{
			newEndpoint(fmt.Sprintf("new-%d", position), p.cacheAddress(0), stateReady),
			newEndpoint(fmt.Sprintf("new-%d", position-1), p.cacheAddress(0), stateGone),
		})
	})
}

// httpFields returns the head of an HTTP request with very many short fields.
func httpFields() []byte {
	return []byte("GET /status HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a: b\r\n", manyFields) + "\r\n")
}

// halfHTTP returns half of the head of an HTTP request.
func halfHTTP() []byte {
	return []byte("POST /standby HTTP/1.1\r\nHost: x\r\nContent-Length: 4000\r\n")
}

// halfDNSMessage returns the first bytes of the longest DNS message over TCP.
func halfDNSMessage() []byte {
	return append(binary.BigEndian.AppendUint16(nil, 1<<16-1), make([]byte, 1<<15)...)
}

// manyLabels returns a DNS message over TCP with very many questions of short labels.
func manyLabels() []byte {
	question := append([]byte(strings.Repeat("\x01a", 100)), 0, 0, 1, 0, 1)
	count := 60_000 / len(question)
	message := []byte{0, 1, 1, 0}
	message = binary.BigEndian.AppendUint16(message, uint16(count))
	message = append(message, 0, 0, 0, 0, 0, 0)
	for range count {
		message = append(message, question...)
	}
	return append(binary.BigEndian.AppendUint16(nil, uint16(len(message))), message...)
}
