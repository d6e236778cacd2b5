// The decision module. Its interface is in api.go, beside this file; its bare types are in state.go.
//
// It reads in the order in which a request meets it: request path, attempts and outcomes, health,
// cold starts, purges, members. The mechanism is duplicated hash routing: a shared highest-score hash
// names each object's edge cache and home parent, a second one its second home, which a fill warms now
// and then and which takes over when the home fails.
package brain

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// All tuned values. Times are in simulated or real time alike.
const (
	copyInterval = 40 * time.Second       // an object's fills go to its second home once in this time
	warmTime     = 10 * time.Second       // a started member's share of its range rises to all over this
	scanEvery    = 25 * time.Millisecond  // open attempts are looked over this often; finer costs CPU
	knownFor     = 10 * time.Second       // what was served this lately is likely still held
	tableSize    = 1 << 15                // objects remembered in each of two generations
	purgeTable   = 1 << 12                // purges remembered; all is barred when full
	slowFrom     = 0.6                    // slow past this part of the spare time; less: chance moves ranges
	leastSpare   = 50 * time.Millisecond  // spared by a class without an aim
	trustCut     = 0.5                    // trust is cut to this by a slow answer; more: ageing shows late
	trustBack    = 0.1                    // and grows by this with a quick one; more: a fifth may be slow
	thinOver     = 20.0                   // with more directors, each sees little of the origin
	leastTrust   = 0.05                   // never less: a few requests must show that it is well again
	forgiveTime  = 30 * time.Second       // trust comes back over this by itself; less: bad ones are retried
	peerPart     = 0.35                   // of the best peer's trust, less costs range; more: homes move more
	originPart   = 0.3                    // less trust costs the origin calls; more: refusals on calm days
	silentAfter  = 500 * time.Millisecond // a member that owes answers and gives none this long is silent
	failsInRow   = 3                      // failures without a success between that make a member bad
	trialEvery   = time.Second            // a bad member is tried once in this time
	usualOver    = 10 * time.Second       // usual load is a mean over about this time
	peakOver     = 60 * time.Second       // and its peak fades over this
	budgetSlack  = 0.85                   // part of the fail-back budget that we use; over 1 breaks the rule
	savedMost    = 0.2                    // and part of a window for which it may be saved up
	startLimit   = 12.0                   // attempts at one cache by all directors, its link untold
	leastLimit   = 2.0                    // own attempts at a cache or link, at least; more: jams in overload
	crowdOver    = 1.25                   // a cache with this x the mean of own attempts
	crowdLeast   = 2.0                    // and this many more is crowded
	linkMost     = 2.5                    // a link not told may be learned to carry this x startLimit
	favourSmall  = 1.3                    // bounds are wider by this for requests cheaper than the mean
	againPart    = 0.5                    // and narrower by this for clients that ask again: late already
	chance       = 0.5                    // a bound is wider by this x the root of our part, if shared
	toldRoom     = 0.7                    // part of the link's room that we use where its size is told
	guessedRoom  = 0.5                    // and where it is only learned, which needs a wider margin
	congested    = 1.3                    // an answer over this x its sending time shared a full link
	learnGain    = 0.4                    // how far one answer moves the bound of the link
	needs        = 2.0                    // a waiting request is given up with less than this x its time left
	cacheShare   = 2.5                    // attempts at a cache over the transfers that its link fits
	cacheOver    = 6.0                    // the same over its part of the location's link, its own untold
	wideUnder    = 6.0                    // with fewer caches a link is wider by the root of this over them
	linkShare    = 2.0                    // transfers on the location's link over those that fit it
	turnedAway   = 3 * time.Millisecond   // a refusal later than this came from a source, not from the cache
	firstMisses  = 0.3                    // share of misses supposed of a cache before any answer
	recent       = 48.0                   // means of sizes and misses reach back about this many requests
	coldGuess    = 0.5                    // of what is asked for, taken for usual load by a new instance
	purgeMargin  = time.Second            // a purge bars copies for this longer than the settings say
	leastLease   = 1e-3                   // load of a resolver, at least
	seedWork     = 200 * time.Millisecond // sending time of a class before any was seen
)

// Salts of the hashes. Routers agree only as long as nobody changes them.
const (
	saltCache  = 0x9e3779b97f4a7c15
	saltHome   = 0xc2b2ae3d27d4eb4f
	saltSecond = 0x165667b19e3779f9
	saltShare  = 0x27d4eb2f165667c5
)

const scanToken = 1

// Handle takes the events that came in together, in their order, and returns what to do. The result is
// valid until the next call.
func (b *Brain) Handle(now time.Duration, evs ...Event) []Action {
	b.now, b.out = now, b.out[:0]
	for _, ev := range evs {
		b.take(ev)
	}
	if b.freed { // once for all that came in: each pass looks at every open request
		b.freed = false
		b.resume()
	}
	return b.out
}

