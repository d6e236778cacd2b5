package loadtest

import (
	"slices"
	"sync"
	"time"
)

// Settings of the storm of rejections. Its start, its end and the time for which requests are sent are in units of time.
const (
	stormStart  = 2
	stormEnd    = 12
	stormLength = 15
	stormRate   = 200 // requests a second
	// stormMargin is excluded at both ends of the storm, because a request due there may have been answered outside of the
	// storm.
	stormMargin = 100 * time.Millisecond
)

// rejectionStorms measures how clients behave while all requests are rejected, with and without a Retry-After.
func (c *clientComparison) rejectionStorms() error {
	c.printf("| storm of refusals, %v, %d requests/s, 2 routers | tries per request in it | refused at once, median "+
		"| from its end to 95%% served |\n| --- | --- | --- | --- |\n", c.units(stormEnd-stormStart), stormRate)
	for _, retryAfter := range []bool{false, true} {
		for _, kind := range clientKinds {
			outcomes, err := c.rejectionStorm(kind, retryAfter)
			if err != nil {
				return err
			}
			name := kind.name + ", no wait told"
			if retryAfter {
				name = kind.name + ", with `later`"
			}
			during := dueBetween(outcomes, c.units(stormStart)+stormMargin, c.units(stormEnd)-stormMargin)
			c.printf("| %s | %.2f | %s | %s |\n", name, attemptsPerRequest(during), medianRejection(during),
				recoveryTime(outcomes, c.units(stormEnd)))
		}
	}
	c.printf("\n")
	return nil
}

// rejectionStorm sends requests with one client while the endpoints reject all requests for a time.
func (c *clientComparison) rejectionStorm(kind clientKind, retryAfter bool) ([]outcome, error) {
	fleet, requester, err := kind.start(c.program, independentFleet(2, retryAfter))
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	defer requester.close()
	var storm sync.WaitGroup
	storm.Go(func() {
		time.Sleep(c.units(stormStart))
		fleet.Backend.Set(BackendLoad{RejectAll: true})
		time.Sleep(c.units(stormEnd - stormStart))
		fleet.Backend.Set(BackendLoad{})
	})
	outcomes := sendOpenLoop(requester, stormRate, c.units(stormLength), 1, onlyPages)
	storm.Wait()
	return outcomes, nil
}

// dueBetween returns the outcomes of the requests that were due at from or later, but before to.
func dueBetween(outcomes []outcome, from, to time.Duration) (within []outcome) {
	for _, o := range outcomes {
		if o.due >= from && o.due < to {
			within = append(within, o)
		}
	}
	return within
}

func attemptsPerRequest(outcomes []outcome) float64 {
	attempts := 0
	for _, o := range outcomes {
		attempts += o.attempts
	}
	return float64(attempts) / float64(len(outcomes))
}

// medianRejection formats the median latency of the requests that were not served.
func medianRejection(outcomes []outcome) string {
	var latencies []time.Duration
	for _, o := range outcomes {
		if o.err != nil {
			latencies = append(latencies, o.latency)
		}
	}
	if len(latencies) == 0 {
		return "none refused"
	}
	slices.Sort(latencies)
	return latencies[len(latencies)/2].Round(100 * time.Microsecond).String()
}

const (
	recoveryStep     = 200 * time.Millisecond
	recoveryFraction = 0.95 // of the requests of a step are served once the fleet has recovered
)

// recoveryTime formats the time from the end of a fault until requests were served again in every later step.
func recoveryTime(outcomes []outcome, faultEnd time.Duration) string {
	served, total := map[int]int{}, map[int]int{}
	last := 0
	for _, o := range outcomes {
		if o.due < faultEnd {
			continue
		}
		step := int((o.due - faultEnd) / recoveryStep)
		last = max(last, step)
		total[step]++
		if o.err == nil {
			served[step]++
		}
	}
	for step := last; step >= 0; step-- {
		if float64(served[step]) >= recoveryFraction*float64(total[step]) {
			continue
		}
		if step == last {
			return "not seen"
		}
		return "≤ " + (time.Duration(step+1) * recoveryStep).String()
	}
	return "at once"
}
