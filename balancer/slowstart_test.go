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

// A trial of the rule on cold members: many routers that know nothing of each other, and what all of them send together.
type slowStartTrial struct {
	restarted   string        // starts: "cache", "parent", or all of them, or "caches and routers" of a location
	routers     int           // in locations of 30 at most, with 4 caches each
	load        float64       // part of what warm caches can do that is asked for
	capacity    float64       // calls a second that a warm cache can do
	serviceTime time.Duration // the sending time of a call; 200 ms is what a router supposes before it has seen any
	uneven      bool          // a fifth of the routers see most of the traffic
	seed        uint64
}

const (
	trialStart   = 100 * sec
	trialRestart = 120 * sec // somebody starts then
	trialEnd     = 140 * sec
	storeID      = 9
)

// fleet is the list, and the settings of a router in the first location; parents have the ids from 10, caches those from 100.
func (c slowStartTrial) fleet() (s Settings, list []Endpoint) {
	s = site()
	s.Capabilities.DirectAttempts, s.Capabilities.CoalesceFills, s.Topology.Zones, s.Topology.RoutersPerZone = false, false, []string{"hub"}, []int{0}
	s.CacheSlowStart = SlowStartRule{InitialCapacity: 0.2, WarmUpTime: 15 * sec, OverloadFactor: 3, OverloadWindow: 2 * sec}
	s.ParentSlowStart = SlowStartRule{InitialCapacity: 0.08, WarmUpTime: 18 * sec, OverloadFactor: 2, OverloadWindow: 2 * sec}
	places := (c.routers + 29) / 30
	for p := range places {
		s.Topology.Zones = append(s.Topology.Zones, fmt.Sprint("e", p))
		s.Topology.RoutersPerZone = append(s.Topology.RoutersPerZone, (c.routers-p+places-1)/places)
		for i := range 4 {
			list = append(list, listedEndpoint(EndpointID(100*(p+1)+i), "box", s.Topology.Zones[p+1]))
		}
	}
	for i := range max(2, places/2) {
		list = append(list, listedEndpoint(EndpointID(10+i), "mid", "hub"))
	}
	return s, append(list, listedEndpoint(storeID, "store", "hub"))
}