func (b *Brain) take(ev Event) {
	switch ev := ev.(type) {
	case Request:
		b.request(ev)
	case Outcome:
		b.outcome(ev)
	case Started:
		if r := b.open[ev.ID]; r != nil {
			r.streamed = true
		}
	case ClientGone:
		b.close(b.open[ev.ID])
	case Purge:
		b.purge(ev)
	case Timer:
		if ev.Token == scanToken {
			b.scan()
		}
	case Resolve:
		b.resolve(ev)
	case Members:
		b.list(ev)
	}
}

func (b *Brain) do(a Action) { b.out = append(b.out, a) }

// ---- Request path ----

func (b *Brain) request(ev Request) {
	c := b.classes[ev.Class]
	if c == nil { // unknown: served as carefully as possible
		c = newClass(Class{Name: ev.Class})
	}
	r := &request{Request: ev, class: c, end: b.now + ev.Left, object: b.remember(part{ev.Object, ev.Part})}
	r.object.seen++
	r.work = b.workOf(r)
	r.aim = b.now + c.Aim + seconds(c.AimStretch*r.work)
	if r.cost = r.work; c.Worth > 0 {
		r.cost /= c.Worth
	}
	b.cost += (r.cost - b.cost) / recent
	b.open[ev.ID] = r
	b.order = append(b.order, r)
	b.usual(other, c, 1)
	if b.born == 0 {
		b.born = b.now
	}
	b.route(r)
	b.tick()
}

func newClass(c Class) *class { return &class{Class: c, work: seedWork.Seconds()} }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// workOf is the sending time of a request in seconds, as far as it is known.
func (b *Brain) workOf(r *request) float64 {
	if r.SizeKB > 0 && b.s.PaceKBps > 0 {
		w := r.SizeKB / b.s.PaceKBps
		r.class.learn(w)
		return w
	}
	return cmp.Or(r.object.work, r.class.work)
}

// remember finds or makes the table's entry of a part. Two generations bound it and let it age.
func (b *Brain) remember(k part) *object {
	if len(b.objects[0]) >= tableSize || b.now-b.turned > 4*copyInterval {
		b.objects[0], b.objects[1], b.turned = map[part]*object{}, b.objects[0], b.now
	}
	o := cmp.Or(b.objects[0][k], b.objects[1][k], &object{})
	b.objects[0][k] = o
	return o
}

// route sends the next attempt of a request, or ends it.
func (b *Brain) route(r *request) {
	if len(r.attempts) >= max(b.s.MaxAttempts, 1) || b.now >= r.end || !b.mayResend(r) {
		b.finish(r)
		return
	}
	var a attempt
	if r.class.Write || r.Write {
		a = b.writePath(r)
	} else {
		a = b.readPath(r)
	}
	switch {
	case a.node != nil:
		r.waiting = false
		b.send(r, a)
	case len(b.caches) > 0 && b.mayWait(r):
		r.waiting = true
	default:
		b.finish(r)
	}
}

// mayWait tells whether a request can still be answered in time. If not, it is ended: failing late is
// worse than refusing early, and its work would make others late. It also ends in time for its client.
func (b *Brain) mayWait(r *request) bool {
	return b.now+seconds(needs*r.work) < r.aim && b.now+2*scanEvery < r.end
}

// resume tries the waiting requests again, those with the least work for their worth first.
func (b *Brain) resume() {
	var rs []*request
	for _, r := range b.order {
		if r.waiting && !r.done {
			rs = append(rs, r)
		}
	}
	slices.SortStableFunc(rs, func(x, y *request) int { return cmp.Compare(x.cost, y.cost) })
	for _, r := range rs {
		b.route(r)
	}
}

// favour widens the bounds for requests that cost little for their worth: under overload, serving many
// small ones is worth more than few large ones, and they delay those little.
func (b *Brain) favour(r *request) float64 {
	if r.cost < b.cost {
		return favourSmall
	}
	return 1
}

// writePath: what runs at the origin goes straight there where that is allowed, else through an edge
// cache with a parent or the origin as the source. A repeat takes another way.
func (b *Brain) writePath(r *request) attempt {
	home, second := b.homes(r)
	if b.s.Direct && b.origin != nil && b.ready(b.origin) {
		way := attempt{node: b.origin, source: b.origin}
		if home != nil && !b.allowed(r, way.node) || len(r.attempts)%2 == 1 && home != nil && b.usable(home) {
			way = attempt{node: home, source: home}
		}
		if b.allowed(r, way.node) {
			return way
		}
		return attempt{}
	}
	for _, p := range []*member{home, second, b.origin} {
		if p != nil && b.ready(p) && !b.failed(r, p) {
			if c := b.edge(r); c != nil {
				return attempt{node: c, source: p}
			}
		}
	}
	return attempt{}
}

