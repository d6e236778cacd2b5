package policy

import "time"

const (
	// maxEjectionDoublings bounds how often the length of a router's ejections is doubled.
	maxEjectionDoublings = 16

	// ejectionResetFactor is the time after an ejection, in multiples of EjectFor, from which on a success makes the
	// router's next ejection short again.
	ejectionResetFactor = 4
)

// outlierState holds the outlier detection state of one router.
type outlierState struct {
	failures        int // consecutive failures
	ejectedUntil    time.Duration
	recentEjections int // ejections that make the next one longer
}

// recordSuccess records a response that shows that a router works.
func (p *Policy) recordSuccess(r *router) {
	r.outlier.failures = 0
	if r.outlier.recentEjections > 0 && p.now > r.outlier.ejectedUntil+ejectionResetFactor*p.settings.EjectFor {
		r.outlier.recentEjections = 0
	}
}

// recordFailure counts a failure of a router, and ejects the router after Settings.EjectAfter consecutive failures.
func (p *Policy) recordFailure(r *router) {
	r.outlier.failures++
	if r.outlier.failures >= p.settings.EjectAfter && p.now >= r.outlier.ejectedUntil && p.mayEject() {
		p.eject(r)
	}
}

// recordTimeout records that a router did not respond within the time limit that was sent with the call.
func (p *Policy) recordTimeout(r *router) {
	r.recordSuccessRate(0)
	p.recordFailure(r)
}

// mayEject reports whether one more router may be ejected. If too many routers fail, none of them is an outlier.
func (p *Policy) mayEject() bool {
	ejected := 1
	for _, r := range p.routers {
		if p.now < r.outlier.ejectedUntil {
			ejected++
		}
	}
	return float64(ejected) <= p.settings.EjectShare*float64(len(p.routers))
}

// eject excludes a router from getting calls for a time that doubles with each ejection.
func (p *Policy) eject(r *router) {
	o := &r.outlier
	o.failures = p.settings.EjectAfter - 1 // a single failure after the ejection ejects the router again
	span := min(p.settings.EjectMost, p.settings.EjectFor<<min(o.recentEjections, maxEjectionDoublings))
	o.recentEjections++
	o.ejectedUntil = p.now + time.Duration((0.75+0.5*p.random.Float64())*float64(span))
	p.counts.Ejections++
	p.setTimer(&r.timer, o.ejectedUntil)
}
