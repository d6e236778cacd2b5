package policy

import "time"

const (
	// initialDialBackoff is the longest wait after the first failed dial to a router that was never up.
	initialDialBackoff = 100 * time.Millisecond

	// maxDialDoublings bounds how often it is doubled.
	maxDialDoublings = 10
)

// dialState is what is known of the connecting to one router.
type dialState struct {
	notBefore      time.Duration // no connection is opened before
	failures       int           // in a row
	everConnected  bool
	connectionLost bool // the last connection broke: the next that comes up is a reconnect
}

// recordConnected records that a router answered the first health check of a connection.
func (p *Policy) recordConnected(r *router) {
	r.dial.failures, r.dial.everConnected = 0, true
	if r.dial.connectionLost {
		r.dial.connectionLost = false
		p.counts.Reconnects++
	}
}

// backOffDial sets when the next connection to a router is opened, unless another one is ready. The clients of a
// router that restarts must not all come back together; one that was never up is dialed again sooner at first.
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
