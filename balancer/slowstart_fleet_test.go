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

// Many routers that each see few requests share one cache and one parent in slow start. No router knows of the
// others, and still their sum stays within the rule in every window, while the endpoint gets requests well before
// it has warmed up.
func TestManyRoutersWarmUpOneEndpoint(t *testing.T) {
	const cache, parent = 0, 4 // places in the list
	for _, restarted := range []Endpoint{fleetList()[cache], fleetList()[parent]} {
		run := newWarmUpRun(t, restarted)
		for step := 0; run.now < run.restartAt+15*sec; step++ {
			run.step(step)
		}
		run.checkRule()
		run.checkEarlyLoad()
	}
}

// warmUpRun is many routers that send requests in turn, while one endpoint restarts.
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
	run := &warmUpRun{t: t, settings: site(), restarted: restarted, now: 100 * sec, restartAt: 130 * sec}
	run.settings.Topology.RoutersPerZone = []int{0, routers}
	for range routers {
		run.rigs = append(run.rigs, newRig(t, run.settings, fleetList()))
	}
	return run
}

// step lets the next router send a request: each sends about two a second, of which one in three is no hit.
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

func (run *warmUpRun) restart() {
	run.restarted.StartedAt = run.now
	for _, r := range run.rigs {
		r.now = run.now
		r.handle(EndpointUpdate{Endpoints: []Endpoint{run.restarted}})
	}
}

func (run *warmUpRun) count(serviceTime float64) {
	if run.now < run.restartAt {
		run.usual += serviceTime / 30
	} else {
		run.sent = append(run.sent, sentWork{(run.now - run.restartAt).Seconds(), serviceTime})
	}
}

// checkRule: no window holds more than the rule allows of the capacity that the endpoint has shown, as far as it
// has warmed up.
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
		warm := rule.InitialCapacity + (1-rule.InitialCapacity)*a.at/rule.WarmUpTime.Seconds()
		most := rule.OverloadFactor * warm * rule.OverloadWindow.Seconds() * run.usual * 1.1
		if total > most {
			run.t.Fatalf("endpoint %d, %.1f s after its start: %.2f s of service time in a window, the rule allows %.2f",
				run.restarted.ID, a.at, total, most)
		}
	}
}

func (run *warmUpRun) checkEarlyLoad() {
	run.t.Helper()
	early := 0.0
	for _, a := range run.sent {
		if a.at < 10 {
			early += a.serviceTime
		}
	}
	if early < run.usual {
		run.t.Errorf("endpoint %d was sent %.2f s of service time in its first 10 s, before its restart %.2f a second",
			run.restarted.ID, early, run.usual)
	}
}

// slowStartTrial tries the slow-start rule: many routers that share no state, and what all of them send together.
type slowStartTrial struct {
	restarted   string        // "cache", "parent", all of them, or "caches and routers" of a zone
	routers     int           // in zones of 30 at most, with 4 caches each
	load        float64       // what clients ask for, as part of what warmed-up caches can serve
	capacity    float64       // calls a second that a warmed-up cache can serve
	serviceTime time.Duration // of a call; 200 ms is what a router assumes before its first response
	uneven      bool          // a fifth of the routers get most of the traffic
	seed        uint64
}

const (
	trialStart   = 100 * sec
	trialRestart = 120 * sec
	trialEnd     = 140 * sec
	storeID      = 9
)

// zones is the number of zones with routers and caches.
func (c slowStartTrial) zones() int { return (c.routers + 29) / 30 }

