package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Tests of rare orders of events; docs/races.md lists them. Each forces its order on every run.

// A request of a class whose repeats are dropped names its key to the page cache, and each repeat names the same. The key was
// left out once: a page cache could not tell the repeat, and another deployment's did not take the request at all.
func TestKeyOfARequest(t *testing.T) {
	s := newStage(t, 2).start()
	u := s.dial()
	u.send(message(1, "filed", "text", map[string]string{"unique": "0de535246940715291661ea01699314a"}))
	a := s.next("ASK")
	a.say("BROKE - 0\r\n\r\n")
	b := s.next("ASK")
	for _, got := range []ask{a, b} {
		if got.fields["token"] != "0de535246940715291661ea01699314a" || got.body != "text" || got.txn != "0000000000000001" {
			t.Errorf("asked %+v", got)
		}
	}
	if a.at == b.at {
		t.Error("the same page cache is asked again")
	}
	b.done("filed")
	u.told(1, "filed")
}

// Repeats are dropped for a time only. One that was decided within it, and whose connection comes up after it, is not sent:
// it could take effect once more.
func TestNoRepeatPastItsTime(t *testing.T) {
	s := newStage(t, 2).start()
	u := s.dial()
	u.call(1, "filed", map[string]string{"unique": "7a"})
	a := s.next("ASK")
	other := s.caches[0]
	if a.at == other {
		other = s.caches[1]
	}
	release := other.hold()
	defer release()
	a.say("BROKE - 0\r\n\r\n")
	time.Sleep(950 * time.Millisecond) // over the 900 ms in which page caches drop repeats
	release()
	u.told(1, "Throttled") // page caches drop the client's repeats too, or have dropped the first
	s.none("past its time")
}

// A copy is current only where the page cache names the one that this client holds. One that names another, or none, has
// spoilt its answer.
func TestCurrentOnlyIfNamed(t *testing.T) {
	s := newStage(t, 2).start()
	for id, line := range map[int]string{1: "KEEP version=other,res=cached 0\r\n\r\n", 2: "KEEP res=cached 0\r\n\r\n"} {
		u := s.dial()
		u.call(id, "page", map[string]string{"got": "mine"})
		s.next("ASK").say("%s", line)
		b := s.next("ASK") // of a safe class: another page cache is asked
		b.say("KEEP version=mine,res=cached 0\r\n\r\n")
		if f := u.told(id, ""); f["ok304"] != "1" {
			t.Errorf("%q: told %v", line, f)
		}
	}
}

// settled tells that the router has taken all events that were told by then, of which the latest brings a new page cache: it
// is asked for something.
func (s *stage) settled(u *user, id int, at *prop) {
	s.t.Helper()
	for ; ; id++ {
		u.call(id, "page", nil)
		a := s.next("ASK")
		a.done("x")
		u.told(id, "x")
		if a.at == at {
			return
		}
	}
}

// An event that comes cut or garbled, and one that is missing between two others, are asked for again: a drain in it would be
// passed over for good, as what comes behind it moves the position on.
func TestSpoiltEventIsAskedForAgain(t *testing.T) {
	const empty = "id: 3\ndata: {\"pos\":3,\"hosts\":{\"instances\":[]}}\n\n"
	for name, spoil := range map[string]func(watch){
		"cut":     func(w watch) { w.raw("id: 2\ndata: {\"pos\":2,\"hosts\":{\"inst\n\n" + empty) },
		"missing": func(w watch) { w.raw(empty) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newStage(t, 2).start()
			spoil(s.watched("1"))
			w := s.watched("1")
			w.tell(2, false, s.caches[0].host("draining"))
			w.tell(3, false)
			s.watchedBy(w, 1)
		})
	}
}

