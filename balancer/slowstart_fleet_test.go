package balancer

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// Many routers that each see few requests share one endpoint in slow start, first a cache, then a parent. They share no
// state. The sum of what they send must stay within the slow-start rule in every window, and the endpoint must get
// requests well before it has warmed up.
func TestManyRoutersKeepRuleForOneEndpoint(t *testing.T) {
	const cache, parent = 0, 4 // indices of testEndpoints
	for _, restarted := range []Endpoint{testEndpoints()[cache], testEndpoints()[parent]} {
		run := newWarmUpRun(t, restarted)
		for step := 0; run.now < run.restartAt+15*sec; step++ {
			run.step(step)
		}
		run.checkRule()
		run.checkEarlyLoad()
	}
}

// warmUpRun simulates many routers that send requests in turn while one endpoint restarts.
type warmUpRun struct {
	t         *testing.T
	settings  Settings
	rigs      []*rig
	restarted Endpoint
	now       time.Duration
	restartAt time.Duration
	usual     float64 // load of the endpoint before its restart, in seconds of service time per second
	sent      []sentWork
}

// sentWork is an attempt at the endpoint after its restart.
type sentWork struct{ at, serviceTime float64 }

func newWarmUpRun(t *testing.T, restarted Endpoint) *warmUpRun {
	t.Helper()
	const routers = 60
	run := &warmUpRun{t: t, settings: testSettings(), restarted: restarted, now: 100 * sec, restartAt: 130 * sec}
	run.settings.Topology.RoutersPerZone = []int{0, routers}
	for range routers {
		run.rigs = append(run.rigs, newRig(t, run.settings, testEndpoints()))
	}
	return run
}

// step sends a request to the next router. Each router gets about two requests per second, of which one in three is no
// hit.
func (run *warmUpRun) step(step int) {
	run.now += 500 * ms / time.Duration(len(run.rigs))
	turn := step % len(run.rigs)
	r := run.rigs[turn]
	r.now = run.now
	if turn == 0 && run.now >= run.restartAt && r.balancer.endpoints.byID[run.restarted.ID].startedAt == 0 {
		run.restart()
	}
	a := r.request("page", uint64(step)*2654435761>>8)
	if a.Endpoint == 0 {
		return
	}
	detail, fill := Hit, step%3 == 0
	if fill && a.Source != a.Endpoint {
		detail = Filled
	}
	if a.Endpoint == run.restarted.ID || detail == Filled && a.Source == run.restarted.ID {
		run.count(r.balancer.classes.byName["page"].serviceTime)
	}
	if a.Source == a.Endpoint && fill {
		r.finish(a, 0, Miss, NoDetail)
	} else {
		r.finish(a, 0, OK, detail)
	}
}

// restart lists the endpoint as restarted at all routers.
func (run *warmUpRun) restart() {
	run.restarted.StartedAt = run.now
	for _, r := range run.rigs {
		r.now = run.now
		r.handle(EndpointUpdate{Endpoints: []Endpoint{run.restarted}})
	}
}

// count adds an attempt's service time to the usual load before the restart, which takes 30 s, or to sent after it.
func (run *warmUpRun) count(serviceTime float64) {
	if run.now < run.restartAt {
		run.usual += serviceTime / 30
	} else {
		run.sent = append(run.sent, sentWork{(run.now - run.restartAt).Seconds(), serviceTime})
	}
}

// checkRule checks that no window holds more than the rule allows for the endpoint's earlier load and for how far it has
// warmed up.
func (run *warmUpRun) checkRule() {
	run.t.Helper()
	rule := run.settings.CacheSlowStart
	for i, a := range run.sent {
		total := 0.0
		for _, x := range run.sent[:i+1] {
			if x.at > a.at-rule.OverloadWindow.Seconds() {
				total += x.serviceTime
			}
		}
		warmFraction := rule.InitialCapacity + (1-rule.InitialCapacity)*a.at/rule.WarmUpTime.Seconds()
		limit := rule.OverloadFactor * warmFraction * rule.OverloadWindow.Seconds() * run.usual * 1.1
		if total > limit {
			run.t.Fatalf("endpoint %d, %.1f s after its start: %.2f s of service time in a window, the rule allows %.2f",
				run.restarted.ID, a.at, total, limit)
		}
	}
}

