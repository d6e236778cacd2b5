// Command toy plays all that a router talks to, on loopback: a journal service, two page caches, and the
// origin that they fill from. It is for trying things out; it answers at once and keeps all it was asked for.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func main() {
	journal := flag.String("journal", "127.0.0.1:7010", "address of the journal service")
	caches := flag.String("caches", "127.0.0.2:7001,127.0.0.3:7001", "addresses of the page caches")
	flag.Parse()
	for _, addr := range strings.Split(*caches, ",") {
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			log.Fatal(err)
		}
		go serve(ln, &cache{held: map[string]bool{}})
	}
	log.Print("toy journal and page caches are up")
	http.HandleFunc("GET /journal", follow)
	log.Fatal(http.ListenAndServe(*journal, nil))
}

// follow tells nothing new, but a comment each second shows that the journal lives.
func follow(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	for {
		if _, err := io.WriteString(w, ": alive\n\n"); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(time.Second):
		}
	}
}

// cache is a page cache that never drops anything.
type cache struct {
	mu   sync.Mutex
	held map[string]bool
}

func serve(ln net.Listener, c *cache) {
	for {
		nc, err := ln.Accept()
		if err != nil {
			log.Fatal(err)
		}
		go func() {
			defer nc.Close()
			if err := c.talk(nc); err != nil && err != io.EOF {
				log.Printf("%v: %v", nc.RemoteAddr(), err)
			}
		}()
	}
}

func (c *cache) talk(nc net.Conn) error {
	r := bufio.NewReader(nc)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return err
		}
		f := strings.Fields(line)
		switch {
		case len(f) == 2 && f[0] == "QUIT": // all was answered at once
		case len(f) == 4 && f[0] == "ASK":
			n, err := strconv.Atoi(f[3])
			if err != nil || n < 0 || n > 1<<16 {
				return fmt.Errorf("bad length in %q", line)
			}
			if _, err := r.Discard(n + 2); err != nil {
				return err
			}
			if _, err := io.WriteString(nc, c.answer(f[1], fields(f[2]))); err != nil {
				return err
			}
		default:
			return fmt.Errorf("not understood: %q", line)
		}
	}
}

func fields(s string) map[string]string {
	m := map[string]string{}
	for _, f := range strings.Split(s, ",") {
		k, v, _ := strings.Cut(f, "=")
		m[k] = v
	}
	return m
}

func (c *cache) answer(id string, f map[string]string) string {
	part := f["obj"] + "/" + f["seg"]
	c.mu.Lock()
	hit := c.held[part] && f["retain"] != "" // what is not kept runs anew each time
	c.held[part] = c.held[part] || f["retain"] != ""
	c.mu.Unlock()
	note := "cached"
	if !hit {
		if note = "fetched_root"; f["fetch"] == "" {
			return fmt.Sprintf("%s LACK - 0\r\n\r\n", id)
		}
	}
	log.Printf("%s %s: %s", f["kind"], part, note)
	body := "score " + part + "\n"
	return fmt.Sprintf("%s DONE res=%s,version=%s,stamp=%d %d\r\n%s\r\n", id, note, f["obj"], time.Now().UnixMilli(), len(body), body)
}
