package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// journal stands in for the journal service.
type journal struct {
	address string
	ln      net.Listener

	mu         sync.Mutex
	events     []string      // JSON of the events; the position of the first is 1
	slow       time.Duration // time from a call to the first byte of its answer
	conns      map[net.Conn]bool
	calls      int
	firstBytes int // calls that got the first byte of their answer
}

// newJournal starts a journal service on a free port.
func newJournal() (*journal, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	j := &journal{address: ln.Addr().String(), ln: ln, conns: map[net.Conn]bool{}}
	go j.accept()
	return j, nil
}

// publish adds an event, given without its position, and returns the position.
func (j *journal) publish(content string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	position := len(j.events) + 1
	j.events = append(j.events, fmt.Sprintf(`{"pos":%d,%s}`, position, content))
	return position
}

// known returns the configuration's key known: all events so far.
func (j *journal) known() string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return fmt.Sprintf(`{"pos":%d,"entries":[%s]}`, len(j.events), strings.Join(j.events, ","))
}

// setSlow sets the time from a call to the first byte of its answer.
func (j *journal) setSlow(slow time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.slow = slow
}

// breakOff ends all open connections.
func (j *journal) breakOff() {
	j.mu.Lock()
	defer j.mu.Unlock()
	for c := range j.conns {
		_ = c.Close()
	}
}

// counts returns the calls so far, and how many of them got the first byte of their answer.
func (j *journal) counts() (calls, answered int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.calls, j.firstBytes
}

func (j *journal) accept() {
	for {
		conn, err := j.ln.Accept()
		if err != nil {
			return
		}
		go j.serve(conn)
	}
}

// serve answers one call: it sends the events after Last-Event-ID as they come, and a comment each second.
func (j *journal) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	position, ok := readWatch(conn)
	if !ok {
		return
	}
	j.mu.Lock()
	j.calls++
	j.conns[conn] = true
	slow := j.slow
	j.mu.Unlock()
	defer func() {
		j.mu.Lock()
		delete(j.conns, conn)
		j.mu.Unlock()
	}()
	time.Sleep(slow)
	if _, err := conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: hello\n\n")); err != nil {
		return
	}
	j.mu.Lock()
	j.firstBytes++
	j.mu.Unlock()
	for commentAt := time.Now().Add(time.Second); ; time.Sleep(5 * time.Millisecond) {
		text := ""
		j.mu.Lock()
		for ; position < len(j.events); position++ {
			text += fmt.Sprintf("id: %d\ndata: %s\n\n", position+1, j.events[position])
		}
		j.mu.Unlock()
		if time.Now().After(commentAt) {
			commentAt = commentAt.Add(time.Second)
			text += ": still here\n\n"
		}
		if _, err := conn.Write([]byte(text)); err != nil {
			return
		}
	}
}

// readWatch reads the call GET /journal and returns its Last-Event-ID.
func readWatch(conn net.Conn) (position int, ok bool) {
	reader := bufio.NewReader(conn)
	for first := true; ; first = false {
		line, err := reader.ReadString('\n')
		line = strings.TrimSpace(line)
		switch {
		case err != nil || first && !strings.HasPrefix(line, "GET /journal "):
			return 0, false
		case line == "":
			return position, true
		}
		if name, value, _ := strings.Cut(line, ":"); strings.EqualFold(name, "Last-Event-ID") {
			position, _ = strconv.Atoi(strings.TrimSpace(value))
		}
	}
}

// instance returns an entry of a list event.
func instance(name, address, zone, kind string, cell int, state string) string {
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":%q,"machineType":%q,"cell":%d,"lifecycle":%q,"weight":1,"startedAtMs":0}`,
		name, address, zone, kind, cell, state)
}

// hosts returns a list event: the whole list if complete, else changes.
func hosts(complete bool, instances ...string) string {
	return fmt.Sprintf(`"hosts":{"generation":1,"reset":%t,"instances":[%s]}`, complete, strings.Join(instances, ","))
}
