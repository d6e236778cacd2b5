// Package policy makes the decisions of a client of edge routers: which router gets a request, whether and when it is
// retried, whether it is shed before it is sent, and when connections are opened, health-checked and closed.
//
// The package is a state machine without I/O, a clock or global randomness. The caller reports each event through a
// method of Policy, with the time of the event, and then carries out the actions that Actions returns. Times are
// durations since any fixed moment; they must be above 0 and must never decrease. Random numbers are derived from
// Settings.Seed, so equal events lead to equal actions.
//
// A Policy, its calls and its connections are not safe for concurrent use: the caller must hold one lock while it
// reports an event and carries out the resulting actions.
package policy

import (
	"math/rand/v2"
	"time"
)

// Policy holds the state of one client.
type Policy struct {
	settings Settings
	random   *rand.Rand
	now      time.Duration // time of the latest event
	routers  []*router
	queue    []*Call // calls that wait for capacity, in FIFO order; ended calls are skipped once they reach the head
	waiting  int     // calls that were never sent, whether queued or delayed
	timers   timerHeap
	budget   retryBudget
	throttle throttle
	latency  float64       // moving average over all routers, in seconds
	classes  []serviceTime // indexed by class
	actions  []Action
	counts   Counts
}

// New returns the policy of a client with the given numbers of routers and of request classes. Routers and classes
// are identified by their indexes, which start at 0. The settings must have passed Settings.Check.
func New(settings Settings, routers, classes int) *Policy {
	const pcgStream = 0x9e3779b97f4a7c15
	p := &Policy{
		settings: settings,
		random:   rand.New(rand.NewPCG(settings.Seed, pcgStream)),
		classes:  make([]serviceTime, classes),
	}
	for i := range routers {
		r := &router{index: i, load: loadEstimate{successRate: 1}}
		r.timer = newTimer(r)
		p.routers = append(p.routers, r)
	}
	p.budget = retryBudget{
		ratio:         settings.RetryShare,
		floor:         settings.RetryFloor,
		firstAttempts: newSlidingSum(settings.RetryWindow),
		retries:       newSlidingSum(settings.RetryWindow),
	}
	p.throttle = newThrottle(&p.settings, p.random)
	return p
}

// Waiting returns how many calls have not been sent yet.
func (p *Policy) Waiting() int { return p.waiting }

// NextTick returns the time by which Tick must be called; ok is false if no timer is set.
func (p *Policy) NextTick() (at time.Duration, ok bool) {
	if len(p.timers) == 0 {
		return 0, false
	}
	return p.timers[0].at, true
}

// Tick handles the timers that are due by now. It may be called before the time that NextTick returns.
func (p *Policy) Tick(now time.Duration) {
	p.now = now
	for len(p.timers) > 0 && p.timers[0].at <= now {
		p.popTimer().owner.timerDue(p)
	}
	p.sendQueued()
}

// CloseAll closes all connections. All calls must have ended, and no call may be started afterwards.
func (p *Policy) CloseAll(now time.Duration) {
	p.now = now
	for _, r := range p.routers {
		for len(r.conns) > 0 {
			p.closeConn(r.conns[0])
		}
		p.stopTimer(&r.timer)
	}
}
