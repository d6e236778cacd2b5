package fakes

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

// Request holds a request that an endpoint received: its id, its fields by name, and its body.
type Request struct {
	ID     string
	Fields map[string]string
	Body   []byte
}

// Reply is the scripted reaction of an endpoint to a request.
type Reply struct {
	Status     string // DONE, WAIT and so on; empty: the endpoint never answers
	Fields     string // NAME=VALUE,NAME=VALUE; empty: none
	Body       []byte
	Delay      time.Duration // before the answer; a QUIT that arrives earlier cancels the answer
	Disconnect bool          // the endpoint closes the connection instead of answering
}

// Cache is a fake endpoint: a page cache, a parent or the origin.
type Cache struct {
	*Server
	answer func(Request) Reply
}

// NewCache starts a fake endpoint that listens at address. The endpoint calls answer for each complete request: one call at a
// time for the requests of one connection, and concurrent calls for those of several connections. NewCache returns an error if
// it cannot listen at address.
func NewCache(address string, answer func(Request) Reply) (*Cache, error) {
	c := &Cache{answer: answer}
	var err error
	c.Server, err = Listen(address, c.serve)
	return c, err
}

// maxRequestBodySize is the largest accepted body of a request, in bytes.
const maxRequestBodySize = 1 << 20

// serve answers the requests of one connection until reading or answering one of them fails.
func (c *Cache) serve(conn net.Conn) {
	session := &cacheSession{conn: conn, answer: c.answer, delayTimers: map[string]*time.Timer{}}
	defer session.cancelAllDelayed()
	for in := bufio.NewReader(conn); ; {
		if err := session.serveCommand(in); err != nil {
			return // the router closed the connection or sent an invalid command, or the reply is to disconnect
		}
	}
}

// cacheSession holds the state of one connection from a router.
type cacheSession struct {
	conn   net.Conn
	answer func(Request) Reply

	mu          sync.Mutex             // guards delayTimers and serializes responses
	delayTimers map[string]*time.Timer // timers of the responses that are yet to be sent, by request id
}

// serveCommand reads one command and handles it. After an error the connection must not be used any more.
func (s *cacheSession) serveCommand(in *bufio.Reader) error {
	line, err := in.ReadString('\n')
	if err != nil {
		return err
	}
	words := strings.Fields(line)
	if len(words) < 2 {
		return fmt.Errorf("malformed command %q: want at least 2 words", line)
	}
	switch id := words[1]; words[0] {
	case "QUIT":
		s.cancelDelayed(id)
		return nil
	case "NOOP", "INFO":
		s.send(id, Reply{Status: "FIT"})
		return nil
	}
	request, err := readRequest(in, words)
	if err != nil {
		return err
	}
	return s.reply(request)
}

// readRequest reads the body of a request whose first line consists of words, and returns the request.
func readRequest(in *bufio.Reader, words []string) (Request, error) {
	if words[0] != "ASK" || len(words) != 4 {
		return Request{}, fmt.Errorf("command %q is not of the form ASK ID FIELDS SIZE", words)
	}
	size, err := strconv.ParseUint(words[3], 10, 31)
	if err != nil || size > maxRequestBodySize {
		return Request{}, fmt.Errorf("body size %q is not a number or exceeds the limit", words[3])
	}
	const lineEnd = "\r\n"
	body := make([]byte, int(size)+len(lineEnd))
	if _, err := io.ReadFull(in, body); err != nil {
		return Request{}, err
	}
	request := Request{ID: words[1], Fields: map[string]string{}, Body: body[:size]}
	for _, field := range strings.Split(words[2], ",") {
		name, value, _ := strings.Cut(field, "=")
		request.Fields[name] = value
	}
	return request, nil
}

// reply answers a request as the caller of NewCache scripted it. It returns io.EOF if the connection is to be closed.
func (s *cacheSession) reply(request Request) error {
	reply := s.answer(request)
	switch {
	case reply.Disconnect:
		return io.EOF
	case reply.Status == "":
	case reply.Delay > 0:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.delayTimers[request.ID] = time.AfterFunc(reply.Delay, func() { s.send(request.ID, reply) })
	default:
		s.send(request.ID, reply)
	}
	return nil
}

// send sends a response. It ignores write errors, because the router may have closed the connection.
func (s *cacheSession) send(id string, reply Reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.delayTimers, id)
	fields := reply.Fields
	if fields == "" {
		fields = "-"
	}
	response := fmt.Appendf(nil, "%s %s %s %d\r\n", id, reply.Status, fields, len(reply.Body))
	response = append(response, reply.Body...)
	_, _ = s.conn.Write(append(response, "\r\n"...))
}

// cancelDelayed cancels the delayed response to a request, if there is one.
func (s *cacheSession) cancelDelayed(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if timer := s.delayTimers[id]; timer != nil {
		timer.Stop()
		delete(s.delayTimers, id)
	}
}

// cancelAllDelayed cancels all delayed responses.
func (s *cacheSession) cancelAllDelayed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, timer := range s.delayTimers {
		timer.Stop()
	}
}