// starts tells whether a member is one of those that start.
func (c slowStartTrial) starts(e Endpoint) bool {
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

// member is what a page cache or a parent can do: a bucket that fills at its rate of that moment. What finds it empty is
// turned away.
type capacity struct {
	rule       SlowStartRule
	warm, room float64
	filled     time.Duration
	cold       bool
	calls      []time.Duration // of those who knew that it is cold, since its start
}

func (m *capacity) share(at time.Duration) float64 {
	return min(1, m.rule.InitialCapacity+(1-m.rule.InitialCapacity)*float64(at)/float64(m.rule.WarmUpTime))
}

func (m *capacity) takes(now time.Duration, known bool) bool {
	rate := m.warm
	if m.cold && now >= trialRestart {
		rate *= m.share(now - trialRestart)
		if known {
			m.calls = append(m.calls, now-trialRestart)
		}
	}
	m.room = min(m.room+rate*(now-m.filled).Seconds(), max(1, rate/2))
	m.filled = now
	if m.room < 1 {
		return false
	}
	m.room--
	return true
}

// worst is the most calls in any window, over N + 2 root N + 2: N is what the rule allows then, and the rest is what may be
// put down to chance.
func (m *capacity) worst() (worst float64) {
	for i, at := range m.calls {
		if at > m.rule.WarmUpTime {
			break // the rule holds no longer
		}
		from, _ := slices.BinarySearch(m.calls, at-m.rule.OverloadWindow)
		n := m.rule.OverloadFactor * m.share((max(at-m.rule.OverloadWindow, 0)+at)/2) * m.warm * m.rule.OverloadWindow.Seconds()
		worst = max(worst, float64(i-from+1)/(n+2*math.Sqrt(n)+2))
	}
	return worst
}

// play returns the worst of all cold members.
func (c slowStartTrial) play(t *testing.T) (worst float64) {
	t.Helper()
	rnd := rand.New(rand.NewPCG(c.seed, 17))
	s, list := c.fleet()
	places := len(s.Topology.Zones) - 1
	members, parents := map[EndpointID]*capacity{}, max(2, places/2)
	for _, e := range list {
		m := &capacity{rule: s.CacheSlowStart, warm: c.capacity, cold: c.starts(e), filled: trialStart}
		if e.Kind == "mid" { // a third of all calls are filled
			m.rule, m.warm = s.ParentSlowStart, c.capacity*float64(4*places)/3/float64(parents)*1.4
		}
		members[e.ID] = m
	}
	rigs, told := make([]*rig, c.routers), make([]time.Duration, c.routers)
	started := slices.Clone(list)
	for i, e := range started {
		if c.starts(e) {
			started[i].StartedAt = trialRestart
		}
	}
	start := func(i int, now time.Duration, list []Endpoint) {
		own := s
		own.Topology.Zone = s.Topology.Zones[1+i%places]
		rigs[i] = newRig(t, own, nil)
		rigs[i].now = now
		rigs[i].handle(EndpointUpdate{Complete: true, Endpoints: list})
	}
	for i := range rigs {
		start(i, trialStart, list)
		told[i] = trialRestart + time.Duration(rnd.Int64N(int64(400*ms))) // each at a time of its own
	}
	known := make([]bool, c.routers)
	total := c.load * c.capacity * float64(4*places)
	for now := trialStart; now < trialEnd; now += time.Duration(rnd.ExpFloat64() / total * float64(sec)) {
		i := rnd.IntN(c.routers)
		for c.uneven && i/places%5 > 0 && i >= places && rnd.IntN(8) > 0 {
			i = rnd.IntN(c.routers)
		}
		for j := range rigs {
			switch {
			case known[j] || now < told[j]:
				continue
			case c.restarted == "caches and routers" && j%places == 0:
				start(j, now, started)
			default:
				rigs[j].now = now
				rigs[j].handle(EndpointUpdate{Complete: true, Endpoints: started})
			}
			known[j] = true
		}
		r := rigs[i]
		r.now = now
		r.lastID++
		class := []string{"page", "page", "news"}[rnd.IntN(3)]
		object := rnd.Uint64() >> 8
		asked := sentAttempts(r.handle(Request{ID: r.lastID, Class: class, Object: object, Group: object % 8, Remaining: 3 * sec}))
		for len(asked) > 0 { // also of requests that waited
			g := asked[0]
			asked = asked[1:]
			fill := rnd.IntN(3) == 0 || members[g.Endpoint].cold && now >= trialRestart && now < trialRestart+10*sec
			status, note := OK, Hit
			switch {
			case !members[g.Endpoint].takes(now, known[i]):
				status, note = Rejected, NoDetail
			case fill && g.Source == g.Endpoint:
				status, note = Miss, NoDetail
			case fill && g.Source != storeID && !members[g.Source].takes(now, known[i]):
				status, note = Rejected, SourceRejected
			case fill:
				note = Filled
			}
			asked = append(asked, sentAttempts(r.handle(Outcome{ID: g.ID, Attempt: g.Attempt, Endpoint: g.Endpoint, Status: status, Answered: status == OK,
				Detail: note, Elapsed: c.serviceTime}))...)
		}
	}
	for _, m := range members {
		worst = max(worst, m.worst())
	}
	return worst
}

var printTrials = flag.Bool("cold", false, "play all trials of cold members and print them as a table")

// Without a word between them, all routers together send a cold page cache or parent no more than the rule allows and
// chance excuses, be they one or three hundred, alike or not, and whatever they supposed of a call's work at their start.
func TestSlowStartOfManyRouters(t *testing.T) {
	loads, capacities, times := []float64{0.95}, []float64{2, 20}, []time.Duration{50 * ms}
	if *printTrials {
		loads, capacities, times = []float64{0.6, 0.95}, []float64{2, 6, 20, 80}, []time.Duration{50 * ms, 200 * ms, 600 * ms}
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
