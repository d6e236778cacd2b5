package balancer

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"
)

// What the module remembers. No decision and no tuned value is here; see balancer.go.

type role uint8

const (
	other role = iota
	cache
	parent
	origin
)

// Balancer decides for one director. It is not safe for concurrent use.
type Balancer struct {
	s        Settings
	now      time.Duration
	out      []Action
	classes  map[string]*class
	kinds    []*class // the same, in the order of the settings, behind one whose calls are seconds
	members  map[EndpointID]*member
	caches   []*member   // of the own location, by id
	parents  []*member   // by id
	origins  []*member   // by id
	origin   *member     // the first of them
	departed []*member   // that are gone, with something outstanding
	ready    [4]float64  // sizes of the members that may be named, by role
	settled  [4]float64  // and of those that are warm
	warming  [4][]warmUp // those that are not, by their start
	targets  int         // caches listed, of all locations
	avoided  int         // of these, those that get no ordinary work
	open     map[RequestID]*request
	cost     float64    // mean of the requests' cost
	order    []*request // open requests in order of arrival, with closed ones until the next scan
	ticking  bool
	freed    bool                // room may have come up for those who wait
	linkMost float64             // bound of linkRoom
	linkPart float64             // part of the link's room that we use
	linkRoom float64             // learned bound of link
	link     float64             // transfers of ours on the location's link, as far as we can tell
	objects  [2]map[part]*object // young and old generation
	born     time.Duration       // first request
	best     [4]float64
	rules    [4]SlowStartRule // of members by role; the origin has none
	asked    bool             // for changes of the list
	turned   time.Duration    // when the generations were turned
	purges   map[purgeKey]time.Duration
	floor    time.Duration // copies older than this count as purged, whatever the object
	load     [4]load       // usual load by role
	fleet    [4]float64    // the most that was listed of a role at once
}

// directors is how many there are in all locations.
func (b *Balancer) directors() (n float64) {
	for _, in := range b.s.Topology.RoutersPerZone {
		n += float64(max(in, 0))
	}
	return n
}

type class struct {
	Class
	place int     // in Balancer.kinds; 0: it is not in the settings
	work  float64 // mean sending time in seconds
	seen  float64 // answers that it was learned from, up to recent
}

// learn takes a sending time into the mean. What was supposed before any was seen counts as one: a router that has just
// started would else go by it for long, and hold a cold member's budget in units of it.
func (c *class) learn(work float64) {
	c.seen = min(c.seen+1, recent)
	c.work += (work - c.work) / c.seen
}

// member is a node on the list, with what this router has seen of it.
type member struct {
	id      EndpointID
	role    role
	zone    string
	cell    int
	weight  float64
	state   EndpointState
	start   time.Duration // latest start told or concluded; 0: long ago
	out     int           // own attempts outstanding there, or naming it as source
	fails   int           // failures in a row
	sign    time.Duration // latest sign of life
	broke   time.Duration // when a connection to it broke last
	bad     bool
	trial   time.Duration // when it may be tried next
	misses  float64       // share of attempts there that were no hit, lately (caches)
	doubt   float64       // 1 less the trust
	doubted time.Duration
	limit   float64 // own attempts outstanding that it answers in time (caches)

	countedReady, countedSettled float64 // what it counts for in Balancer.ready and settled
	leases                       []lease // of resolvers that were told of it while it was cold
	saved                        float64 // work that a cold member may be sent by now
	savedAt                      time.Duration
}

// lease is the load of one resolver's clients, as long as it may keep the answer.
type lease struct {
	load  float64
	until time.Duration
}

type load struct {
	rate callsByClass // calls a second
	at   time.Duration
	peak callsByClass // rate at its highest, fading
}

// callsByClass are numbers of calls, by the place of their class. In the first place stand seconds of sending of no class.
type callsByClass []float64

func (w callsByClass) set(to callsByClass, times float64) {
	for i, n := range to {
		w[i] = n * times
	}
}

