package policy

import "time"

const (
	// initialDialBackoff is the longest wait after the first failed dial to a router that was never connected.
	initialDialBackoff = 100 * time.Millisecond

	// maxDialDoublings bounds how often initialDialBackoff is doubled.
	maxDialDoublings = 10
)

// dialState holds the state of dialing one router.
type dialState struct {
	notBefore      time.Duration // no connection is opened before this time
	failures       int           // consecutive failures
	everConnected  bool
	connectionLost bool // the last connection broke: the next one that comes up is a reconnect
}

// recordConnected records that a router answered the first health check of a connection.
func (p *Policy) recordConnected(r *router) {
	r.dial.failures, r.dial.everConnected = 0, true
	if r.dial.connectionLost {
		r.dial.connectionLost = false
		p.counts.Reconnects++
	}
}

// backOffDial sets when the next connection to a router is opened, unless another connection is ready. The wait is
// random, because the clients of a restarted router must not all reconnect at the same time. A router that was never
// connected is dialed again sooner at first.
func (p *Policy) backOffDial(r *router) {
	for _, conn := range r.conns {
		if conn.state == connReady {
			return
		}
	}
	span := float64(p.settings.Reconnect)
	wait := p.random.Float64() * span
	switch {
	case !r.dial.everConnected:
		wait = p.random.Float64() * min(span, float64(initialDialBackoff<<min(r.dial.failures, maxDialDoublings)))
	case r.dial.failures > 0:
		wait += span / 2
	}
	r.dial.failures++
	r.dial.connectionLost = r.dial.connectionLost || r.dial.everConnected
	r.dial.notBefore = p.now + time.Duration(wait)
	p.setTimer(&r.timer, max(r.dial.notBefore, r.outlier.ejectedUntil))
	p.redispatchQueued()
}