// readPath: the edge cache by hash, filled from the home parent; from the second home when the object's
// copy interval is over or the home fails; from the origin when there are no parents or it has the trust that
// the home has lost. While the origin itself is slow, parents give only what they hold for most objects: a
// fill that waits for it would keep quick ones off the link, and its load would keep it slow.
func (b *Brain) readPath(r *request) attempt {
	a := attempt{node: b.edge(r)}
	home, second := b.homes(r)
	up := b.origin != nil && b.ready(b.origin)
	asks := up && b.within(r.Object, b.origin, b.trust(b.origin)/originPart)
	switch a.source = home; {
	case r.lacked == 1 && second != nil && b.usable(second):
		a.source = second
	case r.lacked > 0:
		if a.source = nil; asks {
			a.source = b.origin
		}
	case home == nil || !b.usable(home) || b.failed(r, home):
		a.source = second
		if second == nil || !b.usable(second) || b.failed(r, second) {
			if a.source = nil; up {
				a.source = b.origin
			}
		}
	case asks && !b.within(r.Object, home, b.trust(home)/originPart):
		a.source = b.origin
	case second != nil && b.usable(second) && r.object.held && b.now-r.object.copied > copyInterval:
		a.source, a.warming = second, true
	}
	a.held = up && !asks && a.source != nil && a.source.role == parent
	if a.node == nil && b.s.Direct && a.source != nil && up && b.link < b.linkRoom {
		if a.node = a.source; !a.held { // no edge cache has room: pass them by
			a.source = b.origin
		}
	}
	if a.node == nil {
		return attempt{}
	}
	a.fills = 1
	if a.node.role == cache && !r.missed {
		a.fills = a.node.misses
	}
	room := b.linkRoom * b.favour(r)
	if r.Again {
		room = b.linkRoom * againPart
	}
	if a.source == nil || b.link+a.fills > room {
		if r.missed || a.node.role != cache {
			return attempt{} // waits for the link
		}
		a.source, a.fills, a.warming, a.held = a.node, 0, false, false // only what is held is served
	}
	return a
}

// known tells whether the edge cache likely holds the part: it was served lately and not purged since.
func (b *Brain) known(r *request) bool {
	return r.object.okAt > 0 && b.now-r.object.okAt < knownFor && r.object.okAt > b.purgedAt(r)
}

// linkLimit first bounds what is under way on the location's link, fills and what passes the caches by. It
// guards against a jam of fills: after a mass purge, a cold return or in a burst they would share the link
// until all are late and every place for a fill is taken. Over the limit hits are still served. What is told
// of the link sets it, else it may be learned to be higher. Each of many directors has room for chance too:
// while one has more to fill than its part, others have less.
func (b *Brain) linkLimit() (first, most, room float64) {
	limit, over, room := startLimit, linkMost, guessedRoom
	if fits := b.linkFits(); fits > 0 {
		limit, over, room = linkShare*fits, 1, toldRoom
	}
	m := limit / b.beside()
	m += chance * math.Sqrt(m*(1-1/b.beside()))
	return max(leastLimit, m), max(leastLimit, over*m), room
}

// limit bounds our attempts outstanding at a cache: our part of what its link carries in time for all
// directors of the location, by its size where that is told, else by its part of the location's link, which
// is built for the misses of them all. A part of less than leastLimit would be used up by chance while the
// cache is free, and push requests to caches that lack their objects.
func (b *Brain) limit(m *member) float64 {
	all, n := startLimit, max(b.fleet[cache], 1)
	if b.s.SteadyWeights && m.weight > 0 && b.s.PaceKBps > 0 {
		all = cacheShare * m.weight
	} else if fits := b.linkFits(); fits > 0 && !b.s.SteadyWeights {
		all = cacheOver * fits / n / math.Sqrt(max(wideUnder/n, 1))
	}
	return max(leastLimit, all/b.beside())
}

// linkFits is how many transfers the location's link carries at full pace; 0 where that is not told.
func (b *Brain) linkFits() float64 {
	i := slices.Index(b.s.Zones, b.s.Zone)
	if i < 0 || i >= len(b.s.LinkKBps) || b.s.LinkKBps[i] <= 0 || b.s.PaceKBps <= 0 {
		return 0
	}
	return b.s.LinkKBps[i] / b.s.PaceKBps
}

// beside is how many directors share the location's caches and link.
func (b *Brain) beside() float64 {
	if i := slices.Index(b.s.Zones, b.s.Zone); i < len(b.s.DirectorsIn) && b.s.DirectorsIn[i] > 1 {
		return float64(b.s.DirectorsIn[i])
	}
	return 1
}

// edge picks the edge cache: the top score among the ready ones, the next standing in. The unit that it
// hashes is the copy, which is of one part: a long object's parts would else crowd one cache's link.
func (b *Brain) edge(r *request) *member {
	return b.pick(r, mix(r.Object)+r.Part, b.caches, saltCache, nil)
}