// watchedBy tells that the router goes by an event that drains the first page cache: of many requests, which would go to both,
// none goes there. The event before it must have been told.
func (s *stage) watchedBy(w watch, id int) {
	s.t.Helper()
	late := &prop{Listener: feed(s.t), s: s, id: "late"}
	go late.accept()
	s.caches = append(s.caches, late)
	w.tell(4, false, late.host("ready"))
	u := s.dial()
	s.settled(u, id, late)
	for id += 100; id < 120; id++ {
		u.call(id, "page", nil)
		a := s.next("ASK")
		if a.at == s.caches[0] {
			s.t.Errorf("asked for %s while it drains", a.txn)
		}
		a.done("x")
		u.told(id, "x")
	}
}

// An event that can't be read however often it is told is passed over, with an error in the log, and the next one counts.
func TestEventThatCannotBeRead(t *testing.T) {
	s := newStage(t, 2).start()
	const odd = "id: 2\ndata: {\"pos\":2,\"hosts\":{\"instances\":[{\"instanceId\":\"s-9\",\"lifecycle\":\"odd\"}]}}\n\n"
	s.watched("1").raw(odd)
	w := s.watched("1")
	w.raw(odd)
	w.tell(3, false, s.caches[0].host("draining"))
	s.watchedBy(w, 1)
}

// All watches fall silent at once, before they have told anything; what is told then is heard on a new one.
func TestSilentWatch(t *testing.T) {
	s := newStage(t, 2).start()
	s.watched("1") // and nothing more, while the connection stays open
	w := s.watched("1")
	w.tell(2, false, s.caches[0].host("draining"))
	w.tell(3, false)
	s.watchedBy(w, 1)
}

// The journal is down at the start, and tells of a drain right after its return.
func TestDrainRightAfterTheReturn(t *testing.T) {
	s := newStage(t, 2)
	addr := s.journal.Addr().String()
	s.journal.Close()
	s.start()
	u := s.dial()
	u.call(1, "page", nil)
	a := s.next("ASK") // it serves meanwhile
	a.done("x")
	u.told(1, "x")
	w := s.backAt(addr)
	w.tell(2, false, s.caches[0].host("draining"))
	w.tell(3, false)
	s.watchedBy(w, 2)
}

// A new configuration moves the journal. The old stream still delivers; what the new one has told stands.
func TestOldStreamAfterAMove(t *testing.T) {
	s := newStage(t, 2).start()
	old := s.watched("1")
	moved := feed(t)
	go s.listen(moved)
	s.set(moved.Addr().String(), "journal")
	s.write()
	s.signals <- syscall.SIGHUP
	w := s.watched("1")
	w.tell(2, false, s.caches[0].host("draining"))
	w.tell(3, false)
	_, _ = io.WriteString(old, "id: 2\ndata: {\"pos\":2,\"hosts\":{\"instances\":[]}}\n\nid: 4\n") // fails if the router has ended it
	s.watchedBy(w, 1)
}

// A new list that lacks a member: it has gone, and gets nothing more, also on the connections that are open, and as
// the source of a fill.
func TestListThatLacksAMember(t *testing.T) {
	s := newStage(t, 2).start()
	w := s.watched("1")
	w.tell(2, true, s.caches[1].host("ready"))
	w.tell(3, false)
	s.watchedBy(w, 1)
}

// A page cache begins to drain while a request that was decided for it waits for a connection: it is not written.
func TestDrainBetweenDecisionAndWrite(t *testing.T) {
	s := newStage(t, 1)
	release := s.caches[0].hold()
	defer release()
	s.start()
	w := s.watched("1")
	u := s.dial()
	u.call(1, "page", nil)
	u.health(9) // it has been decided
	next := &prop{Listener: feed(t), s: s, id: "s-next"}
	go next.accept()
	s.caches = append(s.caches, next)
	w.tell(2, false, s.caches[0].host("draining"), next.host("ready"))
	v := s.dial()
	for id, known := 2, false; !known; id++ { // until the list is known; before, it is refused when its time is up
		v.call(id, "page", map[string]string{"limit": "60"})
		v.health(1000 + id)
		select {
		case a := <-s.asked:
			a.done("v")
			v.told(id, "v")
			known = true
		case <-time.After(10 * time.Millisecond):
			v.told(id, "Throttled")
		}
	}
	release()
	a := s.next("ASK") // on the connection that came up late nothing was written
	if a.at != next || a.txn != "0000000000000001" {
		t.Errorf("%s is asked for %s", a.at.id, a.txn)
	}
	a.done("u")
	u.told(1, "u")
}

