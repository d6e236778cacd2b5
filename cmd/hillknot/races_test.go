package main

import (
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
