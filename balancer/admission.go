package balancer

import (
	"math"
	"slices"
)

// How much may be outstanding at a cache and on the location's link.

// linkLimit first bounds what is under way on the location's link, fills and what passes the caches by. It
// guards against a jam of fills: after a mass purge, a cold return or in a burst they would share the link
// until all are late and every place for a fill is taken. Over the limit hits are still served. What is told
// of the link sets it, else it may be learned to be higher. Each of many directors has room for chance too:
// while one has more to fill than its part, others have less.
func (b *Balancer) linkLimit() (first, most, room float64) {
	limit, over, room := startLimit, linkMost, guessedRoom
	if fits := b.linkFits(); fits > 0 {
		limit, over, room = linkShare*fits, 1, toldRoom
	}
	m := limit / b.routersHere()
	m += chance * math.Sqrt(m*(1-1/b.routersHere()))
	return max(leastLimit, m), max(leastLimit, over*m), room
}

// cacheLimit bounds our attempts outstanding at a cache: our part of what its link carries in time for all
// directors of the location, by its size where that is told, else by its part of the location's link, which
// is built for the misses of them all. A part of less than leastLimit would be used up by chance while the
// cache is free, and push requests to caches that lack their objects.
func (b *Balancer) cacheLimit(m *member) float64 {
	all, n := startLimit, max(b.fleet[cache], 1)
	if b.s.StaticWeights && m.weight > 0 && b.s.PaceKBps > 0 {
		all = cacheShare * m.weight
	} else if fits := b.linkFits(); fits > 0 && !b.s.StaticWeights {
		all = cacheOver * fits / n / math.Sqrt(max(wideUnder/n, 1))
	}
	return max(leastLimit, all/b.routersHere())
}

// setLimits bounds all caches anew.
func (b *Balancer) setLimits() {
	for _, m := range b.caches {
		m.limit = b.cacheLimit(m)
	}
}

// linkFits is how many transfers the location's link carries at full pace; 0 where that is not told.
func (b *Balancer) linkFits() float64 {
	i := slices.Index(b.s.Topology.Zones, b.s.Topology.Zone)
	if i < 0 || i >= len(b.s.LinkKBps) || b.s.LinkKBps[i] <= 0 || b.s.PaceKBps <= 0 {
		return 0
	}
	return b.s.LinkKBps[i] / b.s.PaceKBps
}

// routersHere is how many directors share the location's caches and link.
func (b *Balancer) routersHere() float64 {
	site := &b.s.Topology
	if i := slices.Index(site.Zones, site.Zone); i < len(site.RoutersPerZone) && site.RoutersPerZone[i] > 1 {
		return float64(site.RoutersPerZone[i])
	}
	return 1
}

// learnLinkLimit moves the bound of the location's link towards what it can have under way and still be in time: as
// many more as would have made this fill late. It guards against a jam of fills that outlasts its cause.
// What others have on the link shows only in these times: a size not known counts as its class's, the more so
// the more share the link.
func (b *Balancer) learnLinkLimit(r *request, a *attempt, ev Outcome) {
	w, filled := r.work, ev.Detail == Filled || ev.Detail == FilledByOrigin
	if !filled || a.node.role != cache || a.source.role != parent {
		return
	}
	room := b.linkPart * a.besideLink * (w + r.slack()) / max(ev.Elapsed.Seconds(), w)
	if ev.Elapsed > seconds(congested*w) || room > b.linkRoom {
		gain := w / (w + r.class.work) * learnGain
		if r.SizeKB == 0 && r.object.work == 0 {
			gain *= 1 - 1/b.routersHere()
		}
		b.linkRoom = min(max(leastLimit, b.linkRoom+(room-b.linkRoom)*gain), b.linkMost)
	}
}