// leave has a client go, in each of the ways that there are, and returns once the router knows.
var leave = map[string]func(*user){
	"cancels": func(u *user) {
		u.cancel(1)
		u.health(2)
	},
	"closes its side": func(u *user) {
		u.nc.(*net.TCPConn).CloseWrite()
		if _, err := u.nc.Read(make([]byte, 1)); err == nil {
			u.s.t.Error("still answered")
		}
	},
}

// A client that goes while its request waits for a connection that comes up late, or for room at a page cache, or as an attempt
// has failed and another is to follow, has gone: nothing is sent for it any more but a QUIT.
func TestClientLeaves(t *testing.T) {
	for name, depart := range leave {
		t.Run(name+" during a connect", func(t *testing.T) {
			s := newStage(t, 1)
			release := s.caches[0].hold()
			defer release()
			s.start()
			u := s.dial()
			u.call(1, "page", nil)
			u.health(9) // the request has been taken
			depart(u)
			release()
			s.none("gone")
		})
		t.Run(name+" while it waits for room", func(t *testing.T) {
			s := newStage(t, 1).start()
			full := s.dial()
			var asks []ask
			for id := 100; id < 130; id++ {
				full.call(id, "page", nil)
			}
			full.health(1000)
			for quiet := false; !quiet; {
				select {
				case a := <-s.asked:
					asks = append(asks, a)
				case <-time.After(200 * time.Millisecond):
					quiet = true // all others wait
				}
			}
			if len(asks) == 30 {
				t.Fatal("none waits")
			}
			u := s.dial()
			u.call(1, "page", nil)
			u.health(9)
			depart(u)
			for answered := 0; answered < 30; answered++ {
				if len(asks) == 0 {
					asks = append(asks, s.next("ASK"))
				}
				if asks[0].txn == "0000000000000001" {
					t.Fatal("asked for it")
				}
				asks[0].done("x")
				asks = asks[1:]
				full.answer()
			}
			s.none("gone")
		})
		t.Run(name+" as it fails", func(t *testing.T) {
			s := newStage(t, 2).start()
			u := s.dial()
			u.call(1, "page", nil)
			a := s.next("ASK")
			depart(u)
			if q := s.next("QUIT"); q.txn != a.txn {
				t.Errorf("gives up %s", q.txn)
			}
			a.say("BROKE - 0\r\n\r\n")
			s.none("gone")
		})
	}
}

// What a page cache does with a request that it has begun, and the answer that it spoils, ends the attempt, and only what may
// be repeated is asked for again: at another page cache, and under the same key where repeats are dropped by it.
func TestSpoiltAnswers(t *testing.T) {
	for name, spoil := range map[string]func(ask){
		"reset": func(a ask) {
			_ = a.nc.(*net.TCPConn).SetLinger(0) // fails on a closed connection only
			a.nc.Close()
		},
		"closed":              func(a ask) { a.nc.Close() },
		"garbled":             func(a ask) { a.say("\x00\xff\r\n") },
		"cut":                 func(a ask) { a.say("DONE res=cached 100\r\nhalf"); a.nc.Close() },
		"wrong length":        func(a ask) { a.say("DONE res=cached 3\r\nlonger\r\n") },
		"3 GB":                func(a ask) { a.say("DONE res=cached 3221225472\r\n%s", strings.Repeat("x", 1<<20)) },
		"a line that goes on": func(a ask) { a.say("DONE %s", strings.Repeat("x", 1<<16)) },
		"failed":              func(a ask) { a.say("BROKE - 0\r\n\r\n") },
	} {
		t.Run(strings.ReplaceAll(name, " ", "-"), func(t *testing.T) {
			s := newStage(t, 2).start()
			u := s.dial()
			for id, class := range map[int]string{1: "order", 2: "filed", 3: "page"} {
				u.call(id, class, map[string]string{"unique": "7a"})
				a := s.next("ASK")
				spoil(a)
				if class == "order" {
					u.told(id, "Failed")
					continue
				}
				b := s.next("ASK")
				if b.at == a.at || b.txn != a.txn || b.fields["token"] != a.fields["token"] {
					t.Errorf("%s: asked %+v, then %+v", class, a, b)
				}
				b.done("x")
				u.told(id, "x")
			}
			s.none("behind it")
		})
	}
}

