package messaging

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// pair is two posts and a network between them that loses, delays and repeats, while processes start anew.
type pair struct {
	rnd   *rand.Rand
	now   time.Duration
	posts map[string]*Messenger
	made  uint64
	mail  []flying
	loss  float64
	held  map[string]int // parcels handed over, by sender, process and number
}

type flying struct {
	at   time.Duration
	to   string
	data []byte
}

func (p *pair) start(name string) {
	p.made++
	set := Defaults(name, p.made)
	set.ReplyMemory, set.MaxMessages = 16, 8
	p.posts[name] = New(set)
}

func (p *pair) step(t *testing.T) {
	p.now += ms
	for i := 0; i < len(p.mail); i++ {
		m := p.mail[i]
		if m.at > p.now {
			continue
		}
		p.mail = slices.Delete(p.mail, i, i+1)
		i--
		for _, a := range p.posts[m.to].Receive(p.now, m.data) {
			key := fmt.Sprint(a.From, a.Process, a.ID)
			if p.held[key]++; p.held[key] > 1 {
				t.Fatalf("%s was handed over twice", key)
			}
			if p.rnd.IntN(10) > 0 { // else it is never held
				p.posts[m.to].Acknowledge(a, []byte("held "+string(a.Body)))
			}
		}
	}
	for _, name := range []string{"a", "b"} {
		for _, out := range p.posts[name].DuePackets(p.now) {
			for range 1 + p.rnd.IntN(3)/2 {
				at := p.now + time.Duration(p.rnd.ExpFloat64()*float64(5*ms))
				if p.rnd.IntN(30) == 0 {
					at += time.Duration(p.rnd.Int64N(int64(3 * time.Second)))
				}
				if p.rnd.Float64() >= p.loss {
					p.mail = append(p.mail, flying{at, out.To, out.Data})
				}
			}
		}
		p.posts[name].Tick(p.now)
	}
}

// A parcel is handed over once at most, and its end is told once: with the answer of who holds it, or in time without.
// Late and repeated packets, of processes that have ended too, change nothing.
func TestOnce(t *testing.T) {
	answered := 0
	for seed := range uint64(60) {
		p := &pair{rnd: rand.New(rand.NewPCG(seed, 5)), posts: map[string]*Messenger{}, held: map[string]int{}, loss: 0.2}
		p.start("a")
		p.start("b")
		want := map[uint64]string{}
		for p.now < 6*time.Second {
			p.step(t)
			if p.rnd.IntN(400) == 0 {
				if name := []string{"a", "b"}[p.rnd.IntN(2)]; p.now < 4*time.Second {
					p.start(name)
					if name == "a" {
						clear(want)
					}
				}
			}
			if p.rnd.IntN(20) == 0 && p.now < 4*time.Second {
				body := fmt.Sprint(p.now)
				id, err := p.posts["a"].Send(p.now, "b", []byte(body), p.now+time.Second)
				if err == nil {
					want[id] = "held " + body
				} else if full := (QueueFullError{}); !errors.As(err, &full) {
					t.Fatal(err)
				}
			}
			for _, d := range p.posts["a"].Completions() {
				if want[d.ID] == "" {
					t.Fatalf("seed %d: an end of %d, which is not under way", seed, d.ID)
				}
				if d.Err == nil {
					if answered++; string(d.Reply) != want[d.ID] {
						t.Fatalf("seed %d: %q for %q", seed, d.Reply, want[d.ID])
					}
				}
				delete(want, d.ID)
			}
		}
		if len(want) > 0 || p.posts["a"].MaxQueued() > 0 {
			t.Fatalf("seed %d: no end of %v", seed, want)
		}
		// Whatever came late of processes that have ended, those that are there now understand each other.
		p.loss = 0
		id, err := p.posts["a"].Send(p.now, "b", []byte("last"), p.now+5*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		held := len(p.held)
		for end := p.now + time.Second; p.now < end; {
			p.step(t)
		}
		if len(p.held) == held {
			t.Fatalf("seed %d: parcel %d never came", seed, id)
		}
	}
	if answered < 1000 {
		t.Errorf("%d parcels were answered", answered)
	}
}

// A router that does not answer holds up no other, and takes a bounded room.
func TestSlowPeer(t *testing.T) {
	p := &pair{rnd: rand.New(rand.NewPCG(1, 1)), posts: map[string]*Messenger{}, held: map[string]int{}}
	p.start("a")
	p.start("b")
	var full QueueFullError
	for i := range 9 {
		_, err := p.posts["a"].Send(0, "gone", []byte("x"), time.Second)
		if errors.As(err, &full) != (i == 8) {
			t.Fatalf("parcel %d: %v", i, err)
		}
	}
	p.posts["gone"] = New(Defaults("gone", 99))
	p.loss = 0
	if _, err := p.posts["a"].Send(0, "b", []byte("x"), time.Second); err != nil {
		t.Fatal(err)
	}
	for len(p.held) == 0 && p.now < time.Second {
		p.step(t)
	}
	if len(p.held) == 0 {
		t.Error("nothing came to the router that is well")
	}
	if _, err := p.posts["a"].Send(0, "b", make([]byte, 1<<20), time.Second); !errors.As(err, new(MessageTooLongError)) {
		t.Errorf("a parcel of a megabyte: %v", err)
	}
}

// Whatever comes in is passed over or understood.
func FuzzTake(f *testing.F) {
	a := New(Defaults("a", 1))
	_, _ = a.Send(0, "b", []byte("x"), time.Second)
	f.Add(a.DuePackets(0)[0].Data)
	f.Add([]byte{0x86, 0x61, 'a', 1, 2, 0x9a, 0xff, 0xff, 0xff, 0xff}) // a list of four milliards
	f.Fuzz(func(t *testing.T, data []byte) {
		b := New(Defaults("b", 2))
		for _, in := range b.Receive(0, data) {
			b.Acknowledge(in, []byte("held"))
		}
		b.DuePackets(0)
	})
}