// homes names the home and the second home of an object, over all listed parents that do not drain.
// Cold shares shift part of a started parent's range to the next score.
func (b *Brain) homes(r *request) (home, second *member) {
	home = b.pick(r, r.Object, b.parents, saltHome, nil)
	second = b.pick(r, r.Object, b.parents, saltSecond, home)
	return
}

// pick returns the member with the highest score that is usable and owns the object; failing that, the
// highest that is usable, then one that failed the request before. One that is bad is named only where
// nobody is usable: while the others are full, requests would else run into a dead member.
func (b *Brain) pick(r *request, key uint64, from []*member, salt uint64, not *member) *member {
	var best [4]*member
	var top [4]float64
	dead := true
	crowd := b.crowd(from)
	for _, m := range from {
		dead = dead && (m == not || !b.usable(m))
		barred := m.role == cache && (float64(m.out) >= m.limit*b.favour(r) || !b.allowed(r, m))
		if m == not || barred || !b.ready(m) || !b.withinBudget(m, r) {
			continue
		}
		score := b.score(key, m, salt)
		level := 3
		if b.usable(m) && b.failed(r, m) {
			level = 2
		} else if b.usable(m) {
			if level = 1; b.owns(key, m) && (m.role != cache || float64(m.out) < crowd) {
				level = 0
			}
		}
		for l := level; l < len(best); l++ {
			if best[l] == nil || score > top[l] {
				best[l], top[l] = m, score
			}
		}
	}
	if dead {
		return best[3]
	}
	return cmp.Or(best[0], best[1], best[2])
}

// crowd is how many own attempts make one of these crowded beside the others: its range then spills to
// the next score. It guards against a hot object that outgrows one cache's link.
func (b *Brain) crowd(from []*member) float64 {
	n, out := 0.0, 0.0
	for _, m := range from {
		if b.usable(m) {
			n, out = n+1, out+float64(m.out)
		}
	}
	return crowdOver*out/max(n, 1) + crowdLeast
}

// score is the shared highest-score hash, weighed by size where the listed sizes are steady.
func (b *Brain) score(key uint64, m *member, salt uint64) float64 {
	return -b.size(m) / math.Log(unit(key, uint64(m.id), salt))
}

// unit hashes to a number above 0 and below 1.
func unit(key, id, salt uint64) float64 {
	h := mix(mix(key^salt) + id*0x9e3779b97f4a7c15)
	return (float64(h>>11) + 0.5) / (1 << 53)
}

func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// ---- Attempts and outcomes ----

func (b *Brain) send(r *request, a attempt) {
	a.sent, a.out = b.now, true
	g := Get{ID: r.ID, Attempt: len(r.attempts), Node: a.node.id, Source: a.source.id, Held: a.held}
	g.Again = r.ran()
	if !r.class.Write && !r.Write {
		// An object seen again ranks above one seen once, so that a scan washes nothing out.
		g.Keep, g.MaxAge, g.Join = min(r.object.seen, 2), b.maxAge(r), b.s.Joins
		g.Renew = r.class.Fresh > 0
	}
	a.node.out++
	a.besideLink = b.link + a.fills
	r.attempts = append(r.attempts, a)
	b.link += a.fills
	a.node.saved -= r.class.work
	if a.source != a.node {
		a.source.out++
		a.source.saved -= r.class.work * a.node.misses
	}
	for _, m := range []*member{a.node, a.source} {
		if m.bad {
			m.trial = b.now + trialEvery
		}
	}
	b.s.Together.Sent(b.now, g)
	b.do(g)
}

// failed tells whether a member already failed this request, as server or as source.
func (b *Brain) failed(r *request, m *member) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.blame == m })
}

// mayResend keeps the rule on effects: a further attempt is sent only where no earlier one can have
// run, or where the class drops the repeat. Routers that talk also bound such repeats, all together.
func (b *Brain) mayResend(r *request) bool {
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.out && !(b.s.SecondCopies && r.class.Effect == Safe) {
			return false
		}
		if a.neverRan || r.class.Effect == Safe {
			continue
		}
		if r.class.Effect == Unsafe || b.now-a.sent >= r.class.Window {
			return false
		}
	}
	return !r.ran() || b.s.Together.Repeat(b.now)
}

// allowed tells whether the group of the class lets an attempt at a member follow the earlier ones.
func (b *Brain) allowed(r *request, m *member) bool {
	for i := range r.attempts {
		e := &r.attempts[i]
		if r.class.Effect != Keyed || e.neverRan || r.class.Group == GroupAll {
			continue
		}
		if e.node.zone != m.zone || r.class.Group == GroupCell && e.node.cell != m.cell {
			return false
		}
	}
	return true
}