// settings are those of a router in the first zone.
func (c slowStartTrial) settings() Settings {
	s := site()
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

// endpoints is the list: parents have the ids from 10, caches those from 100.
func (c slowStartTrial) endpoints() (list []Endpoint) {
	for z := range c.zones() {
		for i := range 4 {
			list = append(list, listedEndpoint(EndpointID(100*(z+1)+i), "box", fmt.Sprint("e", z)))
		}
	}
	for i := range c.parents() {
		list = append(list, listedEndpoint(EndpointID(10+i), "mid", "hub"))
	}
	return append(list, listedEndpoint(storeID, "store", "hub"))
}

func (c slowStartTrial) parents() int { return max(2, c.zones()/2) }

// restarts tells whether an endpoint is one of those that restart.
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

// server is what a cache or a parent can serve: a token bucket that fills at its rate of that moment. It rejects
// what finds the bucket empty.
type server struct {
	rule       SlowStartRule
	rate       float64 // when warmed up
	tokens     float64
	filledAt   time.Duration
	restarts   bool
	knownCalls []time.Duration // since its restart, of routers that knew of it
}

// warm is the part of its full rate that a server has at a time after its restart.
func (m *server) warm(at time.Duration) float64 {
	return min(1, m.rule.InitialCapacity+(1-m.rule.InitialCapacity)*float64(at)/float64(m.rule.WarmUpTime))
}

// serve takes a call, unless it has to reject it.
func (m *server) serve(now time.Duration, known bool) bool {
	rate := m.rate
	if m.restarts && now >= trialRestart {
		rate *= m.warm(now - trialRestart)
		if known {
			m.knownCalls = append(m.knownCalls, now-trialRestart)
		}
	}
	m.tokens = min(m.tokens+rate*(now-m.filledAt).Seconds(), max(1, rate/2))
	m.filledAt = now
	if m.tokens < 1 {
		return false
	}
	m.tokens--
	return true
}

// worstWindow is the most calls in any window, over N + 2 root N + 2: N is what the rule allows then, and the rest
// is what chance may add.
func (m *server) worstWindow() float64 {
	worst := 0.0
	for i, at := range m.knownCalls {
		if at > m.rule.WarmUpTime {
			break // the rule holds no longer
		}
		from, _ := slices.BinarySearch(m.knownCalls, at-m.rule.OverloadWindow)
		warm := m.warm((max(at-m.rule.OverloadWindow, 0) + at) / 2)
		n := m.rule.OverloadFactor * warm * m.rate * m.rule.OverloadWindow.Seconds()
		worst = max(worst, float64(i-from+1)/(n+2*math.Sqrt(n)+2))
	}
	return worst
}

// trialRun is a trial that is being played.
type trialRun struct {
	slowStartTrial
	t        *testing.T
	rnd      *rand.Rand
	base     Settings
	servers  map[EndpointID]*server
	rigs     []*rig
	learnsAt []time.Duration // when each router learns of the restart
	known    []bool          // which routers know of it
	newList  []Endpoint      // the list after it
	now      time.Duration
}

// play returns the worst window of all servers.
func (c slowStartTrial) play(t *testing.T) float64 {
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
		i := run.busyRouter()
		run.spreadRestart()
		run.request(i)
		run.now += time.Duration(run.rnd.ExpFloat64() / total * float64(sec))
	}
	worst := 0.0
	for _, m := range run.servers {
		worst = max(worst, m.worstWindow())
	}
	return worst
}

func (run *trialRun) addServers() {
	for i, e := range run.newList {
		m := &server{rule: run.base.CacheSlowStart, rate: run.capacity, restarts: run.restarts(e), filledAt: trialStart}
		if e.Kind == "mid" { // a third of all calls are filled
			m.rule = run.base.ParentSlowStart
			m.rate = run.capacity * float64(4*run.zones()) / 3 / float64(run.parents()) * 1.4
		}
		run.servers[e.ID] = m
		if m.restarts {
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

// busyRouter draws the router that gets the next request.
func (run *trialRun) busyRouter() int {
	i := run.rnd.IntN(len(run.rigs))
	for run.uneven && i/run.zones()%5 > 0 && i >= run.zones() && run.rnd.IntN(8) > 0 {
		i = run.rnd.IntN(len(run.rigs))
	}
	return i
}

// spreadRestart tells the routers that learn of the restart by now, or starts them anew where they have restarted,
// too.
func (run *trialRun) spreadRestart() {
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

// request sends a request to a router, and ends at once all attempts that follow, also those of queued requests.
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

// serve is how an attempt ends. A third are fills; at a cache that has just restarted, all are.
func (run *trialRun) serve(a SendAttempt, known bool) (Status, Detail) {
	to := run.servers[a.Endpoint]
	fill := run.rnd.IntN(3) == 0 || to.restarts && run.now >= trialRestart && run.now < trialRestart+10*sec
	switch {
	case !to.serve(run.now, known):
		return Rejected, NoDetail
	case fill && a.Source == a.Endpoint:
		return Miss, NoDetail
	case fill && a.Source != storeID && !run.servers[a.Source].serve(run.now, known):
		return Rejected, SourceRejected
	case fill:
		return OK, Filled
	}
	return OK, Hit
}

var printTrials = flag.Bool("cold", false, "play all trials of slow start and print them as a table")

// All routers together send a cache or parent in slow start no more than the rule allows and chance may add,
// although they share no state: be they one or three hundred, alike or not, and whatever service time they assumed
// at their start.
func TestSlowStartOfManyRouters(t *testing.T) {
	loads, capacities, times := []float64{0.95}, []float64{2, 20}, []time.Duration{50 * ms}
	if *printTrials {
		loads, capacities = []float64{0.6, 0.95}, []float64{2, 6, 20, 80}
		times = []time.Duration{50 * ms, 200 * ms, 600 * ms}
	}
	for _, load := range loads {
		for _, took := range times {
			for _, what := range []string{"cache", "caches", "parent", "all parents", "caches and routers"} {
				row := fmt.Sprintf("| %s | %.2f | %v", what, load, took)
				for _, routers := range []int{1, 2, 3, 4, 5, 20, 30, 300} {
					for _, uneven := range []bool{false, true} {
						worst := 0.0
						for _, per := range capacities {
							worst = max(worst, slowStartTrial{what, routers, load, per, took, uneven, 1}.play(t))
						}
						if row += fmt.Sprintf(" | %.2f", worst); worst > 1 {
							t.Errorf("%s: %d routers, load %.2f, uneven %v: %.2f of what is allowed", what, routers, load, uneven, worst)
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
