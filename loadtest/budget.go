package loadtest

import (
	"fmt"
	"math"
	"sync"
	"time"

	"hillknot/internal/testutil/fakes"
)

// budget limits the attempts of all routers of a cluster together.
type budget struct {
	rate  float64 // attempts a second
	burst float64 // attempts
}

// The budgets that the routers of a BudgetCluster share. They are so small that the load would exceed them all the time.
var (
	slowStartBudget = budget{rate: 5, burst: 14} // for attempts at page caches that warm up
	retryBudget     = budget{rate: 14, burst: 14}
)

// burstPerRouter is the minimum burst of a budget for each router that shares it, in attempts.
const burstPerRouter = 2.0

// forRouters returns the budget for a number of routers: its burst is raised to burstPerRouter for each of them.
func (b budget) forRouters(count int) budget {
	return budget{rate: b.rate, burst: max(b.burst, burstPerRouter*float64(count))}
}

// block formats the budget as a named block of the operator's file.
func (b budget) block(name string) string {
	return fmt.Sprintf("  %s {\n    rate  = %g\n    burst = %g\n  }\n", name, b.rate, b.burst)
}

const (
	budgetLoadRate     = 25.0 // requests a second on each router
	budgetFailFraction = 0.2  // of the requests fail at the page caches, after which they may have run
	budgetRequestTime  = 10 * time.Millisecond
	budgetBodySize     = 1 << 10         // bytes
	leaseExpiryWait    = 3 * time.Second // after this time, no share that was lent before the start is valid
)

// BudgetCluster is a cluster whose routers share budgets: one for attempts at page caches that warm up, one for retries.
type BudgetCluster struct {
	*Cluster
	recorder *attemptRecorder
}

// startBudgetCluster starts a cluster whose routers share budgets, with a number of page caches that are not on the endpoint
// list yet.
func startBudgetCluster(settings ClusterSettings, unlistedCaches int) (*BudgetCluster, error) {
	blocks := slowStartBudget.forRouters(settings.Routers).block("cold") + retryBudget.forRouters(settings.Routers).block("retries")
	c, err := newBudgetCluster(settings, unlistedCaches, blocks)
	if err != nil {
		return nil, err
	}
	time.Sleep(leaseExpiryWait)
	if err := c.waitForMembership(); err != nil {
		return nil, c.closeAfter(err)
	}
	return c, nil
}

// startWithoutBudgets starts routers that share no state, for comparison.
func startWithoutBudgets(settings ClusterSettings) (*BudgetCluster, error) {
	return newBudgetCluster(settings, 0, "")
}

// newBudgetCluster starts routers whose operator's files contain the given blocks in their block fleet.
func newBudgetCluster(settings ClusterSettings, unlistedCaches int, blocks string) (*BudgetCluster, error) {
	cluster, err := newCluster(settings.Seed)
	if err != nil {
		return nil, err
	}
	c := &BudgetCluster{Cluster: cluster, recorder: newAttemptRecorder(settings.Seed)}
	options := clusterFleet(settings.Routers)
	options.UnlistedCaches, options.Answer = unlistedCaches, c.recorder.answer
	if err := c.start(settings.Program, options, func(int) string { return blocks }); err != nil {
		return nil, c.closeAfter(err)
	}
	return c, nil
}

// attemptRecorder records the attempts that the page caches receive, and fails some of them.
type attemptRecorder struct {
	mu                sync.Mutex
	slowStartAttempts []time.Time     // arrivals at the page cache that warms up
	retryAttempts     []time.Time     // arrivals of attempts whose request may have run before
	mayHaveRun        map[string]bool // by request id: it failed, and may have run
	orderRuns         map[string]int  // by object: how often the order ran
	warmingCache      int             // number of the page cache that warms up; negative: none
	warmingSince      time.Time
	outlier           int     // number of the page cache that fails all requests, or noOutlier
	failFraction      float64 // of the requests that the other page caches fail
	outlierCount      int     // attempts at the outlier
	randomState       uint64
}

const noOutlier = -1

func newAttemptRecorder(seed uint64) *attemptRecorder {
	return &attemptRecorder{mayHaveRun: map[string]bool{}, orderRuns: map[string]int{}, warmingCache: math.MinInt, outlier: noOutlier,
		failFraction: budgetFailFraction, randomState: seed}
}

// answer records an attempt, and either fails or serves it.
func (r *attemptRecorder) answer(cache int, request fakes.Request) fakes.Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if cache == r.warmingCache && now.Sub(r.warmingSince) < slowStart {
		r.slowStartAttempts = append(r.slowStartAttempts, now)
	}
	if request.Fields["kind"] == classOrder {
		r.orderRuns[request.Fields["obj"]]++
	}
	if r.mayHaveRun[request.ID] {
		r.retryAttempts = append(r.retryAttempts, now)
	}
	if cache == r.outlier {
		r.outlierCount++
	}
	if cache == r.outlier || r.random() < r.failFraction {
		r.mayHaveRun[request.ID] = true
		return fakes.Reply{Status: "BROKE"}
	}
	return fakes.Reply{Status: "DONE", Body: make([]byte, budgetBodySize), Delay: budgetRequestTime,
		Fields: fmt.Sprintf("res=cached,version=1,stamp=%d", now.UnixMilli())}
}

// random returns the next pseudorandom number from 0 to 1. The sequence follows from the seed.
func (r *attemptRecorder) random() float64 {
	r.randomState = r.randomState*6364136223846793005 + 1442695040888963407
	return float64(r.randomState>>11) / (1 << 53)
}

// startWarmUp discards the attempts recorded so far, and records attempts at a page cache that warms up from now on.
func (r *attemptRecorder) startWarmUp(cache int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slowStartAttempts, r.retryAttempts, r.warmingCache, r.warmingSince = nil, nil, cache, time.Now()
}

// setOutlier makes one page cache fail all requests, and the others serve all. With noOutlier, no page cache fails any
// request.
func (r *attemptRecorder) setOutlier(cache int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outlier, r.failFraction = cache, 0
}

// outlierAttempts returns how many attempts the outlier has received.
func (r *attemptRecorder) outlierAttempts() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.outlierCount
}