// checkEarlyLoad checks that the endpoint gets at least a second's usual load in the first 10 s after its restart.
func (run *warmUpRun) checkEarlyLoad() {
	run.t.Helper()
	early := 0.0
	for _, a := range run.sent {
		if a.at < 10 {
			early += a.serviceTime
		}
	}
	if early < run.usual {
		run.t.Errorf("endpoint %d was sent %.2f s of service time in its first 10 s, want at least %.2f s",
			run.restarted.ID, early, run.usual)
	}
}

// slowStartTrial describes a trial of the slow-start rule: many routers that share no state send requests, and what all
// of them send together is checked.
type slowStartTrial struct {
	restarted   string        // "cache", "parent", "all parents", or "caches" or "caches and routers" of a zone
	routers     int           // spread over zones with up to 30 routers and 4 caches each
	load        float64       // requested load, as part of what warmed-up caches can serve
	capacity    float64       // calls per second that a warmed-up cache can serve
	serviceTime time.Duration // of a call; a router assumes 200 ms before its first response
	uneven      bool          // a fifth of the routers get most of the traffic
	seed        uint64
}

const (
	trialStart   = 100 * sec
	trialRestart = 120 * sec
	trialEnd     = 140 * sec
	originID     = 9
)

// zones returns the number of zones with routers and caches.
func (c slowStartTrial) zones() int { return (c.routers + 29) / 30 }

// settings returns the settings of a router. The caller sets Topology.Zone.
func (c slowStartTrial) settings() Settings {
	s := testSettings()
	s.Capabilities.DirectAttempts, s.Capabilities.CoalesceFills = false, false
	s.Topology.Zones, s.Topology.RoutersPerZone = []string{"hub"}, []int{0}
	s.CacheSlowStart = SlowStartRule{InitialCapacity: 0.2, WarmUpTime: 15 * sec, OverloadFactor: 3, OverloadWindow: 2 * sec}
	s.ParentSlowStart = SlowStartRule{InitialCapacity: 0.08, WarmUpTime: 18 * sec, OverloadFactor: 2, OverloadWindow: 2 * sec}
	for z := range c.zones() {
		s.Topology.Zones = append(s.Topology.Zones, fmt.Sprint("e", z))
		s.Topology.RoutersPerZone = append(s.Topology.RoutersPerZone, (c.routers-z+c.zones()-1)/c.zones())
	}
	return s
}

// endpoints returns the endpoint list. The ids of parents start at 10, those of caches at 100.
func (c slowStartTrial) endpoints() (list []Endpoint) {
	for z := range c.zones() {
		for i := range 4 {
			list = append(list, listedEndpoint(EndpointID(100*(z+1)+i), "box", fmt.Sprint("e", z)))
		}
	}
	for i := range c.parents() {
		list = append(list, listedEndpoint(EndpointID(10+i), "mid", "hub"))
	}
	return append(list, listedEndpoint(originID, "store", "hub"))
}

// parents returns the number of parents.
func (c slowStartTrial) parents() int { return max(2, c.zones()/2) }

// restarts reports whether an endpoint is one of those that restart.
func (c slowStartTrial) restarts(e Endpoint) bool {
	switch c.restarted {
	case "cache":
		return e.ID == 100
	case "parent":
		return e.ID == 10
	case "all parents":
		return e.Kind == "mid"
	}
	return e.Kind == "box" && e.Zone == "e0"
}

// server simulates the capacity of a cache or a parent as a token bucket, which fills at the server's current rate. It
// rejects calls while the bucket is empty.
type server struct {
	rule       SlowStartRule
	rate       float64 // calls per second when warmed up
	tokens     float64
	filledAt   time.Duration
	restarts   bool
	knownCalls []time.Duration // times since the restart of calls from routers that knew of it
}

// warmFraction returns the part of its full rate that a server has at a time after its restart.
func (srv *server) warmFraction(at time.Duration) float64 {
	return min(1, srv.rule.InitialCapacity+(1-srv.rule.InitialCapacity)*float64(at)/float64(srv.rule.WarmUpTime))
}