// largest is the mean sending time of a class, of those that were seen the one with the largest; before any was, what is
// supposed of all.
func (b *Balancer) largest() (work float64) {
	for _, k := range b.kinds[1:] {
		if k.seen > 0 {
			work = max(work, k.work)
		}
	}
	return cmp.Or(work, seedWork.Seconds())
}

// work is the sending time of calls, in seconds.
func (b *Balancer) work(w callsByClass) (sum float64) {
	for i, k := range b.kinds {
		sum += w[i] * k.work
	}
	return sum
}

type part struct{ object, part uint64 }

type object struct {
	seen   int
	okAt   time.Duration // when it was served last
	copied time.Duration // when the interval began; 0: no fill seen yet
	held   bool          // its home had it at the latest fill, as far as is told
	work   float64       // sending time seen, in seconds; 0: none
}

type purgeKey struct {
	group bool
	name  uint64
}

type request struct {
	Request
	class    *class
	object   *object
	end, aim time.Duration
	work     float64
	cost     float64 // work for its worth
	attempts []attempt
	done     bool
	streamed bool
	lacked   int     // sources that gave only what they hold, and had none
	missed   bool    // the edge cache was looked into and holds nothing
	waiting  bool    // for room at a cache
	lease    float64 // of a resolver: the load that its clients bring
}

type attempt struct {
	node, source *member
	sent         time.Duration
	out          bool
	cancelled    bool
	held         bool
	silent       bool
	late         bool
	warming      bool
	fills        float64 // how likely it uses the location's link
	blame        *member // who failed it
	besideLink   float64 // the same on the location's link
	neverRan     bool
}

// ran tells whether an attempt that has ended may have run.
func (r *request) ran() bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.out && !a.neverRan })
}

// alone is a router that talks to no other.
type alone struct{}

func (alone) AdmitWarmingUp(time.Duration, EndpointID) bool { return true }
func (alone) AdmitRetry(time.Duration) bool                 { return true }
func (alone) ProbedByPeer(time.Duration, EndpointID) bool   { return false }
func (alone) AttemptSent(time.Duration, SendAttempt)        {}

// New returns a director's balancer. Settings that make no sense are an error.
func New(s Settings) (*Balancer, error) {
	if len(s.Classes) == 0 {
		return nil, errors.New("no classes")
	}
	if !slices.Contains(s.Topology.Zones, s.Topology.Zone) {
		return nil, fmt.Errorf("own location %q is not listed", s.Topology.Zone)
	}
	if s.Topology.ParentKind >= len(s.Topology.Kinds) || s.Topology.OriginKind >= len(s.Topology.Kinds) {
		return nil, errors.New("kind of the parents or the origin is not listed")
	}
	for _, d := range []time.Duration{s.PurgeWindow, s.CacheSlowStart.WarmUpTime, s.CacheSlowStart.OverloadWindow,
		s.ParentSlowStart.WarmUpTime, s.ParentSlowStart.OverloadWindow} {
		if d < 0 {
			return nil, errors.New("negative time")
		}
	}
	if s.Coordinator == nil {
		s.Coordinator = alone{}
	}
	b := &Balancer{s: s, classes: map[string]*class{}, members: map[EndpointID]*member{},
		open: map[RequestID]*request{}, purges: map[purgeKey]time.Duration{}}
	b.linkRoom, b.linkMost, b.linkPart = b.linkLimit()
	b.best = [4]float64{1, 1, 1, 1}
	b.kinds = []*class{{work: 1}}
	b.rules = [4]SlowStartRule{cache: s.CacheSlowStart, parent: s.ParentSlowStart}
	b.objects = [2]map[part]*object{{}, {}}
	for _, c := range s.Classes {
		if c.LatencyObjective < 0 || c.Deadline < 0 || c.DedupWindow < 0 || c.FreshnessLifetime < 0 {
			return nil, fmt.Errorf("class %q: negative time", c.Name)
		}
		k := newClass(c)
		k.place = len(b.kinds)
		b.classes[c.Name], b.kinds = k, append(b.kinds, k)
	}
	for i := range b.load {
		b.load[i].rate, b.load[i].peak = make(callsByClass, len(b.kinds)), make(callsByClass, len(b.kinds))
	}
	return b, nil
}
