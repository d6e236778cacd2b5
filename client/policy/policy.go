// Package policy decides for a client of edge routers: which router gets a request, whether and when it is retried,
// when it is shed before it is sent, and when connections are opened, checked and closed.
//
// It is a state machine without I/O, clock or global randomness. The caller reports events through the methods of
// Policy, each with the time at which it happened, and after each of them does what Actions returns. Times are
// durations since any fixed moment, must be above 0 and never go back. Random numbers come from Settings.Seed:
// equal events lead to equal actions.
//
// A Policy, its calls and its connections are not safe for concurrent use: the caller holds one lock around an
// event and the actions that follow from it.
package policy

import (
	"math/rand/v2"
	"time"
)

// Policy holds the state of one client.
type Policy struct {
	settings Settings
	random   *rand.Rand
	now      time.Duration // of the latest event
	routers  []*router
	queue    []*Call // waiting for capacity, in order; calls that have ended are skipped when they are reached
	waiting  int     // calls that were never sent, in the queue or delayed
	timers   timerHeap
	budget   retryBudget
	throttle throttle
	latency  float64       // moving average over all routers, in seconds
	classes  []serviceTime // by class
	actions  []Action
	counts   Counts
}

// New returns the policy of a client that knows the given number of routers and classes of requests. Both are named
// by their index from 0. The settings must have passed Settings.Check.
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

// NextTick returns when Tick has to be called at the latest; ok is false where nothing is due at any time.
func (p *Policy) NextTick() (at time.Duration, ok bool) {
	if len(p.timers) == 0 {
		return 0, false
	}
	return p.timers[0].at, true
}

// Tick does what is due by now. A call before the time of NextTick does no harm.
func (p *Policy) Tick(now time.Duration) {
	p.now = now
	for len(p.timers) > 0 && p.timers[0].at <= now {
		p.popTimer().owner.timerDue(p)
	}
	p.sendQueued()
}

// CloseAll closes all connections. All calls must have ended, and none may be started after it.
func (p *Policy) CloseAll(now time.Duration) {
	p.now = now
	for _, r := range p.routers {
		for len(r.conns) > 0 {
			p.closeConn(r.conns[0])
		}
		p.stopTimer(&r.timer)
	}
}
