package loadtest

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"time"

	"hillknot/internal/testutil/fakes"
	"hillknot/internal/testutil/timeline"
)

// FailoverCluster is a cluster whose routers take over each other's orders.
type FailoverCluster struct {
	*Cluster
	orders      *orderRecorder
	clientCount uint64 // clients made so far; each has its own seed
}

const (
	failoverOrderTime = 30 * time.Millisecond
	failoverBlock     = "  takeover {\n    strict = true\n  }\n"
	orderStepMessage  = "order step" // message of the log lines of which a timeline consists
)

// StartFailoverCluster starts a cluster whose routers take over each other's orders. The routers log from logLevel on, or
// from error if it is empty; Timeline needs debug.
func StartFailoverCluster(settings ClusterSettings, logLevel string) (*FailoverCluster, error) {
	c, err := newFailoverCluster(settings, logLevel, failoverBlock)
	if err != nil {
		return nil, err
	}
	if err := c.waitForMembership(); err != nil {
		return nil, c.closeAfter(err)
	}
	return c, nil
}

// startWithoutFailover starts routers that do not know each other, for comparison.
func startWithoutFailover(settings ClusterSettings) (*FailoverCluster, error) {
	return newFailoverCluster(settings, "", "")
}

// newFailoverCluster starts routers whose operator's files contain the given blocks in their block fleet.
func newFailoverCluster(settings ClusterSettings, logLevel, blocks string) (*FailoverCluster, error) {
	cluster, err := newCluster(settings.Seed)
	if err != nil {
		return nil, err
	}
	c := &FailoverCluster{Cluster: cluster, orders: newOrderRecorder(failoverOrderTime, settings.Seed)}
	options := clusterFleet(settings.Routers)
	options.Answer, options.LogLevel = c.orders.answer, logLevel
	if err := c.start(settings.Program, options, func(int) string { return blocks }); err != nil {
		return nil, c.closeAfter(err)
	}
	return c, nil
}

// nextClientNumber counts a new client and returns its number, from 1.
func (c *FailoverCluster) nextClientNumber() uint64 {
	c.clientCount++
	return c.clientCount
}

// nextClientSeed counts a new client and returns its seed.
func (c *FailoverCluster) nextClientSeed() uint64 { return c.seed<<32 + c.nextClientNumber() }

// Timeline returns the steps of orders that the routers logged, together with the given faults, in order of time. The routers
// must log at the level debug.
func (c *FailoverCluster) Timeline(faults ...timeline.Event) (timeline.Timeline, error) {
	events := slices.Clone(faults)
	for _, r := range c.Routers {
		logged, err := r.readEvents()
		if err != nil {
			return nil, err
		}
		events = append(events, logged...)
	}
	return timeline.Sort(events), nil
}

// readEvents reads the steps of orders from a router's log.
func (r *Router) readEvents() ([]timeline.Event, error) {
	file, err := os.Open(r.logPath())
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return timeline.ReadLog(r.name, orderStepMessage, file)
}

// orderRecorder answers requests on behalf of all page caches of a cluster, and records which orders ran.
type orderRecorder struct {
	mu         sync.Mutex
	runs       map[string]int // by object: how often the order ran
	orderTime  time.Duration  // minimum duration of an order
	quickPages bool           // pages are small and answered at once
	random     *rand.Rand
}

const (
	orderTimeSpread = 20 * time.Millisecond // upper bound of the random time that is added to the duration of an order
	slowPageTime    = 20 * time.Millisecond
	slowPageSize    = 1 << 10 // bytes
	quickPageSize   = 64      // bytes
)

func newOrderRecorder(orderTime time.Duration, seed uint64) *orderRecorder {
	return &orderRecorder{runs: map[string]int{}, orderTime: orderTime, random: rand.New(rand.NewPCG(seed, 9))}
}

// answer returns the reply to a request. An order counts as run at once; its reply is delayed by the duration of the order.
func (r *orderRecorder) answer(_ int, request fakes.Request) fakes.Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := fakes.Reply{Status: "DONE", Fields: fmt.Sprintf("res=cached,version=1,stamp=%d", time.Now().UnixMilli())}
	switch object := request.Fields["obj"]; {
	case request.Fields["kind"] == classOrder:
		r.runs[object]++
		reply.Body = []byte("done " + object)
		reply.Delay = r.orderTime + time.Duration(r.random.Int64N(int64(orderTimeSpread)))
	case r.quickPages:
		reply.Body = make([]byte, quickPageSize)
	default:
		reply.Body, reply.Delay = make([]byte, slowPageSize), slowPageTime
	}
	return reply
}

// ran returns how often the order of an item ran.
func (r *orderRecorder) ran(item uint64) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[objectName(item)]
}

// answerPagesQuickly makes all pages from now on small and answers them without delay.
func (r *orderRecorder) answerPagesQuickly() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.quickPages = true
}

// runTwice returns how many orders ran more than once.
func (r *orderRecorder) runTwice() (count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, runs := range r.runs {
		if runs > 1 {
			count++
		}
	}
	return count
}

// randomItem returns an item for an order that no other order has. It consists of the number of the client and random bits.
func (r *orderRecorder) randomItem(clientNumber uint64) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return clientNumber<<32 + r.random.Uint64()>>32
}
