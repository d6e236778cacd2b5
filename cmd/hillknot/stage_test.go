package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// A stage is a router on real connections whose page caches, journal and clients the test plays, one step after the
// other: nothing goes on until the test has seen what it waits for, so the order of events is the same on every run.
type stage struct {
	t       *testing.T
	clients net.Listener
	signals chan os.Signal
	ended   chan error // of the router
	path    string     // of the configuration
	conf    map[string]any
	caches  []*prop
	calls   chan watch // of the router to the journal
	journal net.Listener
	asked   chan ask
}

// prop is a page cache that the test plays.
type prop struct {
	net.Listener
	s    *stage
	id   string
	gate sync.Mutex // held: connections don't come up
	mu   sync.Mutex
	open []net.Conn
}

// ask is a line that the router has written to a page cache, read whole with its body.
type ask struct {
	nc     net.Conn
	at     *prop
	word   string // ASK or QUIT; END: the connection has ended
	txn    string
	fields map[string]string
	body   string
}

type jsonMap = map[string]any

const ms = 1000 // of a setting in microseconds

// newStage returns a stage with so many page caches, whose router is not started yet.
func newStage(t *testing.T, caches int) *stage {
	t.Helper()
	s := &stage{t: t, clients: feed(t), calls: make(chan watch, 100), asked: make(chan ask, 1000), journal: feed(t),
		signals: make(chan os.Signal, 4), ended: make(chan error, 1)}
	var hosts []jsonMap
	for i := range caches {
		p := &prop{Listener: feed(t), s: s, id: fmt.Sprintf("s-%d", i)}
		go p.accept()
		s.caches = append(s.caches, p)
		hosts = append(hosts, p.host("ready"))
	}
	hosts = append(hosts, jsonMap{"instanceId": "origin", "hostPort": nobody, "zone": "hub", "machineType": "store", "lifecycle": "ready"})
	s.conf = jsonMap{"listen": s.clients.Addr().String(), "journal": s.journal.Addr().String(),
		"known": jsonMap{"pos": 1, "entries": []jsonMap{{"pos": 1, "hosts": jsonMap{"reset": true, "instances": hosts}}}},
		"settings": jsonMap{"dcs": []string{"hub", "e"}, "locality": "e", "hostTypes": []string{"box", "store"},
			"allowed": jsonMap{"cancel": true, "maxAttempts": 6, "retryAfter": true, "maxRetryAfterUs": 100 * ms, "connectTimeoutUs": 5000 * ms},
			"profiles": []jsonMap{{"name": "page", "repeat": "safe", "deadlineUs": 3000 * ms, "promiseUs": 2500 * ms, "worth": 1},
				{"name": "order", "repeat": "unsafe", "deadlineUs": 3000 * ms, "promiseUs": 2500 * ms, "worth": 1},
				{"name": "filed", "repeat": "keyed", "group": "all", "windowUs": 900 * ms, "deadlineUs": 3000 * ms, "promiseUs": 2500 * ms, "worth": 1}},
			"specifics": jsonMap{"instancesByZone": []int{0, 1}, "midKind": -1, "storeKind": 1, "classWrite": []bool{false, true, true}}}}
	go s.listen(s.journal)
	return s
}

// set changes a setting, by its path.
func (s *stage) set(v any, path ...string) {
	o := s.conf
	for _, k := range path[:len(path)-1] {
		o = o[k].(jsonMap)
	}
	o[path[len(path)-1]] = v
}

// listen takes the router's calls to a journal.
func (s *stage) listen(ln net.Listener) {
	for {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		w := watch{Conn: nc, t: s.t}
		for in := bufio.NewScanner(nc); in.Scan() && in.Text() != ""; {
			if from, ok := strings.CutPrefix(in.Text(), "Last-Event-ID: "); ok {
				w.from = from
			}
		}
		s.calls <- w
	}
}

// watch is a call of the router to the journal, which the test answers.
type watch struct {
	net.Conn
	t    *testing.T
	from string // the event that it goes on from
}

// watched takes the next call, which must go on from an event, and begins its answer.
func (s *stage) watched(from string) watch {
	s.t.Helper()
	select {
	case w := <-s.calls:
		if w.from != from {
			s.t.Fatalf("the journal is called from event %s, want %s", w.from, from)
		}
		w.raw("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
		return w
	case <-time.After(20 * time.Second):
		s.t.Fatal("the journal is not called")
	}
	return watch{}
}

// backAt has the journal, which was down, take calls again, and takes the first.
func (s *stage) backAt(addr string) watch {
	s.t.Helper()
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { ln.Close() })
	go s.listen(ln)
	return s.watched("1")
}

