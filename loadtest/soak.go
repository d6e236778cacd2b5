package loadtest

import (
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"hillknot/internal/rpc"
	"hillknot/internal/testutil/fakes"
)

// SoakSettings holds the settings of the soak test. The test runs router processes with page caches, a discovery service and
// clients that misbehave, while processes are stopped, restarted and reloaded, several faults at a time. All random choices
// follow from a seed. What clients, page caches and the discovery service recorded is checked against invariants, from
// outside of the routers.
type SoakSettings struct {
	Program string // path of the router's program
	Routers int
	Caches  int
	Length  time.Duration // of each seed
	Seeds   []uint64
}

const (
	soakMaxPrinted  = 20                     // violations that are printed for a seed, at most
	soakConcurrency = 3                      // faults at a time
	soakSettleStart = 500 * time.Millisecond // after the start, for all routers to be ready
	soakSettleEnd   = time.Second            // after the last fault, before clients stop

	soakOverloadFactor = 4 // of a page cache that warms up
)

// Soak runs each seed, and writes the violations of invariants. It returns an error if there are any, or if a seed could not
// be run.
func Soak(settings SoakSettings, out io.Writer) error {
	total := 0
	for _, seed := range settings.Seeds {
		s, err := runSoak(settings, seed)
		if err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
		violations := s.checkInvariants()
		total += len(violations)
		_, _ = fmt.Fprintf(out, "seed %d: %s; %d broken\n", seed, s.summary(), len(violations))
		for _, violation := range violations[:min(len(violations), soakMaxPrinted)] {
			_, _ = fmt.Fprintf(out, "  %s\n", violation)
		}
		if len(violations) > 0 {
			s.printFaults(out)
		}
	}
	if total > 0 {
		return fmt.Errorf("%d violations of invariants", total)
	}
	return nil
}

// soakRun is the run of one seed.
type soakRun struct {
	*Fleet
	settings    SoakSettings
	start       time.Time
	history     *soakHistory
	soakCaches  []*soakCache // page caches, then the origin
	seed        uint64
	maxDeadline time.Duration // of all classes; 0: the usual ones

	mu             sync.Mutex
	monitors       map[*Router]*processMonitor // of the running processes
	use            resourceUse                 // maxima over all processes that have ended
	goroutines     int                         // the most that any router had
	floods         uint64                      // so far
	faults         []injectedFault             // in the order of their ends
	processErrors  []string                    // routers that did not exit or start as they should
	routersInUse   map[*Router]bool            // routers that a running fault uses exclusively
	drainingCaches map[*soakCache]bool
}

// runSoak runs one seed from its start to the last answer.
func runSoak(settings SoakSettings, seed uint64) (*soakRun, error) {
	s := &soakRun{settings: settings, start: time.Now(), history: newSoakHistory(), routersInUse: map[*Router]bool{},
		drainingCaches: map[*soakCache]bool{}, monitors: map[*Router]*processMonitor{}, seed: seed, maxDeadline: soakMaxDeadline(seed)}
	for i := range settings.Caches + 1 {
		cell := cellOf(i, soakCells(seed))
		if i == settings.Caches { // the origin
			cell = noCell
		}
		cache, err := newSoakCache(endpointName(i), cell, s.history, seed+uint64(i))
		if err != nil {
			return nil, err
		}
		defer cache.Close()
		s.soakCaches = append(s.soakCaches, cache)
	}
	var err error
	s.Fleet, err = StartFleet(settings.Program, FleetOptions{Routers: settings.Routers, RetryAfter: true, Caches: settings.Caches,
		KnownRouters: settings.Routers, OverloadFactor: soakOverloadFactor, Sockets: soakSockets(seed), MemoryMB: soakMemoryMB,
		MaxDeadline: s.maxDeadline, Operator: soakOperatorFile, Cells: soakCells(seed), KeyedWindow: soakWindow(seed),
		Address: func(cache int) string { return s.soakCaches[cache].Addr() },
		Answer:  func(int, fakes.Request) fakes.Reply { return fakes.Reply{} }})
	if err != nil {
		return nil, err
	}
	defer s.Close()
	for _, r := range s.Routers {
		s.startMonitor(r)
	}
	time.Sleep(soakSettleStart)
	s.run(seed)
	return s, nil
}

// run runs clients and injects faults for the length of a seed, and then waits for the answers that are due.
func (s *soakRun) run(seed uint64) {
	stop := make(chan struct{})
	var clients, faults sync.WaitGroup
	var goroutines []*goroutineMonitor
	for i, r := range s.Routers {
		goroutines = append(goroutines, startGoroutineMonitor(r, soakMonitorInterval))
		client := newSoakClient(r.ListenAddress, s.history, seed<<16|uint64(i), s.maxDeadline)
		client.sendsKeyed = hasKeyedClass(seed)
		clients.Go(func() { client.run(stop) })
		if hasIdleClients(seed) {
			clients.Go(func() { holdIdleConns(r.ListenAddress, stop) })
		}
	}
	end := s.start.Add(s.settings.Length)
	for i := range soakConcurrency {
		faults.Go(func() { s.injectFaults(rand.New(rand.NewPCG(seed, uint64(i))), end) })
	}
	faults.Wait()
	time.Sleep(soakSettleEnd)
	s.endRouters() // while the clients go on
	close(stop)
	clients.Wait()
	for _, monitor := range goroutines {
		s.goroutines = max(s.goroutines, monitor.stop())
	}
	if s.goroutines > soakMaxGoroutines {
		s.reportProcessError("a router had %d goroutines, more than %d", s.goroutines, soakMaxGoroutines)
	}
}

// soakSockets returns how many descriptors a router may hold in the run of a seed; 0: the default.
func soakSockets(seed uint64) int {
	if hasIdleClients(seed) {
		return soakIdleRunSockets
	}
	return 0
}

// summary formats the numbers of requests, answers, attempts and faults.
func (s *soakRun) summary() string {
	h := s.history
	h.mu.Lock()
	defer h.mu.Unlock()
	served, rejected, failed := 0, 0, 0
	for _, r := range h.requests {
		for _, answer := range r.answers {
			switch answer.code {
			case "":
				served++
			case rpc.CodeThrottled:
				rejected++
			default:
				failed++
			}
		}
	}
	return fmt.Sprintf("%d requests, %d served, %d rejected, %d failed, %d attempts, at most %.0f MB, %d descriptors, %d goroutines, "+
		"%d keyed repeats, %d faults (%s)", len(h.requests), served, rejected, failed, len(h.attempts), s.use.memoryMB, s.use.descriptors,
		s.goroutines, h.keyedRepeats, len(s.faults), formatKindCounts(s.faults))
}

// printFaults prints the faults, with their start and end in seconds since the start of the seed.
func (s *soakRun) printFaults(out io.Writer) {
	for _, fault := range s.faults {
		_, _ = fmt.Fprintf(out, "    %6.3f to %6.3f: %s\n", fault.begun.Sub(s.start).Seconds(), fault.ended.Sub(s.start).Seconds(),
			fault.description)
	}
}

// formatKindCounts formats how many faults there are of each kind, which is the first word of their description.
func formatKindCounts(faults []injectedFault) string {
	counts := map[string]int{}
	var order []string
	for _, fault := range faults {
		kind, _, _ := strings.Cut(fault.description, " ")
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
