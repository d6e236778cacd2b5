package policy

import "time"

const (
	// maxEjectionDoublings bounds how often the span of a router's ejections is doubled.
	maxEjectionDoublings = 16

	// ejectionResetFactor is how many times EjectFor a router has to do well after an ejection until the next one is
	// short again.
	ejectionResetFactor = 4
)

// outlierState is the outlier detection of one router.
type outlierState struct {
	failures        int // in a row
	ejectedUntil    time.Duration
	recentEjections int // that make the next one longer
}

// recordSuccess counts a response that shows a router at work.
func (p *Policy) recordSuccess(r *router) {
	r.outlier.failures = 0
	if r.outlier.recentEjections > 0 && p.now > r.outlier.ejectedUntil+ejectionResetFactor*p.settings.EjectFor {
		r.outlier.recentEjections = 0
	}
}

// recordFailure counts a fault of a router, and ejects it after some in a row.
func (p *Policy) recordFailure(r *router) {
	r.outlier.failures++
	if r.outlier.failures >= p.settings.EjectAfter && p.now >= r.outlier.ejectedUntil && p.mayEject() {
		p.eject(r)
	}
}

// recordTimeout counts that a router did not answer within the time limit that was sent with the call.
func (p *Policy) recordTimeout(r *router) {
	r.recordSuccessRate(0)
	p.recordFailure(r)
}

// mayEject says whether one more router may be ejected. Where too many fail, none of them is an outlier.
func (p *Policy) mayEject() bool {
	ejected := 1
	for _, r := range p.routers {
		if p.now < r.outlier.ejectedUntil {
			ejected++
		}
	}
	return float64(ejected) <= p.settings.EjectShare*float64(len(p.routers))
}

// eject keeps a router from getting calls for a time that doubles with each ejection.
func (p *Policy) eject(r *router) {
	o := &r.outlier
	o.failures = p.settings.EjectAfter - 1 // the first failure after the ejection counts in full
	span := min(p.settings.EjectMost, p.settings.EjectFor<<min(o.recentEjections, maxEjectionDoublings))
	o.recentEjections++
	o.ejectedUntil = p.now + time.Duration((0.75+0.5*p.random.Float64())*float64(span))
	p.counts.Ejections++
	p.setTimer(&r.timer, o.ejectedUntil)
}
