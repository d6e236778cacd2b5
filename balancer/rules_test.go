package balancer

import (
	"math/rand/v2"
	"testing"
	"time"
)

// What a site's rules allow after being told of a drain, and after a client's deadline.
const drainGrace, answerSlack = 500 * ms, 8 * ms

// TestRulesUnderRandomEvents drives random but legal events and asserts the rules on every action, in turn for the
// test site and for the shapes of both deployments: no figure of one may hold the rules by luck.
func TestRulesUnderRandomEvents(t *testing.T) {
	for _, d := range []deployment{{site(), fleet(), []string{"page", "page", "page", "news", "pay", "once"}}, scores(), episodes()} {
		for seed := range uint64(30) {
			rules(t, seed, d)
		}
	}
}

// deployment is what the module is given: settings, a list, and the mix of classes asked for.
type deployment struct {
	s     Settings
	list  []Endpoint
	names []string
}

// scores has the first deployment's shape: an unsafe class beside two safe ones, three zones, six attempts.
func scores() deployment {
	s := site()
	s.Topology.Zone, s.Topology.Zones, s.Topology.RoutersPerZone, s.MaxAttempts = "coastal", []string{"upper", "coastal", "river"}, []int{0, 3, 0}, 6
	s.Classes = []Class{
		{Name: "score", LatencyObjective: 400 * ms, ObjectiveStretch: 2, Deadline: 5 * sec, Idempotency: Idempotent, Weight: 2},
		{Name: "page", LatencyObjective: 250 * ms, ObjectiveStretch: 2, Deadline: 3 * sec, Idempotency: Idempotent, Weight: 1},
		{Name: "arrange", LatencyObjective: 700 * ms, Deadline: 3 * sec, Idempotency: NotIdempotent, Weight: 3, Write: true},
	}
	list := []Endpoint{node(11, "mid", "upper"), node(12, "mid", "river"), node(20, "store", "upper"), node(1, "box", "coastal"),
		node(2, "box", "coastal"), node(3, "box", "coastal"), node(4, "box", "coastal"), node(5, "box", "coastal")}
	return deployment{s, list, []string{"score", "score", "page", "page", "arrange"}}
}

// episodes has the second's: parts that wait 6 s, assets fresh for 8 s, a listen event that must never run twice.
func episodes() deployment {
	s := site()
	s.Topology.Zone, s.Topology.Zones, s.Topology.RoutersPerZone, s.MaxAttempts = "west", []string{"north", "west", "south"}, []int{0, 4, 0}, 8
	s.Classes = []Class{
		{Name: "part", LatencyObjective: 600 * ms, ObjectiveStretch: 2, Deadline: 6 * sec, Idempotency: Idempotent, Weight: 2},
		{Name: "asset", LatencyObjective: 300 * ms, ObjectiveStretch: 2, Deadline: 2500 * ms, Idempotency: Idempotent, Weight: 1, FreshnessLifetime: 8 * sec},
		{Name: "listen", LatencyObjective: 800 * ms, Deadline: 3 * sec, Idempotency: NotIdempotent, Weight: 3, Write: true},
	}
	list := []Endpoint{node(11, "mid", "north"), node(12, "mid", "west"), node(13, "mid", "south"), node(20, "store", "west"),
		node(1, "box", "west"), node(2, "box", "west"), node(9, "box", "north")}
	return deployment{s, list, []string{"part", "part", "part", "part", "asset", "asset", "asset", "listen"}}
}

type try struct {
	class  *Class
	object uint64
	end    time.Duration
	out    map[int]SendAttempt
	sent   int
	mayRan []time.Duration // sends that may have run
	final  int
}