// serve handles a call, and reports whether the server had capacity for it. known says whether the calling router knows
// of the restart.
func (srv *server) serve(now time.Duration, known bool) bool {
	rate := srv.rate
	if srv.restarts && now >= trialRestart {
		rate *= srv.warmFraction(now - trialRestart)
		if known {
			srv.knownCalls = append(srv.knownCalls, now-trialRestart)
		}
	}
	srv.tokens = min(srv.tokens+rate*(now-srv.filledAt).Seconds(), max(1, rate/2))
	srv.filledAt = now
	if srv.tokens < 1 {
		return false
	}
	srv.tokens--
	return true
}

// worstWindow returns the highest ratio of the calls in any window to N + 2 sqrt(N) + 2, where N is the number of calls
// that the rule allows in that window and the rest is a margin for chance.
func (srv *server) worstWindow() float64 {
	worst := 0.0
	for i, at := range srv.knownCalls {
		if at > srv.rule.WarmUpTime {
			break // the rule applies no longer
		}
		from, _ := slices.BinarySearch(srv.knownCalls, at-srv.rule.OverloadWindow)
		warm := srv.warmFraction((max(at-srv.rule.OverloadWindow, 0) + at) / 2)
		n := srv.rule.OverloadFactor * warm * srv.rate * srv.rule.OverloadWindow.Seconds()
		worst = max(worst, float64(i-from+1)/(n+2*math.Sqrt(n)+2))
	}
	return worst
}

// trialRun is the state of a running trial.
type trialRun struct {
	slowStartTrial
	t        *testing.T
	rnd      *rand.Rand
	base     Settings
	servers  map[EndpointID]*server
	rigs     []*rig
	learnsAt []time.Duration // when each router learns of the restart
	known    []bool          // which routers know of it
	newList  []Endpoint      // endpoint list after the restart
	now      time.Duration
}

// execute runs the trial and returns the highest worstWindow of all servers.
func (c slowStartTrial) execute(t *testing.T) float64 {
	t.Helper()
	run := &trialRun{
		slowStartTrial: c, t: t, rnd: rand.New(rand.NewPCG(c.seed, 17)), base: c.settings(),
		servers: map[EndpointID]*server{}, rigs: make([]*rig, c.routers), learnsAt: make([]time.Duration, c.routers),
		known: make([]bool, c.routers), newList: c.endpoints(), now: trialStart,
	}
	run.addServers()
	for i := range run.rigs {
		run.startRouter(i, c.endpoints())
		run.learnsAt[i] = trialRestart + time.Duration(run.rnd.Int64N(int64(400*ms)))
	}
	total := c.load * c.capacity * float64(4*c.zones())
	for run.now < trialEnd {
		i := run.randomRouter()
		run.announceRestart()
		run.request(i)
		run.now += time.Duration(run.rnd.ExpFloat64() / total * float64(sec))
	}
	worst := 0.0
	for _, srv := range run.servers {
		worst = max(worst, srv.worstWindow())
	}
	return worst
}

func (run *trialRun) addServers() {
	for i, e := range run.newList {
		srv := &server{rule: run.base.CacheSlowStart, rate: run.capacity, restarts: run.restarts(e), filledAt: trialStart}
		if e.Kind == "mid" { // a third of all calls are fills
			srv.rule = run.base.ParentSlowStart
			srv.rate = run.capacity * float64(4*run.zones()) / 3 / float64(run.parents()) * 1.4
		}
		run.servers[e.ID] = srv
		if srv.restarts {
			run.newList[i].StartedAt = trialRestart
		}
	}
}

func (run *trialRun) startRouter(i int, list []Endpoint) {
	run.t.Helper()
	own := run.base
	own.Topology.Zone = own.Topology.Zones[1+i%run.zones()]
	r := newRig(run.t, own, nil)
	r.now = run.now
	r.handle(EndpointUpdate{Complete: true, Endpoints: list})
	run.rigs[i] = r
}