// finish gives the final answer that the router itself owes: a refusal where trying again is harmless. It
// waits for the outcome of an attempt that is still out.
func (b *Brain) finish(r *request) {
	harmless := true
	for i := range r.attempts {
		if r.attempts[i].out {
			return
		}
		if !r.attempts[i].neverRan {
			harmless = r.class.Effect == Safe || r.class.Effect == Keyed && r.class.Group == GroupAll
		}
	}
	if harmless {
		b.do(Refuse{ID: r.ID, Wait: b.s.MaxWait})
	} else {
		b.do(Fail{ID: r.ID})
	}
	b.close(r)
}

func (b *Brain) close(r *request) {
	if r != nil {
		r.waiting = false
		r.done = true
		for i := range r.attempts { // nobody waits for these any more
			if a := &r.attempts[i]; a.out && !a.cancelled && b.s.Cancel && !r.streamed {
				a.cancelled = true
				b.do(Cancel{ID: r.ID, Attempt: i})
			}
		}
	}
}

func (b *Brain) outcome(ev Outcome) {
	r := b.open[ev.ID]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) || !r.attempts[ev.Attempt].out {
		return
	}
	a := &r.attempts[ev.Attempt]
	a.out, a.neverRan = false, ev.Status.NeverRan()
	look := a.source == a.node && a.node.role == cache
	if ev.Status != OK && !(look && ev.Status == Miss) {
		a.blame = a.node
	}
	if a.held && ev.Status == Miss {
		a.blame = a.source
		r.lacked++
	}
	r.missed = r.missed || look && ev.Status == Miss
	a.node.out--
	b.link -= a.fills
	if ev.Status == OK && a.node.role == cache {
		r.object.okAt = b.now
	}
	if a.source != a.node {
		a.source.out--
	}
	b.judge(r, a, ev)
	b.learn(r, a, ev)
	if ev.Settled {
		b.close(r)
	}
	b.freed = true
	if r.done {
		return
	}
	if ev.Status == TimedOut && b.now >= r.end-time.Millisecond || ev.Status == Moot {
		b.finish(r)
		return
	}
	if ev.Status == Full && a.blame == a.node && len(r.attempts) < max(b.s.MaxAttempts, 1) && b.mayWait(r) {
		r.waiting = true // not at once: the others are likely as full
		return
	}
	b.route(r)
}

// learn moves the bound of the location's link towards what it can have under way and still be in time: as
// many more as would have made this fill late. It guards against a jam of fills that outlasts its cause.
// What others have on the link shows only in these times: a size not known counts as its class's, the more so
// the more share the link.
func (b *Brain) learn(r *request, a *attempt, ev Outcome) {
	w, filled := r.work, ev.Note == Filled || ev.Note == FilledByOrigin
	if !filled || a.node.role != cache || a.source.role != parent {
		return
	}
	room := b.linkPart * a.besideLink * (w + r.spare()) / max(ev.Took.Seconds(), w)
	if ev.Took > seconds(congested*w) || room > b.linkRoom {
		gain := w / (w + r.class.work) * learnGain
		if r.SizeKB == 0 && r.object.work == 0 {
			gain *= 1 - 1/b.beside()
		}
		b.linkRoom = min(max(leastLimit, b.linkRoom+(room-b.linkRoom)*gain), b.linkMost)
	}
}

// tick keeps one timer running while requests are open.
func (b *Brain) tick() {
	if !b.ticking && len(b.order) > 0 {
		b.ticking = true
		b.do(SetTimer{Token: scanToken, In: scanEvery})
	}
}

// scan looks over the open attempts: it forgets what is over and finds who is silent.
func (b *Brain) scan() {
	b.ticking = false
	b.order = slices.DeleteFunc(b.order, func(r *request) bool {
		out := 0
		for i := range r.attempts {
			if a := &r.attempts[i]; a.out {
				out++
				if !a.cancelled && !r.streamed && b.slow(r, a) {
					b.overdue(r, i)
				}
				if a.source != a.node && a.fills < 1 && b.now-a.sent > seconds(r.work) {
					b.link += 1 - a.fills // a hit would be over by now
					a.fills = 1
				}
			}
		}
		if r.done && out == 0 {
			delete(b.open, r.ID)
		}
		return r.done && out == 0
	})
	b.resume()
	b.tick()
}

// ---- Health ----

// ready tells whether rules let us name a member at all.
func (b *Brain) ready(m *member) bool { return m.state == InService }

// usable tells whether a member may get ordinary work: it is not bad, or a trial is due, and routers that
// talk have not agreed to leave its trials to another.
func (b *Brain) usable(m *member) bool {
	return b.ready(m) && (!m.bad || b.now >= m.trial) && !b.s.Together.Shun(b.now, m.id)
}