func rules(t *testing.T, seed uint64, d deployment) {
	rnd := rand.New(rand.NewPCG(seed, 7))
	s := d.s
	s.Capabilities.Hedging, s.Capabilities.CoalesceFills = seed%2 == 0, seed%3 != 0
	classes := map[string]*Class{}
	for i := range s.Classes {
		classes[s.Classes[i].Name] = &s.Classes[i]
	}
	names, list := d.names, d.list
	r := newRig(t, s, list)
	tries := map[RequestID]*try{}
	var ids []RequestID
	barred := map[EndpointID]time.Duration{} // told draining or gone
	purged := map[uint64]time.Duration{}
	timer := time.Duration(-1)
	apply := func(as []Action) {
		for _, a := range as {
			switch a := a.(type) {
			case SendAttempt:
				q := tries[a.ID]
				if q == nil || q.final > 0 {
					t.Fatalf("seed %d: attempt for a request that is over: %+v", seed, a)
				}
				if len(q.out) > 0 && (!s.Capabilities.Hedging || q.class.Idempotency != Idempotent) {
					t.Fatalf("seed %d: second attempt in flight: %+v", seed, a)
				}
				for _, at := range q.mayRan {
					if q.class.Idempotency == NotIdempotent || q.class.Idempotency == IdempotentByKey && r.now-at > q.class.DedupWindow {
						t.Fatalf("seed %d: effect twice: %+v", seed, a)
					}
				}
				for _, id := range []EndpointID{a.Endpoint, a.Source} {
					if at, ok := barred[id]; ok && r.now-at > drainGrace {
						t.Fatalf("seed %d: sent to drained %d", seed, id)
					}
				}
				if at, ok := purged[q.object]; ok && r.now-at < s.PurgeWindow && !q.class.Write {
					if a.MaxAge <= 0 || r.now-a.MaxAge < at {
						t.Fatalf("seed %d: age %v for a purge %v ago", seed, a.MaxAge, r.now-at)
					}
				}
				q.out[q.sent] = a
				q.sent++
				if q.sent > s.MaxAttempts {
					t.Fatalf("seed %d: %d attempts", seed, q.sent)
				}
			case Reject, Fail:
				var id RequestID
				if f, ok := a.(Fail); ok {
					id = f.ID
				} else {
					id = a.(Reject).ID
				}
				q := tries[id]
				if q == nil || q.final > 0 {
					t.Fatalf("seed %d: a second final answer for %d", seed, id)
				}
				if _, refused := a.(Reject); refused && len(q.mayRan) > 0 && q.class.Idempotency == NotIdempotent {
					t.Fatalf("seed %d: refused what may have run", seed)
				}
				q.final++
			case SetTimer:
				timer = r.now + a.Delay
			}
		}
	}
	finish := func(id RequestID, n int, st Status) {
		q := tries[id]
		g := q.out[n]
		delete(q.out, n)
		if !st.NeverRan() {
			q.mayRan = append(q.mayRan, r.now)
		}
		settled := st == OK || q.final > 0
		if st == OK && q.final == 0 {
			q.final++
		}
		apply(r.do(Outcome{ID: id, Attempt: n, Endpoint: g.Endpoint, Status: st, Elapsed: time.Duration(rnd.IntN(300)) * ms,
			Answered: settled, Detail: Detail(rnd.IntN(11))}))
	}
	for step := range 3000 {
		r.now += time.Duration(rnd.IntN(4)) * ms
		if timer >= 0 && r.now >= timer {
			timer = -1
			apply(r.do(Timer{Token: scanToken}))
		}
		switch k := rnd.IntN(20); {
		case k < 7:
			id := RequestID(step + 1)
			c := names[rnd.IntN(len(names))]
			left := time.Duration(20+rnd.IntN(int(classes[c].Deadline/ms))) * ms
			o := uint64(rnd.IntN(60))
			tries[id] = &try{class: classes[c], object: o, end: r.now + left, out: map[int]SendAttempt{}}
			ids = append(ids, id)
			apply(r.do(Request{ID: id, Class: c, Object: o, Group: o % 8, Remaining: left, SizeKB: float64(rnd.IntN(400))}))
		case k < 16 && len(ids) > 0:
			id := ids[rnd.IntN(len(ids))]
			for n := range 8 {
				if _, ok := tries[id].out[n]; ok {
					finish(id, n, Status(rnd.IntN(9)))
					break
				}
			}
		case k == 16:
			o := uint64(rnd.IntN(60))
			ago := time.Duration(rnd.IntN(300)) * ms
			if rnd.IntN(4) == 0 {
				for x := o % 8; x < 60; x += 8 {
					purged[x] = max(purged[x], r.now-ago)
				}
				apply(r.do(Purge{ByGroup: true, Group: o % 8, Age: ago}))
			} else {
				purged[o] = max(purged[o], r.now-ago)
				apply(r.do(Purge{Object: o, Age: ago}))
			}
		case k == 17:
			e := list[rnd.IntN(len(list))]
			e.State = EndpointState(rnd.IntN(3))
			if e.State == InService {
				e.StartedAt = r.now - time.Duration(rnd.IntN(20000))*ms
				delete(barred, e.ID)
			} else if _, told := barred[e.ID]; !told {
				barred[e.ID] = r.now
			}
			apply(r.do(EndpointUpdate{Endpoints: []Endpoint{e}}))
		}
		for _, id := range ids { // the wire ends attempts at the client's deadline
			q := tries[id]
			for n := range 8 {
				if _, ok := q.out[n]; ok && r.now >= q.end {
					finish(id, n, TimedOut)
				}
			}
			if q.final == 0 && r.now > q.end+answerSlack {
				t.Fatalf("seed %d: request %d lost", seed, id)
			}
		}
	}
}

// The same events give the same actions.
func TestDeterminism(t *testing.T) {
	play := func() (n int) {
		r := newRig(t, site(), fleet())
		for o := range uint64(300) {
			r.now += ms
			g := r.ask("page", o%40)
			n = n*31 + int(g.Endpoint)*7 + int(g.Source)
			if o%3 == 0 && g.Endpoint != 0 {
				r.end(g, 0, Status(o%9), NoDetail)
			}
		}
		return n
	}
	if a, b := play(), play(); a != b {
		t.Errorf("%d and %d", a, b)
	}
}
