package loadtest

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

const (
	soakMemoryMB        = 64   // memory that a router may use, as its configuration says
	soakMaxDescriptors  = 1024 // the default of the configuration
	soakMaxGoroutines   = 2000 // of a router; it has about two for each descriptor in use
	soakMonitorInterval = 200 * time.Millisecond
	soakFloodEvery      = 5 // one seed in this many has floods
	soakFloodConns      = 8
)

// soakOperatorFile returns the operator's file of a router, which exports its metrics.
func soakOperatorFile(_ int, ip string) (string, error) {
	return fmt.Sprintf("ops = \"%s:%d\"\n", ip, adminPort), nil
}

// startMonitor starts to sample the process of a router.
func (s *soakRun) startMonitor(r *Router) {
	monitor := startProcessMonitor(r.process.Process.Pid, soakMonitorInterval)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.monitors[r] = monitor
}

// finishMonitor ends the monitor of a process that has ended, and checks what the process used.
func (s *soakRun) finishMonitor(r *Router) {
	s.mu.Lock()
	monitor := s.monitors[r]
	delete(s.monitors, r)
	s.mu.Unlock()
	if monitor == nil {
		return
	}
	use, err := monitor.finish()
	if err != nil {
		return // the process ended before it was sampled
	}
	if use.memoryMB > soakMemoryMB || use.descriptors > soakMaxDescriptors {
		s.reportProcessError("%s: used %.0f MB and %d descriptors", r.ListenAddress, use.memoryMB, use.descriptors)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.use.memoryMB = max(s.use.memoryMB, use.memoryMB)
	s.use.descriptors = max(s.use.descriptors, use.descriptors)
}

// endRouters ends all routers at once with SIGTERM, and checks how each ends.
func (s *soakRun) endRouters() {
	var ends sync.WaitGroup
	for _, r := range s.Routers {
		ends.Go(func() { s.awaitExit(r, s.send(r, signalSeries{steps: atOnce(syscall.SIGTERM)})) })
	}
	ends.Wait()
}

// hasFloods reports whether clients flood routers in the run of a seed.
func hasFloods(seed uint64) bool { return seed%soakFloodEvery == 0 }

// floodTxnMark is the highest bit of a txn, which only floods set.
const floodTxnMark = 1 << 63

// isFloodTxn reports whether a txn belongs to a flood, whose requests are not recorded.
func isFloodTxn(txn uint64) bool { return txn&floodTxnMark != 0 }

// soakFloodConn returns the number of a connection of a flood, which no other connection of the run has. conn is its number within
// the flood: that of the client, and from bit 10 on how often the client has connected before.
func soakFloodConn(flood, conn uint64) uint64 {
	const clientBits, roundBits, roundShift = 4, 6, 10
	client, round := conn&(1<<clientBits-1), conn>>roundShift&(1<<roundBits-1)
	return floodTxnMark>>floodTxnBits | flood<<(clientBits+roundBits) | round<<clientBits | client
}

// floodRouter has clients flood a router for a while.
func (s *soakRun) floodRouter(random *rand.Rand) string {
	r := s.Routers[random.IntN(len(s.Routers))] // another fault may use it, too
	run := &floodRun{router: r, stop: make(chan struct{}), counts: &floodCounter{}}
	run.counts.markEnd() // the router may end at any time
	s.mu.Lock()
	s.floods++
	number := s.floods
	s.mu.Unlock()
	flood := startFloodClients(soakFloodConns, func(b []byte, conn, id uint64) ([]byte, bool) {
		return pageRequests(b, soakFloodConn(number, conn), id)
	}, true)(run)
	length := time.Duration(200+random.IntN(1000)) * time.Millisecond
	time.Sleep(length)
	close(run.stop)
	flood.Wait()
	return fmt.Sprintf("flood %s for %v", r.ListenAddress, length)
}