// judge learns from an outcome who is well and who is not.
func (b *Brain) judge(r *request, a *attempt, ev Outcome) {
	src := a.source
	if src == a.node {
		src = nil
	}
	switch ev.Status {
	case OK:
		b.well(a.node)
		hit := ev.Note == Hit || ev.Note == Stale
		if a.node.role == cache {
			b.usual(cache, r.class, 1)
			if a.node.misses -= a.node.misses / recent; !hit {
				a.node.misses += 1 / recent
			}
		}
		if hit {
			b.weigh(a.node, !b.slow(r, a))
		} else if src != nil && ev.Note == FilledByOrigin && b.origin != nil {
			b.weigh(b.origin, ev.Waited.Seconds() <= slowFrom*r.spare())
			b.weigh(src, (ev.Took-ev.Waited).Seconds()-r.work <= slowFrom*r.spare())
		} else if src != nil && !a.late {
			b.weigh(src, !b.slow(r, a))
		}
		if hit && r.SizeKB == 0 {
			w := ev.Took.Seconds()
			if r.object.work == 0 || w < r.object.work {
				r.object.work = w
			}
			r.class.learn(w)
		}
		if src != nil && (ev.Note == Filled || ev.Note == FilledByOrigin) {
			b.well(src)
			r.object.held = ev.Note == Filled
			if a.warming || r.object.copied == 0 {
				r.object.copied = b.now
			}
			b.usual(src.role, r.class, 1)
		}
	case ConnectFailed, Reset:
		if a.node.broke != b.now { // one connection that fails ends all attempts on it, and counts once
			b.ill(a.node)
		}
		a.node.broke = b.now
	case Error:
		if ev.Note == SourceLost && src != nil {
			b.ill(src)
			a.blame = src
		} else if b.ill(a.node); src != nil { // an error that names no cause may be the source's
			b.weigh(src, false)
		}
	case TimedOut:
		if src != nil && !b.known(r) {
			b.weigh(src, false)
		}
	case Full, Miss:
		a.node.sign = b.now
		switch {
		case ev.Note == OriginFailed && b.origin != nil:
			b.ill(b.origin)
			a.blame = src
		case src != nil && src.role != cache && (ev.Note == SourceRefused || ev.Note == SourceLost ||
			ev.Note == NoNote && ev.Status == Full && ev.Took > turnedAway):
			b.ill(src) // where nothing is told: a cache's own refusal comes at once, a source's from afar
			a.blame = src
		}
	}
}

func (b *Brain) well(m *member) { m.fails, m.sign, m.bad = 0, b.now, false }

func (b *Brain) ill(m *member) {
	b.weigh(m, false)
	if m.fails++; m.fails >= failsInRow && !m.bad {
		m.bad, m.trial = true, b.now+trialEvery
	}
}

// weigh moves the trust in a member by an answer that was quick or slow. It guards against members that grow
// slow while they still answer, and against sources that more rely on than they can serve: their range goes
// to the next score, where all directors find the same way by themselves.
func (b *Brain) weigh(m *member, quick bool) {
	t := min(1, b.trust(m)+trustBack)
	if !quick {
		t = max(leastTrust, b.trust(m)*b.cut(m))
	}
	m.doubt, m.doubted, b.best[m.role] = 1-t, b.now, leastTrust
	peers := b.parents
	if m.role == cache {
		peers = b.caches
	}
	for _, p := range peers {
		if b.usable(p) {
			b.best[m.role] = max(b.best[m.role], b.trust(p))
		}
	}
}

// cut is what a slow answer leaves of the trust in a member. The more directors share the origin, the fewer
// of its answers each sees, and the longer all ask too much of it; the root leaves room for chance.
func (b *Brain) cut(m *member) float64 {
	if m.role != origin {
		return trustCut
	}
	return trustCut / math.Sqrt(max(1, b.directors()/thinOver))
}

// trust is how well a member has answered lately, up to 1.
func (b *Brain) trust(m *member) float64 {
	return min(1, 1-m.doubt+float64(b.now-m.doubted)/float64(forgiveTime))
}

// spare is the time that the aim of a request leaves beside its sending time, in seconds.
func (r *request) spare() float64 {
	return max(r.class.Aim.Seconds()+(r.class.AimStretch-1)*r.work, leastSpare.Seconds())
}

// slow tells whether an answer that comes now, or has yet to come, takes up most of the time to spare.
func (b *Brain) slow(r *request, a *attempt) bool {
	return (b.now-a.sent).Seconds()-r.work > slowFrom*r.spare()
}

