package messaging

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

// A message is delivered at most once and has one completion, with the reply of its receiver or, after the deadline, without.
// Late and repeated packets change nothing, also those of processes that have ended.
func TestMessagesAreDeliveredAtMostOnce(t *testing.T) {
	acknowledged := 0
	for seed := range uint64(60) {
		s := &deliveryCheck{simulatedPair: newSimulatedPair(seed, 5, 0.2), seed: seed, replies: map[uint64]string{}}
		s.run(t)
		acknowledged += s.acknowledged
		s.checkNewMessageArrives(t)
	}
	if acknowledged < 1000 {
		t.Errorf("%d messages were acknowledged, want at least 1000", acknowledged)
	}
}

// deliveryCheck sends messages from "a" to "b" and checks their completions.
type deliveryCheck struct {
	*simulatedPair
	seed         uint64
	replies      map[uint64]string // expected replies, by id of the message in flight
	acknowledged int
}

// run sends messages and replaces processes at random, and fails unless all messages have ended at the end.
func (s *deliveryCheck) run(t *testing.T) {
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
		t.Fatalf("seed %d: messages without a completion: %v", s.seed, s.replies)
	}
}

// replaceProcess replaces the process of one of the routers. If that is "a", the messages that it sent have no completions. If
// no replacement is allowed, replaceProcess only draws which router it would be.
func (s *deliveryCheck) replaceProcess(allowed bool) {
	if !allowed {
		s.random.IntN(2)
		return
	}
	if s.replaceRandomProcess() == "a" {
		clear(s.replies)
	}
}

func (s *deliveryCheck) sendMessage(t *testing.T) {
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

func (s *deliveryCheck) checkCompletions(t *testing.T) {
	t.Helper()
	for _, c := range s.messengers["a"].Completions() {
		want := s.replies[c.ID]
		if want == "" {
			t.Fatalf("seed %d: a completion of message %d, which is not in flight", s.seed, c.ID)
		}
		if c.Err == nil {
			s.acknowledged++
			if string(c.Reply) != want {
				t.Fatalf("seed %d: got the reply %q, want %q", s.seed, c.Reply, want)
			}
		}
		delete(s.replies, c.ID)
	}
}

// checkNewMessageArrives fails unless a new message between the processes that run now is delivered, although packets of
// processes that have ended arrived late.
func (s *deliveryCheck) checkNewMessageArrives(t *testing.T) {
	t.Helper()
	s.lossRate = 0
	id, err := s.messengers["a"].Send(s.now, "b", []byte("last"), s.now+5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	before := len(s.delivered)
	for end := s.now + time.Second; s.now < end; {
		s.step(t)
	}
	if len(s.delivered) == before {
		t.Fatalf("seed %d: message %d was not delivered", s.seed, id)
	}
}

// A peer that does not respond delays no messages to other peers, and the messages in flight to it are bounded.
func TestUnresponsivePeerDoesNotBlockOthers(t *testing.T) {
	p := newSimulatedPair(1, 1, 0)
	var full QueueFullError
	for i := range 9 {
		_, err := p.messengers["a"].Send(0, "gone", []byte("x"), time.Second)
		if errors.As(err, &full) != (i == 8) {
			t.Fatalf("message %d: %v", i, err)
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
		t.Error("no message was delivered to the router that responds")
	}
	_, err := p.messengers["a"].Send(0, "b", make([]byte, 1<<20), time.Second)
	if !errors.As(err, new(MessageTooLongError)) {
		t.Errorf("a message of 1 MiB: %v", err)
	}
}

// A burst of messages is sent at once, in as many packets as needed, and so are its acknowledgements: no message waits for its
// retry. Once the message that started a new packet was missing from it.
func TestBurstIsSentWithoutRetries(t *testing.T) {
	const burst = 200
	a, b := New(Defaults("a", 1)), New(Defaults("b", 2))
	exchange := func(now time.Duration) { // sends all packets that are due, in both directions
		for _, packet := range a.DuePackets(now) {
			for _, d := range b.Receive(now, packet.Data) {
				b.Acknowledge(d, []byte("held "+string(d.Body[:8])))
			}
		}
		for _, packet := range b.DuePackets(now) {
			a.Receive(now, packet.Data)
		}
	}
	send := func(now time.Duration, i int) {
		body := append(fmt.Appendf(nil, "%08d", i), make([]byte, i%97)...)
		if _, err := a.Send(now, "b", body, now+time.Second); err != nil {
			t.Fatal(err)
		}
	}
	send(0, 0)
	now := time.Duration(0)
	for ; len(a.Completions()) == 0 && now < time.Second; now += ms { // until each knows the process of the other
		exchange(now)
	}
	for i := range burst {
		send(now, i)
	}
	exchange(now)
	if done := a.Completions(); len(done) != burst {
		t.Errorf("%d of %d messages were acknowledged without a retry", len(done), burst)
	}
}

// Packets of a burst stay within Settings.MaxPacketBytes and an overhead, with messages of different lengths.
func TestBurstStaysWithinPacketSize(t *testing.T) {
	a := New(Defaults("a", 1))
	w := &packetWriter{messenger: a, peer: &peer{name: "b", process: 2}}
	w.begin()
	const overhead = 200 // of names, numbers and items
	for i := range 300 {
		w.addMessage(item{ID: uint64(i + 1), Body: make([]byte, i*7%900)})
	}
	w.flush()
	messages := 0
	for _, p := range w.packets {
		in, ok := New(Defaults("b", 2)).decode(p.Data)
		if !ok || len(p.Data) > a.settings.MaxPacketBytes+overhead {
			t.Errorf("a packet of %d bytes, decoded: %t", len(p.Data), ok)
		}
		messages += len(in.Messages)
	}
	if messages != 300 {
		t.Errorf("the packets hold %d of 300 messages", messages)
	}
}

// Receive ignores or processes any data without a panic.
func FuzzReceive(f *testing.F) {
	a := New(Defaults("a", 1))
	_, _ = a.Send(0, "b", []byte("x"), time.Second)
	f.Add(a.DuePackets(0)[0].Data)
	f.Add([]byte{0x86, 0x61, 'a', 1, 2, 0x9a, 0xff, 0xff, 0xff, 0xff}) // a list that claims 4294967295 elements
	f.Fuzz(func(_ *testing.T, data []byte) {
		b := New(Defaults("b", 2))
		for _, d := range b.Receive(0, data) {
			b.Acknowledge(d, []byte("held"))
		}
		b.DuePackets(0)
	})
}
