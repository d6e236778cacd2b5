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

// Request is a request as an endpoint receives it.
type Request struct {
	ID     string
	Fields map[string]string
	Body   []byte
}

// Reply says what an endpoint does with a request.
type Reply struct {
	Status     string // DONE, WAIT and so on; empty: it never answers
	Fields     string // empty: none
	Body       []byte
	Delay      time.Duration // before the answer; a QUIT meanwhile cancels that
	Disconnect bool          // it closes the connection instead of answering
}

// Cache plays an endpoint: a page cache, a parent or the origin.
type Cache struct {
	*Server
	answer func(Request) Reply
}

// NewCache starts an endpoint at an address. It calls answer for each complete request: the requests of one connection one
// after the other, those of several connections at the same time.
func NewCache(address string, answer func(Request) Reply) (*Cache, error) {
	c := &Cache{answer: answer}
	var err error
	c.Server, err = Listen(address, c.serve)
	return c, err
}

// maxRequestBody bounds the body of a request, in bytes.
const maxRequestBody = 1 << 20

// serve answers the requests of one connection.
func (c *Cache) serve(conn net.Conn) {
	session := &cacheSession{conn: conn, answer: c.answer, delayed: map[string]*time.Timer{}}
	defer session.cancelAll()
	for in := bufio.NewReader(conn); ; {
		if err := session.serveNext(in); err != nil {
			return // the router has gone, or sent what no router may: either way the connection ends
		}
	}
}

// cacheSession is the state of one connection of a router.
type cacheSession struct {
	conn   net.Conn
	answer func(Request) Reply

	mu      sync.Mutex             // also serializes responses
	delayed map[string]*time.Timer // of the responses that are still to be sent, by request id
}

// serveNext reads a command and handles it. After an error the connection cannot be used any more.
func (s *cacheSession) serveNext(in *bufio.Reader) error {
	line, err := in.ReadString('\n')
	if err != nil {
		return err
	}
	words := strings.Fields(line)
	if len(words) < 2 {
		return fmt.Errorf("malformed command: %q", line)
	}
	switch id := words[1]; words[0] {
	case "QUIT":
		s.cancel(id)
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

// readRequest reads the rest of a request whose first line has been read.
func readRequest(in *bufio.Reader, words []string) (Request, error) {
	if words[0] != "ASK" || len(words) != 4 {
		return Request{}, fmt.Errorf("unknown command: %q", words)
	}
	size, err := strconv.ParseUint(words[3], 10, 31)
	if err != nil || size > maxRequestBody {
		return Request{}, fmt.Errorf("invalid body length: %q", words[3])
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

// reply answers a request as the script says.
func (s *cacheSession) reply(request Request) error {
	reply := s.answer(request)
	switch {
	case reply.Disconnect:
		return io.EOF
	case reply.Status == "":
	case reply.Delay > 0:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.delayed[request.ID] = time.AfterFunc(reply.Delay, func() { s.send(request.ID, reply) })
	default:
		s.send(request.ID, reply)
	}
	return nil
}

// send sends a response. A router that has gone reads nothing, which is not an error.
func (s *cacheSession) send(id string, reply Reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.delayed, id)
	fields := reply.Fields
	if fields == "" {
		fields = "-"
	}
	response := fmt.Appendf(nil, "%s %s %s %d\r\n", id, reply.Status, fields, len(reply.Body))
	response = append(response, reply.Body...)
	_, _ = s.conn.Write(append(response, "\r\n"...))
}

// cancel drops the delayed response to a request, if there is one.
func (s *cacheSession) cancel(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if timer := s.delayed[id]; timer != nil {
		timer.Stop()
		delete(s.delayed, id)
	}
}

// cancelAll drops all delayed responses.
func (s *cacheSession) cancelAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, timer := range s.delayed {
		timer.Stop()
	}
}