// overdue meets an answer that does not come, long before any time-out: from a slow, hung, vanished or cut
// off member. A cache that has answered since is not silent; then its source is in question. What a bad
// member owes is called off, so that it can be sent elsewhere; not what the origin owes, which has no peer.
func (b *Brain) overdue(r *request, i int) {
	a := &r.attempts[i]
	if !a.late {
		a.late = true
		if m := a.source; m != a.node && (a.node.sign > a.sent || !b.known(r)) {
			b.weigh(m, false)
		} else {
			b.weigh(a.node, false)
		}
	}
	for _, m := range []*member{a.node, a.source} {
		if !a.silent && m.sign <= a.sent && b.now-a.sent >= silentAfter {
			a.silent = true
			b.ill(m)
		}
	}
	elsewhere := (a.node.bad || a.source.bad) && a.source.role != origin
	if elsewhere && !r.done && r.class.Effect == Safe && b.s.Cancel {
		a.cancelled = true
		b.do(Cancel{ID: r.ID, Attempt: i})
	}
}

// ---- Cold starts ----

// owns tells whether a member has the object in its share of its range, which rises in a line after a start
// and shrinks while it is slower than its peers. The object's hash decides, so that routers agree.
func (b *Brain) owns(key uint64, m *member) bool {
	share := min(1, b.trust(m)/(peerPart*b.best[m.role]))
	if m.start > 0 && m.role != origin {
		share *= min(1, float64(b.now-m.start)/float64(warmTime))
	}
	return b.within(key, m, share)
}

// within tells whether an object is in a share of a member's range.
func (b *Brain) within(key uint64, m *member, share float64) bool {
	return share >= 1 || unit(key, uint64(m.id), saltShare) < share
}

// usual keeps the mean of the calls that a role served for us, and its highest of late, by class: their work
// is learned by and by. Calls asked for would not do: clients ask again for what was never carried.
func (b *Brain) usual(ro role, c *class, calls float64) {
	l := &b.load[ro]
	dt, part := (b.now - l.at).Seconds(), 1.0
	l.rate.set(l.rate, math.Exp(-dt/usualOver.Seconds()))
	l.peak.set(l.peak, math.Exp(-dt/peakOver.Seconds()))
	l.rate[c.place] += calls / usualOver.Seconds()
	if age := b.now - b.born; age >= usualOver/4 { // over less, chance says more than the load
		part -= math.Exp(-age.Seconds() / usualOver.Seconds())
	}
	if b.work(l.rate) > part*b.work(l.peak) {
		l.peak.set(l.rate, 1/part)
	}
	l.at = b.now
}

// cold tells whether the fail-back rule bounds what a member is sent.
func (b *Brain) cold(m *member) bool {
	c := b.rules[m.role]
	return m.start > 0 && b.now-m.start < c.Warm && c.Window > 0
}

// withinBudget keeps the fail-back rule alone. Each router takes the usual load that it sends to a warm
// member for its part of what that one can do, and may send a cold one the rule's multiple of that part, as
// far as it has warmed. What is not used is saved up from the moment of being told of the start, for part of
// a window, or for one request: where many routers see little each, all their firsts must not come at once.
func (b *Brain) withinBudget(m *member, r *request) bool {
	if !b.cold(m) {
		return true
	}
	c, usual := b.rules[m.role], b.work(b.load[m.role].peak)
	if b.now-b.born < usualOver { // nothing seen yet: part of what is asked for, and of what links carry
		most := cmp.Or(m.limit/cacheShare*b.fleet[m.role]/b.size(m), math.Inf(1))
		usual = max(usual, coldGuess*min(b.work(b.load[other].peak), most))
	}
	if r.lease > 0 {
		return r.lease <= b.coldRate(m, usual)
	}
	rate := b.coldRate(m, usual)
	most := max(rate*c.Window.Seconds()*savedMost, b.largest())
	m.saved = min(m.saved+rate*(b.now-m.savedAt).Seconds(), most)
	m.savedAt = b.now
	return m.saved >= min(r.class.work, most) && b.s.Together.Spare(b.now, m.id)
}

// coldRate is the work that a cold member may be sent each second, less what resolvers hold of it.
func (b *Brain) coldRate(m *member, usual float64) float64 {
	c, w := b.rules[m.role], b.size(m)
	share := c.Share + (1-c.Share)*float64(b.now-m.start)/float64(c.Warm)
	rate := budgetSlack * c.Multiple * share * usual * w / max(b.fleet[m.role], w)
	m.leases = slices.DeleteFunc(m.leases, func(l lease) bool { return b.now >= l.until })
	for _, l := range m.leases {
		rate -= l.load
	}
	return max(rate, 0)
}

