package loadtest

import (
	"sync"
	"syscall"
	"time"
)

// faultSequenceRate is the rate of the client, in requests a second.
const faultSequenceRate = 150

// faultPhase is a phase of the sequence of faults.
type faultPhase struct {
	name  string
	until int                // end of the phase, in units of time since the start
	apply func(*Fleet) error // changes the fleet at the start of the phase; nil: no change
}

// setBackend returns a function that changes how the endpoints behave.
func setBackend(load BackendLoad) func(*Fleet) error {
	return func(f *Fleet) error {
		f.Backend.Set(load)
		return nil
	}
}

// signalRouter returns a function that sends a signal to a router.
func signalRouter(router int, signal syscall.Signal) func(*Fleet) error {
	return func(f *Fleet) error {
		f.Routers[router].Signal(signal)
		return nil
	}
}

// faultPhases is the sequence of faults, one after another. It takes sixty units of time.
var faultPhases = []faultPhase{
	{"calm", 5, nil},
	{"a router hangs", 13, signalRouter(0, syscall.SIGSTOP)},
	{"calm", 18, signalRouter(0, syscall.SIGCONT)},
	{"a router is away", 22, func(f *Fleet) error { f.Routers[1].Kill(); return nil }},
	{"it is back", 26, func(f *Fleet) error { return f.Routers[1].Start() }},
	{"all is refused", 32, setBackend(BackendLoad{RejectAll: true})},
	{"calm", 36, setBackend(BackendLoad{})},
	{"page caches take 150 ms more", 42, setBackend(BackendLoad{Delay: 150 * time.Millisecond})},
	{"page caches do 100/s", 54, setBackend(BackendLoad{Rate: 100})},
	{"calm", 60, setBackend(BackendLoad{})},
}

// faultSequence measures the weight that requests earn during the sequence of faults.
func (c *clientComparison) faultSequence() error {
	length := c.units(faultPhases[len(faultPhases)-1].until)
	c.printf("| bad minute (%v), %d requests/s, 3 routers | worth earned of worth asked | tries per request "+
		"| asked of the page caches | ran twice |\n| --- | --- | --- | --- | --- |\n", length, faultSequenceRate)
	results := map[string]*faultSequenceResult{}
	for _, kind := range clientKinds {
		r, err := c.runFaultSequence(kind, length)
		if err != nil {
			return err
		}
		results[kind.name] = r
		c.printf("| %s | %.3f | %.2f | %d | %d |\n", kind.name, earnedFraction(r.outcomes), attemptsPerRequest(r.outcomes),
			r.backendRequests, r.ordersRunTwice)
	}
	c.printf("\n| part of the bad minute, up to | plain | library |\n| --- | --- | --- |\n")
	from := time.Duration(0)
	for _, phase := range faultPhases {
		until := c.units(phase.until)
		plain := dueBetween(results[plainKind.name].outcomes, from, until)
		library := dueBetween(results[libraryKind.name].outcomes, from, until)
		c.printf("| %v: %s | %.3f | %.3f |\n", until, phase.name, earnedFraction(plain), earnedFraction(library))
		from = until
	}
	return nil
}

// faultSequenceResult holds the outcomes of the requests of one client.
type faultSequenceResult struct {
	outcomes        []outcome
	backendRequests int
	ordersRunTwice  int
}

// runFaultSequence sends requests with one client of a kind during the sequence of faults.
func (c *clientComparison) runFaultSequence(kind clientKind, length time.Duration) (*faultSequenceResult, error) {
	fleet, requester, err := kind.start(c.program, independentFleet(3, true))
	if err != nil {
		return nil, err
	}
	var faultErr error
	var faults sync.WaitGroup
	faults.Go(func() { faultErr = fleet.runFaultSequence(c.unit) })
	r := &faultSequenceResult{outcomes: sendOpenLoop(requester, faultSequenceRate, length, 1, mixedClasses)}
	faults.Wait()
	requester.close()
	fleet.Close()
	r.backendRequests = fleet.Backend.Requests
	for _, o := range r.outcomes {
		if o.class == classOrder && fleet.Backend.ran(o.item) > 1 {
			r.ordersRunTwice++
		}
	}
	return r, faultErr
}

// runFaultSequence applies the changes of each phase at its start.
func (f *Fleet) runFaultSequence(unit time.Duration) error {
	start, phaseStart := time.Now(), time.Duration(0)
	for _, phase := range faultPhases {
		time.Sleep(phaseStart - time.Since(start))
		if phase.apply != nil {
			if err := phase.apply(f); err != nil {
				return err
			}
		}
		phaseStart = time.Duration(phase.until) * unit
	}
	return nil
}

// earnedFraction returns the weight that requests earned, as a fraction of the weight that they could have earned.
func earnedFraction(outcomes []outcome) float64 {
	earned, possible := 0.0, 0.0
	for _, o := range outcomes {
		earned += o.earned()
		possible += o.weight()
	}
	return earned / possible
}
