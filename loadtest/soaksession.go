package loadtest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// soakSession is one connection of a router to a page cache.
type soakSession struct {
	cache *soakCache
	conn  net.Conn

	mu       sync.Mutex
	inFlight map[string]*soakAttempt // by request id
}

func newSoakSession(cache *soakCache, conn net.Conn) *soakSession {
	return &soakSession{cache: cache, conn: conn, inFlight: map[string]*soakAttempt{}}
}

// serve reads commands until the connection ends or a command can't be parsed.
func (s *soakSession) serve() {
	defer s.end()
	for in := bufio.NewReader(s.conn); ; {
		line, err := in.ReadString('\n')
		words := strings.Fields(line)
		if err != nil || len(words) < 2 {
			return
		}
		switch {
		case words[0] == "QUIT":
			s.finish(words[1])
		case words[0] == "ASK" && len(words) == 4:
			if !skipBody(in, words[3]) {
				return
			}
			s.receive(words[1], words[2])
		}
	}
}

// skipBody reads the body of a request and the line end after it, and reports whether both are complete.
func skipBody(in *bufio.Reader, size string) bool {
	const lineEnd = "\r\n"
	n, err := strconv.Atoi(size)
	if err != nil {
		return false
	}
	_, err = io.CopyN(io.Discard, in, int64(n+len(lineEnd)))
	return err == nil
}

// end records that all attempts in flight on the connection end, because the connection is closed next.
func (s *soakSession) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cache.history.update(func() {
		for _, attempt := range s.inFlight {
			attempt.ended = time.Now()
		}
	})
}

// finish records the end of the attempt in flight with a request id, and returns the attempt, or nil if there is none.
func (s *soakSession) finish(id string) *soakAttempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	attempt := s.inFlight[id]
	if attempt == nil {
		return nil
	}
	delete(s.inFlight, id)
	s.cache.history.update(func() { attempt.ended = time.Now() })
	return attempt
}

// receive records an attempt, and answers it according to the mode of the page cache.
func (s *soakSession) receive(id, fields string) {
	attempt := parseSoakAttempt(id, fields)
	attempt.cache, attempt.cell = s.cache.name, s.cache.cell
	mode, delay := s.cache.drawAnswer()
	attempt.ran = mode != modeFull
	s.cache.history.update(func() { s.cache.history.attempts = append(s.cache.history.attempts, attempt) })
	s.mu.Lock()
	s.inFlight[id] = attempt
	s.mu.Unlock()
	if mode != modeHang {
		time.AfterFunc(delay, func() { s.answer(id, mode) })
	}
}

// parseSoakAttempt parses an attempt that has just arrived. A field that can't be parsed stays 0, which the checks of the
// invariants detect.
func parseSoakAttempt(id, fields string) *soakAttempt {
	attempt := &soakAttempt{arrived: time.Now()}
	attempt.txn, _ = strconv.ParseUint(id, 16, 64)
	for _, field := range strings.Split(fields, ",") {
		name, value, _ := strings.Cut(field, "=")
		number, _ := strconv.Atoi(value)
		millis := time.Duration(number) * time.Millisecond
		switch name {
		case "kind":
			attempt.class = value
		case "obj":
			attempt.object = value
		case "fetch":
			attempt.source = value
		case "ms":
			attempt.timeout = millis
		case "newer":
			attempt.maxAge = millis
		}
	}
	return attempt
}

// The large objects.
const (
	soakLargeSuffix = "0" // the names of large objects, one in sixteen, end in this
	soakLargeBytes  = 60_000
)

// soakBody returns the body of an object.
func soakBody(object string) string {
	if strings.HasSuffix(object, soakLargeSuffix) {
		return strings.Repeat("x", soakLargeBytes)
	}
	return "hello"
}

// answer answers an attempt, unless it has ended.
func (s *soakSession) answer(id string, mode cacheMode) {
	attempt := s.finish(id)
	if attempt == nil {
		return
	}
	body := soakBody(attempt.object)
	text := fmt.Sprintf("%s DONE res=cached,version=v1,stamp=%d %d\r\n%s\r\n", id, time.Now().UnixMilli(), len(body), body)
	switch mode {
	case modeErrors:
		text = id + " BROKE - 0\r\n\r\n"
	case modeFull:
		text = id + " WAIT - 0\r\n\r\n"
	case modeTwice:
		text += text
	case modeTruncated:
		text = text[:len(text)-4]
	}
	_, _ = io.WriteString(s.conn, text) // a router that has ended reads no answer
	if mode == modeTruncated {
		_ = s.conn.Close()
	}
}