// resolve names members to a resolver by the same hash and under the same bounds as requests: those that
// drain are left out, a started one enters by its rising share and within its budget. A resolver keeps its
// answer, so its load counts for all that time.
func (b *Brain) resolve(ev Resolve) {
	r := &request{Request: Request{Object: ev.Key}, class: newClass(Class{}), lease: max(ev.Load, leastLease)}
	var from []*member
	for _, m := range b.caches {
		if b.ready(m) && !m.bad && (ev.Only == 0 || m.id == ev.Only) {
			from = append(from, m)
		}
	}
	some, key := len(from) > 0, mix(ev.Key)
	var nodes []NodeID
	for len(nodes) < max(ev.Want, 1) {
		m := b.pick(r, key, from, saltCache, nil)
		if m == nil || len(nodes) > 0 && !b.owns(key, m) {
			break // a further name is worth less than the share of a started member
		}
		nodes = append(nodes, m.id)
		from = slices.DeleteFunc(from, func(o *member) bool { return o == m })
		if b.cold(m) {
			m.leases = append(m.leases, lease{r.lease, b.now + ev.Hold})
		} else {
			b.usual(cache, b.kinds[0], r.lease*ev.Hold.Seconds())
		}
	}
	switch {
	case len(nodes) > 0:
		b.do(Answer{ID: ev.ID, Nodes: nodes})
	case some:
		b.do(Refuse{ID: ev.ID, Wait: b.s.MaxWait})
	default:
		b.do(Fail{ID: ev.ID})
	}
}

// size is what counts of a member in its fleet.
func (b *Brain) size(m *member) float64 {
	if b.s.SteadyWeights && m.weight > 0 {
		return m.weight
	}
	return 1
}

// ---- Purges ----

func (b *Brain) purge(ev Purge) {
	maps.DeleteFunc(b.purges, func(_ purgeKey, at time.Duration) bool {
		return b.now-at > b.s.PurgeDone+purgeMargin
	})
	k, at := purgeKey{ev.ByGroup, ev.Object}, max(b.now-ev.Ago, 1) // 0 would say that there was none
	if ev.ByGroup {
		k.name = ev.Group
	}
	if len(b.purges) >= purgeTable {
		b.floor = max(b.floor, at)
	} else {
		b.purges[k] = max(b.purges[k], at)
	}
}

func (b *Brain) purgedAt(r *request) time.Duration {
	return max(b.purges[purgeKey{false, r.Object}], b.purges[purgeKey{true, r.Group}], b.floor)
}

// maxAge is the age that bars copies from before any purge told of the object; 0 is the class default.
func (b *Brain) maxAge(r *request) time.Duration {
	at := b.purgedAt(r)
	if at == 0 || b.now-at > b.s.PurgeDone+purgeMargin {
		return 0
	}
	age := max(b.now-at-time.Microsecond, time.Microsecond)
	if r.class.Fresh > 0 {
		age = min(age, r.class.Fresh)
	}
	return age
}

// ---- Members ----

func (b *Brain) list(ev Members) {
	if b.s.Ask && (ev.Failed || !b.asked) {
		b.asked = true
		b.do(Watch{})
	}
	if ev.Failed {
		return
	}
	listed := make(map[NodeID]bool, len(ev.Entries))
	for _, e := range ev.Entries {
		listed[e.Node] = true
		m := b.members[e.Node]
		if m == nil {
			m = &member{id: e.Node, misses: firstMisses}
			b.members[e.Node] = m
		}
		m.role, m.zone, m.cell, m.weight, m.state = b.roleOf(e), e.Zone, e.Cell, e.Weight, e.State
		if m.role != cache {
			m.misses = 1 // what passes the caches by is all fill
		}
		if e.Start > m.start {
			m.start, m.misses, m.bad, m.fails = e.Start, 1, false, 0
			m.saved, m.savedAt, m.doubt = 0, b.now, 0
		}
	}
	b.caches, b.parents, b.origin = b.caches[:0], b.parents[:0], nil
	var fleet [4]float64
	for _, id := range slices.Sorted(maps.Keys(b.members)) {
		m := b.members[id]
		if ev.Full && !listed[id] {
			m.state = Gone
		}
		if m.state == Gone {
			if m.out == 0 {
				delete(b.members, id)
			}
			continue
		}
		settled := b.ready(m) && (b.fleet[m.role] == 0 || !b.cold(m)) // a release lists both, old and new
		if settled && (m.role != cache || m.zone == b.s.Zone) {
			fleet[m.role] += b.size(m)
		}
		switch {
		case m.role == parent:
			b.parents = append(b.parents, m)
		case m.role == origin && b.origin == nil:
			b.origin = m
		case m.role == cache && m.zone == b.s.Zone:
			b.caches = append(b.caches, m)
		}
	}
	// What is lost for a while still counts: the fewer are left, the less a usual load says of one.
	for ro := range fleet {
		b.fleet[ro] = max(b.fleet[ro], fleet[ro])
	}
	for _, m := range b.caches {
		m.limit = b.limit(m)
	}
}

func (b *Brain) roleOf(e Entry) role {
	is := func(kind int) bool { return kind >= 0 && kind < len(b.s.Kinds) && b.s.Kinds[kind] == e.Kind }
	switch {
	case is(b.s.ParentKind):
		return parent
	case is(b.s.OriginKind):
		return origin
	}
	return cache
}
