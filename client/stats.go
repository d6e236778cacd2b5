package client

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hillknot/client/policy"
)

// Latency summarizes how long the requests of a class took, over all their attempts.
type Latency struct {
	Count                    int64
	Mean, P50, P95, P99, Max time.Duration
}

// Stats holds the statistics of a client since its start.
type Stats struct {
	policy.Counts
	Open    int                       // requests that have not ended
	Waiting int                       // open requests that have not been sent yet
	Ended   map[policy.Verdict]uint64 // requests that have ended
	Strays  uint64                    // responses to requests that had ended already
	Served  map[string]Latency        // latency of the requests that were served, by class
}

// counters holds the client's own statistics. The client's lock guards it.
type counters struct {
	ended  [policy.Withdrawn + 1]uint64 // by verdict
	strays uint64
	served []*hdrhistogram.Histogram // by class, in microseconds
}

const (
	maxLatency    = 2 * time.Hour // no request takes longer than an hour
	latencyDigits = 2             // significant digits; about 20 kB per class
)

func newCounters(classes int) counters {
	var s counters
	for range classes {
		s.served = append(s.served, hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits))
	}
	return s
}

// recordEnd counts a call that has ended.
func (s *counters) recordEnd(call *pendingCall) {
	s.ended[call.outcome.Verdict]++
	if call.outcome.Verdict == policy.Served {
		_ = s.served[call.class].RecordValue(call.response.Took.Microseconds()) // it can't be out of range
	}
}

// Stats returns a consistent snapshot of the statistics. The caller may change it.
func (c *Client) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	stats := Stats{
		Counts:  c.policy.Counts(),
		Open:    len(c.calls),
		Waiting: c.policy.Waiting(),
		Ended:   map[policy.Verdict]uint64{},
		Strays:  c.counters.strays,
		Served:  map[string]Latency{},
	}
	for verdict, n := range c.counters.ended {
		stats.Ended[policy.Verdict(verdict)] = n
	}
	for class, histogram := range c.counters.served {
		stats.Served[c.classes.list[class].name] = summarize(histogram)
	}
	return stats
}

func summarize(histogram *hdrhistogram.Histogram) Latency {
	microseconds := func(v int64) time.Duration { return time.Duration(v) * time.Microsecond }
	return Latency{
		Count: histogram.TotalCount(),
		Mean:  microseconds(int64(histogram.Mean())),
		P50:   microseconds(histogram.ValueAtQuantile(50)),
		P95:   microseconds(histogram.ValueAtQuantile(95)),
		P99:   microseconds(histogram.ValueAtQuantile(99)),
		Max:   microseconds(histogram.Max()),
	}
}