// Second answers, late ones, and such under ids that nobody asked for end nothing but what they belong to.
func TestAnswersToNobody(t *testing.T) {
	s := newStage(t, 1).start()
	u := s.dial()
	u.call(1, "order", nil)
	a := s.next("ASK")
	a.done("first")
	a.done("second")
	u.told(1, "first")
	u.call(2, "order", nil)
	b := s.next("ASK")
	b.txn = a.txn
	b.done("late")
	b.txn = "00000000000000ff"
	b.done("nobody's")
	u.health(3) // nothing has come for the second
	b.txn = "0000000000000002"
	b.done("its own")
	u.told(2, "its own")
}

// Two clients' requests come in pieces of any size, in turn, over buffers that are used again: each page cache gets each
// request with its own key and body, and each client its own answer.
func TestBytesOfTwoClients(t *testing.T) {
	s := newStage(t, 2)
	const rounds, each = 4, 20                                  // 32 requests may be open on a connection
	release := []func(){s.caches[0].hold(), s.caches[1].hold()} // they wait in the router, while more comes in
	s.start()
	rnd := rand.New(rand.NewPCG(5, 5))
	users := []*user{s.dial(), s.dial()}
	over := make(chan bool)
	var caches sync.WaitGroup
	caches.Go(func() {
		for {
			var a ask
			select {
			case a = <-s.asked:
			case <-over:
				return
			}
			if a.word != "ASK" {
				continue
			}
			id, _, _ := strings.Cut(a.body, "-")
			if n, _ := strconv.Atoi(id); a.fields["token"] != "k"+id || a.txn != fmt.Sprintf("%016x", n) {
				t.Errorf("asked for %s under %s with the body of %s", a.txn, a.fields["token"], id)
			}
			a.done("of " + a.body)
		}
	})
	for round := range rounds {
		rest := make([][]byte, len(users))
		for n := range each {
			for i := range users {
				id := 1000*i + round*each + n + 1
				own := fmt.Sprintf("%d-%s", id, strings.Repeat(string(rune('a'+i)), rnd.IntN(3000)))
				rest[i] = append(rest[i], message(id, "filed", own, map[string]string{"unique": fmt.Sprint("k", id), "limit": "3000"})...)
			}
		}
		for len(rest[0])+len(rest[1]) > 0 {
			i := rnd.IntN(2)
			n := min(len(rest[i]), 1+rnd.IntN(4000))
			users[i].send(rest[i][:n])
			rest[i] = rest[i][n:]
			if rnd.IntN(8) == 0 {
				time.Sleep(time.Millisecond)
			}
		}
		for i, u := range users {
			for n := range 40 { // the buffers are used again
				u.send(message(9000+n, "health", strings.Repeat("z", 3000), nil))
			}
			release[i]()
		}
		for i, u := range users {
			for n := 0; n < each; n++ {
				id, word, body, _, err := u.answer()
				if id >= 9000 {
					n--
					continue
				}
				if word == "Throttled" && round == 0 {
					continue // it waited for too long
				}
				if err != nil || word != "" || !strings.HasPrefix(body, fmt.Sprintf("of %d-", id)) || id/1000 != i {
					t.Fatalf("client %d: answer to %d: %q %.30q, %v", i, id, word, body, err)
				}
			}
		}
	}
	close(over)
	caches.Wait()
}
