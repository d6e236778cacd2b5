package policy

import (
	"math/rand/v2"
	"time"
)

const (
	// initialRampShedFraction is the fraction of calls that is shed when the ramp after an overload begins.
	initialRampShedFraction = 0.8

	// So many accepted responses in a row end an overload: more where routers accepted some calls all along, as two
	// accepted ones in a row say little there.
	overloadEndStreak        = 2
	partialOverloadEndStreak = 8

	// partialOverloadAccepted is how many accepted responses of a window make an overload a partial one.
	partialOverloadAccepted = 2
)

// throttle sheds calls locally while routers reject nearly all of them (an overload): adaptive throttling, as in
// the Google SRE book, with a probe and a ramp that let it recover within a second. It spares routers the work of
// rejecting, and the callers' links the calls that would be rejected. One call at a time is admitted all the same,
// to see the end of the overload.
type throttle struct {
	settings  *Settings
	random    *rand.Rand
	ended     slidingSum    // calls answered by routers or shed
	accepted  slidingSum    // calls that routers did not reject
	streak    int           // responses accepted in a row
	lastProbe time.Duration // when a call was last admitted as a probe
	rampStart time.Duration // 0: no ramp
}

func newThrottle(settings *Settings, random *rand.Rand) throttle {
	t := throttle{settings: settings, random: random}
	t.resetWindow()
	return t
}

// resetWindow drops the figures of the window.
func (t *throttle) resetWindow() {
	t.ended = newSlidingSum(t.settings.ThrottleWindow)
	t.accepted = newSlidingSum(t.settings.ThrottleWindow)
}

// shedFraction is the fraction of new calls that is to be shed now.
func (t *throttle) shedFraction(now time.Duration) float64 {
	if t.rampStart > 0 {
		if now < t.rampStart+t.settings.Ramp {
			return initialRampShedFraction * (1 - float64(now-t.rampStart)/float64(t.settings.Ramp))
		}
		t.rampStart = 0
	}
	ended := t.ended.sum(now)
	if ended < float64(t.settings.ThrottleLeast) {
		return 0
	}
	return max(0, (ended-t.settings.ThrottleOver*t.accepted.sum(now))/(ended+1))
}

// admit says whether a new call may go on; if not, it is shed.
func (t *throttle) admit(now time.Duration) bool {
	fraction := t.shedFraction(now)
	if fraction <= 0 || t.random.Float64() >= fraction {
		return true
	}
	if now >= t.lastProbe+t.settings.ProbeEvery {
		t.lastProbe = now
		return true
	}
	t.ended.add(now, 1)
	return false
}

// inactive says whether no calls are shed now.
func (t *throttle) inactive(now time.Duration) bool { return t.shedFraction(now) <= 0 }

// recordRejected counts a rejection by a router.
func (t *throttle) recordRejected(now time.Duration) {
	t.streak, t.rampStart = 0, 0
	t.ended.add(now, 1)
}

// recordAccepted counts a response that was no rejection, and starts the ramp where it shows that an overload is
// over.
func (t *throttle) recordAccepted(now time.Duration) {
	t.streak++
	overloaded := t.rampStart == 0 && t.shedFraction(now) > 0
	if overloaded && t.streak >= t.requiredStreak(now) {
		t.resetWindow() // the figures of the overload say nothing of what comes
		t.rampStart = now
	}
	t.ended.add(now, 1)
	t.accepted.add(now, 1)
}

func (t *throttle) requiredStreak(now time.Duration) int {
	if t.accepted.sum(now) > partialOverloadAccepted {
		return partialOverloadEndStreak
	}
	return overloadEndStreak
}
