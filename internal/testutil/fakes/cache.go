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

// Ask is a request as a page cache gets it.
type Ask struct {
	ID     string
	Fields map[string]string
	Body   []byte
}

// Reply is what a page cache does with a request.
type Reply struct {
	Word   string // DONE, WAIT and so on; empty: it never answers
	Fields string // empty: none
	Body   []byte
	After  time.Duration // how long that takes; a QUIT ends it
	Break  bool          // it closes the connection instead
}

// Cache plays a page cache, a parent or the origin.
type Cache struct {
	*listener
	answer func(Ask) Reply
}

// NewCache listens. Answer is called for each request that has come whole, for one connection at a time.
func NewCache(addr string, answer func(Ask) Reply) (*Cache, error) {
	c := &Cache{answer: answer}
	var err error
	c.listener, err = listen(addr, c.serve)
	return c, err
}

const bodyMost = 1 << 20

func (c *Cache) serve(nc net.Conn) {
	var mu sync.Mutex
	waits := map[string]*time.Timer{} // of the answers that take their time
	defer func() {
		mu.Lock()
		defer mu.Unlock()
		for _, t := range waits {
			t.Stop()
		}
	}()
	send := func(id string, r Reply) {
		mu.Lock()
		defer mu.Unlock()
		delete(waits, id)
		f := r.Fields
		if f == "" {
			f = "-"
		}
		// A router that has gone reads nothing.
		_, _ = nc.Write(append(append(fmt.Appendf(nil, "%s %s %s %d\r\n", id, r.Word, f, len(r.Body)), r.Body...), "\r\n"...))
	}
	for in := bufio.NewReader(nc); ; {
		line, err := in.ReadString('\n')
		words := strings.Fields(line)
		switch {
		case err != nil || len(words) < 2:
			return
		case words[0] == "QUIT":
			mu.Lock()
			if t := waits[words[1]]; t != nil {
				t.Stop()
				delete(waits, words[1])
			}
			mu.Unlock()
			continue
		case words[0] == "NOOP" || words[0] == "INFO":
			send(words[1], Reply{Word: "FIT"})
			continue
		}
		a, err := ask(in, words)
		if err != nil {
			return
		}
		r := c.answer(a)
		switch {
		case r.Break:
			return
		case r.Word == "":
		case r.After > 0:
			mu.Lock()
			waits[a.ID] = time.AfterFunc(r.After, func() { send(a.ID, r) })
			mu.Unlock()
		default:
			send(a.ID, r)
		}
	}
}

func ask(in *bufio.Reader, words []string) (Ask, error) {
	if words[0] != "ASK" || len(words) != 4 {
		return Ask{}, fmt.Errorf("not understood: %q", words)
	}
	n, err := strconv.ParseUint(words[3], 10, 31)
	if err != nil || n > bodyMost {
		return Ask{}, fmt.Errorf("length %q", words[3])
	}
	a := Ask{ID: words[1], Fields: map[string]string{}, Body: make([]byte, n+2)}
	for _, f := range strings.Split(words[2], ",") {
		k, v, _ := strings.Cut(f, "=")
		a.Fields[k] = v
	}
	_, err = io.ReadFull(in, a.Body)
	a.Body = a.Body[:n]
	return a, err
}
