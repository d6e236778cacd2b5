package messaging

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

// A message is delivered once at most, and its end is told once: with the reply of its receiver, or in time without. Late and
// repeated packets, of processes that have ended too, change nothing.
func TestOnce(t *testing.T) {
	answered := 0
	for seed := range uint64(60) {
		s := &onceCheck{pair: newPair(seed, 5, 0.2), seed: seed, replies: map[uint64]string{}}
		s.run(t)
		answered += s.answered
		s.checkUnderstanding(t)
	}
	if answered < 1000 {
		t.Errorf("%d parcels were answered", answered)
	}
}

// onceCheck sends messages from "a" to "b" and checks how they end.
type onceCheck struct {
	*pair
	seed     uint64
	replies  map[uint64]string // that are expected, by message in flight
	answered int
}

// run sends messages, and replaces processes, until none is in flight.
func (s *onceCheck) run(t *testing.T) {
	t.Helper()
	const (
		sendUntil = 4 * time.Second
		end       = 6 * time.Second
	)
	for s.now < end {
		s.step(t)
		if s.random.IntN(400) == 0 {
			s.replaceProcess(s.now < sendUntil)
		}
		if s.random.IntN(20) == 0 && s.now < sendUntil {
			s.sendMessage(t)
		}
		s.checkCompletions(t)
	}
	if len(s.replies) > 0 || s.messengers["a"].MaxQueued() > 0 {
		t.Fatalf("seed %d: no end of %v", s.seed, s.replies)
	}
}

// replaceProcess replaces the process of either router; what "a" sent before has no end then. If it is not allowed, it only
// draws which one it would be.
func (s *onceCheck) replaceProcess(allowed bool) {
	if !allowed {
		s.random.IntN(2)
		return
	}
	if s.replaceOne() == "a" {
		clear(s.replies)
	}
}

func (s *onceCheck) sendMessage(t *testing.T) {
	t.Helper()
	body := []byte(fmt.Sprint(s.now))
	id, err := s.messengers["a"].Send(s.now, "b", body, s.now+time.Second)
	var full QueueFullError
	switch {
	case err == nil:
		s.replies[id] = string(replyTo(body))
	case !errors.As(err, &full):
		t.Fatal(err)
	}
}

func (s *onceCheck) checkCompletions(t *testing.T) {
	t.Helper()
	for _, c := range s.messengers["a"].Completions() {
		want := s.replies[c.ID]
		if want == "" {
			t.Fatalf("seed %d: an end of %d, which is not under way", s.seed, c.ID)
		}
		if c.Err == nil {
			s.answered++
			if string(c.Reply) != want {
				t.Fatalf("seed %d: %q for %q", s.seed, c.Reply, want)
			}
		}
		delete(s.replies, c.ID)
	}
}

// checkUnderstanding fails unless the processes that are there now understand each other, whatever came late of those that
// have ended.
func (s *onceCheck) checkUnderstanding(t *testing.T) {
	t.Helper()
	s.loss = 0
	id, err := s.messengers["a"].Send(s.now, "b", []byte("last"), s.now+5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	before := len(s.delivered)
	for end := s.now + time.Second; s.now < end; {
		s.step(t)
	}
	if len(s.delivered) == before {
		t.Fatalf("seed %d: parcel %d never came", s.seed, id)
	}
}

// A router that does not answer holds up no other, and takes a bounded room.
func TestSlowPeer(t *testing.T) {
	p := newPair(1, 1, 0)
	var full QueueFullError
	for i := range 9 {
		_, err := p.messengers["a"].Send(0, "gone", []byte("x"), time.Second)
		if errors.As(err, &full) != (i == 8) {
			t.Fatalf("parcel %d: %v", i, err)
		}
	}
	p.messengers["gone"] = New(Defaults("gone", 99))
	if _, err := p.messengers["a"].Send(0, "b", []byte("x"), time.Second); err != nil {
		t.Fatal(err)
	}
	for len(p.delivered) == 0 && p.now < time.Second {
		p.step(t)
	}
	if len(p.delivered) == 0 {
		t.Error("nothing came to the router that is well")
	}
	_, err := p.messengers["a"].Send(0, "b", make([]byte, 1<<20), time.Second)
	if !errors.As(err, new(MessageTooLongError)) {
		t.Errorf("a parcel of a megabyte: %v", err)
	}
}

// Whatever comes in is ignored or understood.
func FuzzReceive(f *testing.F) {
	a := New(Defaults("a", 1))
	_, _ = a.Send(0, "b", []byte("x"), time.Second)
	f.Add(a.DuePackets(0)[0].Data)
	f.Add([]byte{0x86, 0x61, 'a', 1, 2, 0x9a, 0xff, 0xff, 0xff, 0xff}) // a list of four milliards
	f.Fuzz(func(_ *testing.T, data []byte) {
		b := New(Defaults("b", 2))
		for _, d := range b.Receive(0, data) {
			b.Acknowledge(d, []byte("held"))
		}
		b.DuePackets(0)
	})
}
