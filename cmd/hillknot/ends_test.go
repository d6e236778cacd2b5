package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Tests of routers that end, start, and are read again, in the middle of requests.

// over waits until the router has ended, as it must.
func (s *stage) over() {
	s.t.Helper()
	select {
	case err := <-s.ended:
		if err != nil {
			s.t.Error(err)
		}
		s.ended <- nil
	case <-time.After(20 * time.Second):
		s.t.Fatal("the router goes on")
	}
}

// A router that is told to end, twice and with a new configuration between, while one page cache hangs, another's connection
// does not come up and a third is slow, answers all that it took in time, and ends.
func TestEndWithRequestsOpen(t *testing.T) {
	s := newStage(t, 1).start()
	hangs, order, late := s.dial(), s.dial(), s.dial()
	hangs.call(2, "page", map[string]string{"limit": "3000"})
	s.next("ASK")
	order.call(3, "order", map[string]string{"limit": "3000"})
	s.next("ASK")
	release := s.caches[0].hold()
	defer release()
	late.call(1, "page", nil)
	late.health(9)
	started := time.Now()
	s.signals <- syscall.SIGTERM
	s.signals <- syscall.SIGHUP
	s.signals <- syscall.SIGTERM
	release()
	a := s.next("ASK") // of the connection that came up after the first signal
	a.done("late")
	late.told(1, "late")
	hangs.told(2, "Throttled")
	order.told(3, "Failed") // it may have run
	s.over()
	if took := time.Since(started); took > 3700*time.Millisecond {
		t.Errorf("ended after %v; it may be killed 3.7 s after the signal", took)
	}
}

// A client that rests on its connection until the router ends it, and sends a request into that: it is read by nobody, and nothing is sent on.
func TestRequestIntoTheEnd(t *testing.T) {
	s := newStage(t, 1).start()
	u := s.dial()
	u.call(1, "page", nil)
	s.next("ASK").done("x")
	u.told(1, "x")
	s.signals <- syscall.SIGTERM
	if _, err := u.nc.Read(make([]byte, 1)); err != io.EOF {
		t.Fatalf("the end of the connection: %v", err)
	}
	u.call(2, "page", nil)
	s.over()
	s.none("into the end")
}

// What was answered to a client that reads late is not lost as the router ends.
func TestAnswersInTheBufferAtTheEnd(t *testing.T) {
	s := newStage(t, 1).start()
	u := s.dial()
	body := strings.Repeat("x", 240_000)
	const n = 32 // answers, more than the sockets hold
	for id := 1; id <= n; id++ {
		u.call(id, "page", nil)
		s.next("ASK").done(body)
	}
	s.signals <- syscall.SIGTERM
	time.Sleep(time.Second) // nothing is open any more by the router's own count
	for range n {
		if _, word, got, _, err := u.answer(); err != nil || word != "" || got != body {
			t.Fatalf("answer %q of %d bytes, %v", word, len(got), err)
		}
	}
	u.nc.Close()
	s.over()
}

// A new configuration with other classes, in another order, does not change what is open or what comes: a class is what it was as
// the router started. A faulty one changes nothing either.
func TestReloadUnderRequests(t *testing.T) {
	s := newStage(t, 2).start()
	u := s.dial()
	u.call(1, "order", nil)
	a := s.next("ASK")
	profiles := s.conf["settings"].(jsonMap)["profiles"].([]jsonMap)
	s.set([]jsonMap{{"name": "order", "repeat": "safe", "deadlineUs": 100 * ms}, profiles[2], {"name": "page", "repeat": "unsafe"}}, "settings", "profiles")
	s.set([]bool{true, false, false}, "settings", "specifics", "classWrite")
	s.write()
	s.signals <- syscall.SIGHUP
	s.set("what", "settings", "profiles")
	s.write()
	s.signals <- syscall.SIGHUP
	moved := feed(t)
	go s.listen(moved)
	s.set(profiles, "settings", "profiles")
	s.set(moved.Addr().String(), "journal")
	s.write()
	s.signals <- syscall.SIGHUP
	for w := range s.calls { // the last of them has been taken
		if w.LocalAddr().String() == moved.Addr().String() {
			break
		}
	}
	a.say("BROKE - 0\r\n\r\n")
	u.told(1, "Failed") // not resent, as it may have run
	u.call(2, "order", map[string]string{"limit": "2000"})
	b := s.next("ASK")
	if b.fields["kind"] != "order" || b.fields["retain"] != "" {
		t.Errorf("asked %v", b.fields)
	}
	b.done("x")
	u.told(2, "x")
	u.call(3, "page", nil)
	c := s.next("ASK")
	c.say("BROKE - 0\r\n\r\n")
	d := s.next("ASK") // resent, as it may be
	if c.fields["retain"] == "" || d.at == c.at {
		t.Errorf("asked %v, then %s again", c.fields, d.at.id)
	}
	d.done("y")
	u.told(3, "y")
}

// A router that starts is ready at once, with the journal up, down, or silent.
func TestReadyWithoutTheJournal(t *testing.T) {
	for name, prepare := range map[string]func(*stage){
		"up":     func(*stage) {},
		"down":   func(s *stage) { s.journal.Close() },
		"silent": func(s *stage) { s.set(blackhole(s.t), "journal") },
	} {
		t.Run(name, func(t *testing.T) {
			s := newStage(t, 1)
			prepare(s)
			started := time.Now()
			s.start().dial().health(1)
			if took := time.Since(started); took > 5*time.Second {
				t.Errorf("ready after %v", took)
			}
		})
	}
}

