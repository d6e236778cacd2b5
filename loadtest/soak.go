package loadtest

import (
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"hillknot/internal/testutil/fakes"
)

// The soak test: router processes on loopback, with page caches, a journal and clients that misbehave, stops, restarts and
// reloads, two or three troubles at a time. A seed draws all of it. What happened is judged by invariants, from outside.

// SoakSettings set up the soak test.
type SoakSettings struct {
	Router  string // the program
	Routers int
	Caches  int
	Length  time.Duration // of each seed
	Seeds   []uint64
}

// soakPrinted is how many violations of a seed are printed, at most.
const soakPrinted = 20

// soakConcurrent is how many troubles there are at a time.
const soakConcurrent = 3

// Soak plays each seed and prints what was broken. An error says that something was, or that a seed could not be played.
func Soak(set SoakSettings, out io.Writer) error {
	broken := 0
	for _, seed := range set.Seeds {
		s, err := playSoak(set, seed)
		if err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
		violations := s.judge()
		broken += len(violations)
		fmt.Fprintf(out, "seed %d: %s; %d broken\n", seed, s.summary(), len(violations))
		for _, v := range violations[:min(len(violations), soakPrinted)] {
			fmt.Fprintf(out, "  %s\n", v)
		}
	}
	if broken > 0 {
		return fmt.Errorf("%d invariants are broken", broken)
	}
	return nil
}

// soak is the play of one seed.
type soak struct {
	*Fleet
	set     SoakSettings
	start   time.Time
	history *soakHistory
	// soakCaches are the page caches; the last one is the origin.
	soakCaches []*soakCache
	trouble    []string // what was done, in order
	mu         sync.Mutex
	faults     []string // of processes: exits, refusals to start
}

// playSoak plays one seed from its start to the end of the last answer.
func playSoak(set SoakSettings, seed uint64) (*soak, error) {
	s := &soak{set: set, start: time.Now(), history: newSoakHistory()}
	for i := range set.Caches + 1 {
		c, err := newSoakCache(fmt.Sprintf("s-%d", i+1), s.history, seed+uint64(i))
		if err != nil {
			return nil, err
		}
		defer c.close()
		s.soakCaches = append(s.soakCaches, c)
	}
	var err error
	s.Fleet, err = StartFleet(set.Router, Setup{Routers: set.Routers, RetryAfter: true, Caches: set.Caches, KnownRouters: set.Routers, OverloadFactor: 4,
		Addresses: func(cache int) string { return s.soakCaches[cache].addr() },
		Answer:    func(int, fakes.Request) fakes.Reply { return fakes.Reply{} }})
	if err != nil {
		return nil, err
	}
	defer s.Close()
	time.Sleep(500 * time.Millisecond) // all are ready
	s.play(seed)
	return s, nil
}

// play has clients ask and troubles happen until the length is over, and then waits for what is owed.
func (s *soak) play(seed uint64) {
	stop := make(chan struct{})
	var clients, troubles sync.WaitGroup
	for i, r := range s.Routers {
		clients.Go(func() { newSoakClient(r.ListenAddress, s.history, seed<<16|uint64(i)).run(stop) })
	}
	for i := range soakConcurrent {
		troubles.Go(func() { s.makeTrouble(rand.New(rand.NewPCG(seed, uint64(i))), s.start.Add(s.set.Length)) })
	}
	troubles.Wait()
	time.Sleep(time.Second) // well again
	close(stop)
	clients.Wait()
}

// summary tells how much happened.
func (s *soak) summary() string {
	h := s.history
	h.mu.Lock()
	defer h.mu.Unlock()
	served, refused, failed := 0, 0, 0
	for _, r := range h.requests {
		for _, a := range r.answers {
			switch a.word {
			case "":
				served++
			case "Throttled":
				refused++
			default:
				failed++
			}
		}
	}
	return fmt.Sprintf("%d requests, %d served, %d refused, %d failed, %d attempts, %d troubles (%s)", len(h.requests), served, refused, failed,
		len(h.asks), len(s.trouble), kindsOf(s.trouble))
}

// kindsOf counts troubles by their first word.
func kindsOf(troubles []string) string {
	counts := map[string]int{}
	var order []string
	for _, t := range troubles {
		kind, _, _ := strings.Cut(t, " ")
		if counts[kind] == 0 {
			order = append(order, kind)
		}
		counts[kind]++
	}
	for i, kind := range order {
		order[i] = fmt.Sprintf("%s %d", kind, counts[kind])
	}
	return strings.Join(order, ", ")
}
