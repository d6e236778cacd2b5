package loadtest

import (
	"fmt"
	"io"
	"os"
	"strings"
	"syscall"
	"time"
)

// FloodSettings holds the settings of MeasureFloods, which runs one router while its peers send faster than it can work, read
// nothing, or fail, and a steady client keeps to the protocol.
type FloodSettings struct {
	Program        string        // path of the router's program
	ClusterProgram string        // path of the program with the tag cluster, for the kinds that need it
	Kinds          []string      // those of FloodKinds to run
	Length         time.Duration // of each flood
}

const (
	floodMemoryMB = 64  // memory that the router may use, as its configuration says
	floodSockets  = 400 // descriptors that it may hold
	floodCaches   = 3

	// floodExitTimeout is how long the router has to end after SIGTERM: the longest deadline of the classes, counted as 3 s at
	// most, plus 0.7 s.
	floodExitTimeout = 3700 * time.Millisecond

	// floodConnectTime is how long after SIGTERM new connections come.
	floodConnectTime = 400 * time.Millisecond

	// floodExitGrace is how long MeasureFloods waits for a router that did not end in time before it kills it.
	floodExitGrace = 6 * time.Second
)

// MeasureFloods runs each kind of flood, and writes a table. The error says that the router broke a bound, or that a flood could
// not be run.
func MeasureFloods(settings FloodSettings, out io.Writer) error {
	_, _ = fmt.Fprintln(out,
		"| flood | peak MB | descriptors | goroutines | steady client: sent, served, refused, failed | late | lost | new connections: sent, answered, late, unanswered | longest | flood: sent, answered, lost | end after SIGTERM | operators: sent, unanswered, longest | agent check | DNS | broken |\n"+
			"| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	broken := 0
	for _, name := range settings.Kinds {
		kind, err := floodKindNamed(name)
		if err != nil {
			return err
		}
		result, err := runFlood(settings, kind)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		faults := result.faults()
		broken += len(faults)
		_, _ = fmt.Fprintf(out, "| %s | %s | %s |\n", name, result.cells(), strings.Join(faults, "; "))
	}
	if broken > 0 {
		return fmt.Errorf("%d bounds broken", broken)
	}
	return nil
}

// floodResult is what was seen of one flood.
type floodResult struct {
	use            resourceUse
	goroutines     int
	steady         steadyResult
	newConns       newConnResult // until the router is told to end
	probes         []probeResult // until then: of operators' address, agent check, DNS
	flood          floodCounts
	mayLoseAnswers bool // requests of the flood may be lost
	lateAttempts   int  // over maxAttemptAfterClose after the close of their client
	endedAfter     time.Duration
	endError       error // how the process ended; nil: with exit status 0
	endedInTime    bool
}

// faults returns the bounds that the router broke.
func (r *floodResult) faults() (faults []string) {
	add := func(broken bool, text string) {
		if broken {
			faults = append(faults, text)
		}
	}
	add(r.use.memoryMB > floodMemoryMB, fmt.Sprintf("memory over %d MB", floodMemoryMB))
	add(r.use.descriptors > floodSockets, fmt.Sprintf("over %d descriptors", floodSockets))
	add(r.steady.late > 0, "late answers")
	add(r.steady.lost > 0 || r.steady.answeredTwice > 0,
		"steady client without exactly one answer: "+strings.Join(r.steady.lostDetails, ", "))
	add(r.steady.answered() == 0, "steady client never answered")
	add(r.newConns.late > 0, "late answers on new connections")
	add(r.newConns.answered == 0, "no answers on new connections")
	add(!r.mayLoseAnswers && r.flood.lost > 0, "requests of the flood without an answer")
	add(r.flood.answeredTwice > 0, "requests of the flood answered twice")
	add(r.lateAttempts > 0, fmt.Sprintf("%d attempts over %v after their client's close", r.lateAttempts, maxAttemptAfterClose))
	add(!r.endedInTime, "did not end in time")
	add(r.endError != nil, fmt.Sprintf("ended with: %v", r.endError))
	return faults
}

// cells formats the result as cells of a table.
func (r *floodResult) cells() string {
	return fmt.Sprintf("%.0f | %d | %d | %d, %d, %d, %d | %d | %d | %d, %d, %d, %d | %v | %d, %d, %d | %v | %v | %v | %v",
		r.use.memoryMB, r.use.descriptors, r.goroutines,
		r.steady.sent, r.steady.served, r.steady.refused, r.steady.failed, r.steady.late, r.steady.lost,
		r.newConns.sent, r.newConns.answered, r.newConns.late, r.newConns.unanswered, r.newConns.longest.Round(time.Millisecond),
		r.flood.sent, r.flood.answered, r.flood.lost, r.endedAfter.Round(time.Millisecond),
		r.probes[0], r.probes[1], r.probes[2])
}

// floodRun is the run of one flood.
type floodRun struct {
	router *Router
	length time.Duration
	peers  *floodPeers
	stop   chan struct{} // closed when the flood is to end
	counts *floodCounter
}

// runFlood runs one flood: the router starts, the steady client and the flood send, and the router is told to end while both go
// on.
func runFlood(settings FloodSettings, kind floodKind) (*floodResult, error) {
	peers, err := startFloodPeers(kind.discovery, kind.cache)
	if err != nil {
		return nil, err
	}
	defer peers.Close()
	options := FleetOptions{Routers: 1, Caches: floodCaches, KnownRouters: 1, OverloadFactor: 4, Sockets: floodSockets,
		MemoryMB: floodMemoryMB, Address: peers.cacheAddress, DiscoveryAddress: peers.discoveryAddress(), Operator: floodOperatorFile,
		LogLevel: "info"}
	program := settings.Program
	if kind.cluster {
		dir, err := os.MkdirTemp("", "hillknot-keys-")
		if err != nil {
			return nil, err
		}
		defer os.RemoveAll(dir)
		program, options.Operator = settings.ClusterProgram, gossipOperatorFile(dir)
	}
	if kind.log != nil {
		pipe, err := kind.log()
		if err != nil {
			return nil, err
		}
		defer pipe.read.Close() // a closed one does no harm
		options.Log = pipe.write
	}
	fleet, err := StartFleet(program, options)
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	run := &floodRun{router: fleet.Routers[0], length: settings.Length, peers: peers, stop: make(chan struct{}), counts: &floodCounter{}}
	return run.play(kind)
}

// play floods the router while the steady client and the client with new connections send, and has it end.
func (run *floodRun) play(kind floodKind) (result *floodResult, err error) {
	monitor := startProcessMonitor(run.router.process.Process.Pid, sampleInterval)
	goroutines := startGoroutineMonitor(run.router, goroutineSampleInterval)
	steady := startSteadyClient(run.router.ListenAddress)
	newConns := startNewConnClient(run.router.ListenAddress)
	probes := startFrontProbes(run.router)
	flood := kind.start(run)
	time.Sleep(run.length)

	result = &floodResult{mayLoseAnswers: kind.mayLoseAnswers, newConns: newConns.stop()}
	for _, probe := range probes {
		result.probes = append(result.probes, probe.stop())
	}
	time.AfterFunc(floodConnectTime, steady.stopConnecting)
	result.end(run)
	close(run.stop)
	flood.Wait()
	result.steady = steady.stop()
	result.goroutines = goroutines.stop()
	result.flood = run.counts.read()
	result.lateAttempts = run.peers.lateAttempts()
	result.use, err = monitor.finish()
	return result, err
}

// end tells the router to end while the flood and the steady client go on sending, and records how it ends.
func (r *floodResult) end(run *floodRun) {
	begun := time.Now()
	run.counts.markEnd()
	run.router.Signal(syscall.SIGTERM)
	ended := make(chan error, 1)
	go func() { ended <- run.router.wait() }()
	select {
	case r.endError = <-ended:
	case <-time.After(floodExitGrace):
		run.router.Signal(syscall.SIGKILL)
		r.endError = fmt.Errorf("killed: %w", <-ended)
	}
	r.endedAfter = time.Since(begun)
	r.endedInTime = r.endedAfter <= floodExitTimeout
}

// floodOperatorFile returns the operator's file of a router: all front ends, on ports of the router's own address.
func floodOperatorFile(_ int, ip string) (string, error) {
	return fmt.Sprintf(`ops = "%[1]s:%[2]d"
agent_check {
  listen = "%[1]s:%[3]d"
}
dns {
  listen = "%[1]s:%[4]d"
  names  = ["%[5]s"]
}
`, ip, adminPort, floodAgentCheckPort, floodDNSPort, floodZone), nil
}

// The ports and the DNS zone of floodOperatorFile.
const (
	floodAgentCheckPort = 7054
	floodDNSPort        = 7053
	floodZone           = "flood.example.org"
)