// blackhole returns an address where connections don't come up.
func blackhole(t *testing.T) string {
	p := &prop{Listener: feed(t), s: &stage{t: t}}
	go p.accept()
	t.Cleanup(p.hold())
	return p.Addr().String()
}

// A message that is malformed, over-long or never ends takes its own connection along, and nothing else; a flood of requests takes nothing
// from another client either, and is refused in part.
func TestBadClients(t *testing.T) {
	s := newStage(t, 1).start()
	good := s.dial()
	good.call(1, "page", nil)
	a := s.next("ASK")
	var bad sync.WaitGroup
	defer bad.Wait()
	for name, bytes := range map[string]string{
		"malformed":    "\xc1\xff",
		"over-long":    "\x94\x00\x01\xa4page\x92\x80\xc6\x03\x93\x87\x00" + strings.Repeat("x", 100),
		"never ends":   "\x94\x00\x01\xa4page\x92\x81\xdb\x7f\xff\xff\xff" + strings.Repeat("x", 100_000),
		"half":         "\x94\x00\x01\xa4pa",
		"says nothing": "",
	} {
		u := s.dial()
		bad.Go(func() {
			_, _ = io.WriteString(u.nc, bytes) // a reset in the middle is an end too
			begun := time.Now()
			if _, err := u.nc.Read(make([]byte, 1)); err == nil {
				t.Errorf("%s: answered", name)
			} else if took := time.Since(begun); took > 6*time.Second {
				t.Errorf("%s: still open after %v", name, took)
			}
		})
	}
	flood := s.dial()
	for id := 100; id < 2100; id++ {
		if _, err := flood.nc.Write(message(id, "page", "", nil)); err != nil {
			break // cut off, as it reads nothing
		}
	}
	other := s.dial()
	other.call(2, "page", nil)
	other.health(3)
	a.done("good")
	good.told(1, "good")
	for asked := false; !asked; {
		b := s.next("ASK")
		asked = b.txn == "0000000000000002"
		b.done("x")
	}
	other.told(2, "x")
}

// Idle clients hold all the descriptors that they can while the journal is down: the router still reaches it as it comes back, and
// page caches, and answers; it does not spin, and does not crash.
func TestDescriptorsHeldByClients(t *testing.T) {
	s := newStage(t, 3)
	addr := s.journal.Addr().String()
	s.journal.Close()
	s.set(jsonMap{"sockets": 256, "memory_mb": 64}, "limits")
	s.path = t.TempDir() + "/config.json"
	free := feed(t)
	s.set(free.Addr().String(), "listen")
	free.Close()
	s.write()
	cmd := exec.Command("/bin/sh", "-c", "ulimit -n 256; exec "+program(t)+" -config "+s.path)
	var log strings.Builder
	cmd.Stderr = &log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() {
		_ = cmd.Process.Signal(syscall.SIGTERM)
		if err := cmd.Wait(); err != nil {
			t.Errorf("%v\n%s", err, log.String())
		}
	}()
	dial := func() (net.Conn, error) { return net.DialTimeout("tcp", free.Addr().String(), 10*time.Second) }
	for up := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		if nc, err := dial(); err == nil {
			nc.Close()
			break
		}
		if time.Since(up) > 20*time.Second {
			t.Fatal("not up")
		}
	}
	var idle []net.Conn
	for range 600 {
		if nc, err := dial(); err == nil {
			idle = append(idle, nc)
		}
	}
	defer func() {
		for _, nc := range idle {
			nc.Close()
		}
	}()
	ask := func(id int) {
		t.Helper()
		nc, err := dial()
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		u := newUser(s, nc)
		u.call(id, "page", nil)
		s.next("ASK").done("x")
		u.told(id, "x")
	}
	for id := 1; id < 40; id++ {
		ask(id)
	}
	before := cpuOf(t, cmd.Process.Pid)
	time.Sleep(500 * time.Millisecond)
	if used := cpuOf(t, cmd.Process.Pid) - before; used > 250*time.Millisecond {
		t.Errorf("%v of processor time in half a second without requests", used)
	}
	w := s.backAt(addr)
	w.tell(2, true, s.caches[2].host("ready"))
	for id, left := 100, 20; left > 0; id++ {
		nc, err := dial()
		if err != nil {
			t.Fatal(err)
		}
		u := newUser(s, nc)
		u.call(id, "page", nil)
		a := s.next("ASK")
		a.done("x")
		u.told(id, "x")
		nc.Close()
		if left--; a.at != s.caches[2] && left < 19 {
			t.Errorf("%s is asked after it has gone", a.at.id)
		}
	}
}

// cpuOf is the processor time that a process has used.
func cpuOf(t *testing.T, pid int) time.Duration {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	f := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:])) // from the state on
	user, err := strconv.Atoi(f[11])
	system, err2 := strconv.Atoi(f[12])
	if err != nil || err2 != nil {
		t.Fatal(err, err2)
	}
	return time.Duration(user+system) * 10 * time.Millisecond
}