// randomRouter returns a random router, which gets the next request.
func (run *trialRun) randomRouter() int {
	i := run.rnd.IntN(len(run.rigs))
	for run.uneven && i/run.zones()%5 > 0 && i >= run.zones() && run.rnd.IntN(8) > 0 {
		i = run.rnd.IntN(len(run.rigs))
	}
	return i
}

// announceRestart sends the new endpoint list to the routers that learn of the restart by now. Routers that restart
// themselves are replaced by new ones.
func (run *trialRun) announceRestart() {
	run.t.Helper()
	for i := range run.rigs {
		if run.known[i] || run.now < run.learnsAt[i] {
			continue
		}
		run.known[i] = true
		if run.restarted == "caches and routers" && i%run.zones() == 0 {
			run.startRouter(i, run.newList)
		} else {
			run.rigs[i].now = run.now
			run.rigs[i].handle(EndpointUpdate{Complete: true, Endpoints: run.newList})
		}
	}
}

// request sends a request to a router, and immediately ends all attempts that follow, including those of queued
// requests.
func (run *trialRun) request(i int) {
	r := run.rigs[i]
	r.now = run.now
	r.lastID++
	class := []string{"page", "page", "news"}[run.rnd.IntN(3)]
	object := run.rnd.Uint64() >> 8
	attempts := sentAttempts(r.handle(Request{ID: r.lastID, Class: class, Object: object, Group: object % 8, Remaining: 3 * sec}))
	for len(attempts) > 0 {
		a := attempts[0]
		status, detail := run.serve(a, run.known[i])
		attempts = append(attempts[1:], sentAttempts(r.handle(Outcome{ID: a.ID, Attempt: a.Attempt, Endpoint: a.Endpoint,
			Status: status, Answered: status == OK, Detail: detail, Elapsed: run.serviceTime}))...)
	}
}

// serve returns how an attempt ends. A third of the attempts are fills; in the first 10 s after the restart, all attempts
// at restarted endpoints are.
func (run *trialRun) serve(a SendAttempt, known bool) (Status, Detail) {
	to := run.servers[a.Endpoint]
	fill := run.rnd.IntN(3) == 0 || to.restarts && run.now >= trialRestart && run.now < trialRestart+10*sec
	switch {
	case !to.serve(run.now, known):
		return Rejected, NoDetail
	case fill && a.Source == a.Endpoint:
		return Miss, NoDetail
	case fill && a.Source != originID && !run.servers[a.Source].serve(run.now, known):
		return Rejected, SourceRejected
	case fill:
		return OK, Filled
	}
	return OK, Hit
}

var printTrials = flag.Bool("cold", false, "run all trials of slow start and print them as a table")

// Routers that share no state must together send a cache or parent in slow start no more than the rule allows plus a
// margin for chance. This must hold for 1 to 300 routers, for even and uneven traffic, and for service times other than
// the one that routers assume at their start.
func TestSlowStartRuleHoldsForAllRoutersTogether(t *testing.T) {
	loads, capacities, times := []float64{0.95}, []float64{2, 20}, []time.Duration{50 * ms}
	if *printTrials {
		loads, capacities = []float64{0.6, 0.95}, []float64{2, 6, 20, 80}
		times = []time.Duration{50 * ms, 200 * ms, 600 * ms}
	}
	for _, load := range loads {
		for _, serviceTime := range times {
			for _, restarted := range []string{"cache", "caches", "parent", "all parents", "caches and routers"} {
				row := fmt.Sprintf("| %s | %.2f | %v", restarted, load, serviceTime)
				for _, routers := range []int{1, 2, 3, 4, 5, 20, 30, 300} {
					for _, uneven := range []bool{false, true} {
						worst := 0.0
						for _, capacity := range capacities {
							worst = max(worst,
								slowStartTrial{restarted, routers, load, capacity, serviceTime, uneven, 1}.execute(t))
						}
						if row += fmt.Sprintf(" | %.2f", worst); worst > 1 {
							t.Errorf("%s: %d routers, load %.2f, uneven %v: %.2f times the calls that rule and chance allow",
								restarted, routers, load, uneven, worst)
						}
					}
				}
				if *printTrials {
					t.Log(strings.TrimSpace(row) + " |")
				}
			}
		}
	}
}