func (w watch) raw(text string) {
	w.t.Helper()
	if _, err := io.WriteString(w, text); err != nil {
		w.t.Fatal(err)
	}
}

// tell tells an event: the list's lines, or a purge.
func (w watch) tell(pos int, full bool, hosts ...jsonMap) {
	w.t.Helper()
	text, err := json.Marshal(jsonMap{"pos": pos, "hosts": jsonMap{"reset": full, "instances": hosts}})
	if err != nil {
		w.t.Fatal(err)
	}
	w.raw(fmt.Sprintf("id: %d\ndata: %s\n\n", pos, text))
}

// write writes the configuration as it is now.
func (s *stage) write() {
	s.t.Helper()
	text, err := json.Marshal(s.conf)
	if err == nil {
		err = os.WriteFile(s.path, text, 0o600)
	}
	if err != nil {
		s.t.Fatal(err)
	}
}

// start starts the router, and ends it with the test.
func (s *stage) start() *stage {
	s.t.Helper()
	inherit(s.t, s.clients)
	s.t.Setenv("TMPDIR", s.t.TempDir())
	s.path = filepath.Join(s.t.TempDir(), "config.json")
	s.write()
	up := make(chan bool, 1)
	go func() {
		s.ended <- runRouter(routerOptions{configPath: s.path, getenv: os.Getenv, signals: s.signals, onServing: func(net.Addr) { up <- true }})
	}()
	select {
	case <-up:
	case err := <-s.ended:
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() {
		select {
		case s.signals <- syscall.SIGTERM:
		default: // it has ended
		}
		for _, p := range s.caches {
			p.Close()
		}
		if err := <-s.ended; err != nil {
			s.t.Error(err)
		}
		s.ended <- nil
	})
	return s
}

// host is the line of a page cache on the journal's list.
func (p *prop) host(state string) jsonMap {
	return jsonMap{"instanceId": p.id, "hostPort": p.Addr().String(), "zone": "e", "machineType": "box", "lifecycle": state}
}

func (p *prop) accept() {
	for {
		nc, err := p.Accept()
		if err != nil {
			return
		}
		p.pass()
		p.mu.Lock()
		p.open = append(p.open, nc)
		p.mu.Unlock()
		go p.read(nc)
	}
}

// pass waits while the page cache is held back: a connection stays in the queue of its socket.
func (p *prop) pass() {
	p.gate.Lock()
	defer p.gate.Unlock()
}

func (p *prop) read(nc net.Conn) {
	for in := bufio.NewReader(nc); ; {
		line, err := in.ReadString('\n')
		words := strings.Fields(line)
		switch {
		case err != nil:
			p.s.asked <- ask{nc: nc, at: p, word: "END"}
			return
		case len(words) == 2:
			p.s.asked <- ask{nc: nc, at: p, word: words[0], txn: words[1]}
		case len(words) == 4:
			n, _ := strconv.Atoi(words[3]) // 0 where the router writes nonsense, which the test sees
			body := make([]byte, n+2)
			if _, err := io.ReadFull(in, body); err != nil {
				continue
			}
			a := ask{nc: nc, at: p, word: words[0], txn: words[1], fields: map[string]string{}, body: string(body[:n])}
			for _, f := range strings.Split(words[2], ",") {
				k, v, _ := strings.Cut(f, "=")
				a.fields[k] = v
			}
			p.s.asked <- a
		}
	}
}

// hold keeps further connections to the page cache from coming up, until it is released.
func (p *prop) hold() (release func()) {
	p.s.t.Helper()
	raw, err := p.Listener.(*net.TCPListener).SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) }) // its queue has one place from now on
	}
	if err != nil {
		p.s.t.Fatal(err)
	}
	p.gate.Lock()
	var filled []net.Conn
	for full := 0; full < 2; full++ { // the first that is taken out of the queue frees its place
		nc, err := net.DialTimeout("tcp", p.Addr().String(), 50*time.Millisecond)
		if err == nil {
			filled, full = append(filled, nc), -1
		}
	}
	return sync.OnceFunc(func() {
		for _, nc := range filled {
			nc.Close()
		}
		p.gate.Unlock()
	})
}

