package client

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hillknot/client/policy"
)

// Event is what an Observation tells of.
type Event uint8

// The events.
const (
	Tried        Event = iota // a call goes out; Retry marks a further try
	Answered                  // a router has answered a try; see Result and Wait
	Ended                     // a call has ended; see Verdict, Tries and Took
	Connected                 // a connection is up
	DialFailed                // one did not come up; see Err
	Disconnected              // one has ended; see Err
	Drained                   // a router said that it takes no clients
)

// Observation is something that happened.
type Observation struct {
	What    Event
	Router  string // address; empty where there is none
	Class   string
	Retry   bool
	Result  policy.Result
	Verdict policy.Verdict
	Wait    time.Duration
	Tries   int
	Took    time.Duration
	Err     error
}

// Latency summarises how long calls of a class took, over all their tries.
type Latency struct {
	Count                    int64
	Mean, P50, P95, P99, Max time.Duration
}

// Stats are the figures of a client since its start.
type Stats struct {
	policy.Counts
	Open    int // calls begun and not ended
	Waiting int // of these, not sent yet
	Ended   map[policy.Verdict]uint64
	Strays  uint64 // answers for which nobody waited any more
	Served  map[string]Latency
}

// stats is what the client counts, under its lock.
type stats struct {
	ends   [policy.Withdrawn + 1]uint64
	strays uint64
	served []*hdrhistogram.Histogram // by class, in microseconds
}

func (s *stats) init(classes int) {
	for range classes {
		// Two figures from 1 µs to two hours, in some 20 kB a class.
		s.served = append(s.served, hdrhistogram.New(1, (2*time.Hour).Microseconds(), 2))
	}
}

func (s *stats) ended(q *call, e policy.Outcome) {
	s.ends[e.Verdict]++
	if e.Verdict == policy.Served {
		_ = s.served[q.class].RecordValue(q.resp.Took.Microseconds()) // no call is over an hour
	}
}

// Stats returns the figures up to now.
func (c *Client) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Stats{Counts: c.pol.Counts(), Open: len(c.open), Waiting: c.pol.Waiting(), Strays: c.stats.strays,
		Ended: map[policy.Verdict]uint64{}, Served: map[string]Latency{}}
	for v, n := range c.stats.ends {
		s.Ended[policy.Verdict(v)] = n
	}
	for i, h := range c.stats.served {
		us := func(v int64) time.Duration { return time.Duration(v) * time.Microsecond }
		s.Served[c.names[i]] = Latency{Count: h.TotalCount(), Mean: us(int64(h.Mean())), P50: us(h.ValueAtQuantile(50)),
			P95: us(h.ValueAtQuantile(95)), P99: us(h.ValueAtQuantile(99)), Max: us(h.Max())}
	}
	return s
}

// observe keeps what is to be told once the lock is free, which is held.
func (c *Client) observe(o Observation) {
	if c.cfg.Observer != nil {
		c.seen = append(c.seen, o)
	}
}

// unlock frees the lock and tells the observer what has happened under it.
func (c *Client) unlock() {
	if len(c.seen) == 0 {
		c.mu.Unlock()
		return
	}
	c.tell.Lock() // before the other is free: observations come in their order
	seen := c.seen
	c.seen = nil
	c.mu.Unlock()
	for _, o := range seen {
		c.cfg.Observer(o)
	}
	c.tell.Unlock()
}