// next returns the next that a page cache reads, which must be this; what is over is passed by.
func (s *stage) next(word string) ask {
	s.t.Helper()
	for {
		select {
		case a := <-s.asked:
			if a.word == "END" && word != "END" {
				continue
			}
			if a.word != word {
				s.t.Fatalf("%s reads %s %s, want %s", a.at.id, a.word, a.txn, word)
			}
			return a
		case <-time.After(20 * time.Second):
			s.t.Fatalf("no %s", word)
		}
	}
}

// none tells that no page cache is asked for anything within a time that is long for it.
func (s *stage) none(what string) {
	s.t.Helper()
	for end := time.After(400 * time.Millisecond); ; {
		select {
		case a := <-s.asked:
			if a.word == "ASK" {
				s.t.Errorf("%s: %s is asked for %s", what, a.at.id, a.txn)
			}
		case <-end:
			return
		}
	}
}

// say answers: a word and what follows it.
func (a ask) say(format string, args ...any) {
	fmt.Fprintf(a.nc, a.txn+" "+format, args...) // a router that has gone reads nothing
}

// done serves.
func (a ask) done(body string) { a.say("DONE res=cached,version=v1 %d\r\n%s\r\n", len(body), body) }

// user is a client's connection.
type user struct {
	s   *stage
	nc  net.Conn
	dec *msgpack.Decoder
}

func (s *stage) dial() *user {
	s.t.Helper()
	nc, err := net.Dial("tcp", s.clients.Addr().String())
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { nc.Close() })
	return newUser(s, nc)
}

func newUser(s *stage, nc net.Conn) *user {
	nc.SetDeadline(time.Now().Add(20 * time.Second))
	return &user{s: s, nc: nc, dec: msgpack.NewDecoder(nc)}
}

// message is a call as bytes. The object follows from the id, fields stand over the usual ones.
func message(id int, class string, body string, fields map[string]string) []byte {
	all := map[string]string{"txn": fmt.Sprintf("%016x", id), "limit": "2500", "item": fmt.Sprintf("%016x", id), "nth": "0", "batch": "1"}
	maps.Copy(all, fields)
	b, err := msgpack.Marshal([]any{0, id, class, []any{all, []byte(body)}})
	if err != nil {
		panic(err) // texts and numbers can be written
	}
	return b
}

func (u *user) send(b []byte) {
	u.s.t.Helper()
	if _, err := u.nc.Write(b); err != nil {
		u.s.t.Fatal(err)
	}
}

func (u *user) call(id int, class string, fields map[string]string) {
	u.s.t.Helper()
	u.send(message(id, class, "", fields))
}

func (u *user) cancel(ids ...int) {
	u.s.t.Helper()
	b, err := msgpack.Marshal([]any{2, "cancel", ids})
	if err != nil {
		u.s.t.Fatal(err)
	}
	u.send(b)
}

// answer reads the next answer: the id, the error's word or the body, and the fields.
func (u *user) answer() (id int, word, body string, fields map[string]any, err error) {
	var v []any
	if err = u.dec.Decode(&v); err != nil {
		return 0, "", "", nil, err
	}
	id, _ = strconv.Atoi(fmt.Sprint(v[1]))
	if e, ok := v[2].([]any); ok {
		return id, e[0].(string), "", e[1].(map[string]any), nil
	}
	res := v[3].([]any)
	if ready, ok := res[0].(bool); ok {
		return id, "", strconv.FormatBool(ready), nil, nil
	}
	return id, "", string(res[0].([]byte)), res[1].(map[string]any), nil
}

// told is answer, which must be this: a word, or the body of what was served.
func (u *user) told(id int, want string) map[string]any {
	u.s.t.Helper()
	got, word, body, fields, err := u.answer()
	if err != nil || got != id || word+body != want {
		u.s.t.Fatalf("answer to %d: %q %q, %v; want %q to %d", got, word, body, err, want, id)
	}
	return fields
}

// health asks whether the router is ready, and so tells that it has taken all that came before on this connection.
func (u *user) health(id int) {
	u.s.t.Helper()
	b, err := msgpack.Marshal([]any{0, id, "health", []any{map[string]string{}}})
	if err != nil {
		u.s.t.Fatal(err)
	}
	u.send(b)
	u.told(id, "true")
}
