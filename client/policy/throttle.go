package policy

import (
	"math/rand/v2"
	"time"
)

const (
	// initialRampShedFraction is the fraction of calls that is shed when the ramp after an overload begins.
	initialRampShedFraction = 0.8

	// Numbers of consecutive accepted responses that end an overload. A partial overload, in which routers accept
	// some calls all along, needs more, because two consecutive accepted responses say little there.
	overloadEndStreak        = 2
	partialOverloadEndStreak = 8

	// partialOverloadAccepted is the number of accepted responses in a window above which an overload counts as
	// partial.
	partialOverloadAccepted = 2
)

// throttle sheds calls locally while routers reject nearly all of them (an overload). It is adaptive throttling as in
// the Google SRE book, with a probe and a ramp that let it recover within a second. Shedding spares routers the work
// of rejecting calls, and the callers' links the traffic of calls that would be rejected. One call per ProbeEvery is
// still admitted as a probe, to detect the end of the overload.
type throttle struct {
	settings  *Settings
	random    *rand.Rand
	ended     slidingSum    // calls answered by routers or shed
	accepted  slidingSum    // calls that routers did not reject
	streak    int           // consecutive accepted responses
	lastProbe time.Duration // when a call was last admitted as a probe
	rampStart time.Duration // when the ramp began; 0: no ramp
}

func newThrottle(settings *Settings, random *rand.Rand) throttle {
	t := throttle{settings: settings, random: random}
	t.resetWindow()
	return t
}

// resetWindow clears the sums of the window.
func (t *throttle) resetWindow() {
	t.ended = newSlidingSum(t.settings.ThrottleWindow)
	t.accepted = newSlidingSum(t.settings.ThrottleWindow)
}

// shedFraction returns the fraction of new calls to shed now.
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

// admit reports whether a new call may be sent; if not, it is shed.
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

// inactive reports whether no calls are shed now.
func (t *throttle) inactive(now time.Duration) bool { return t.shedFraction(now) <= 0 }

// recordRejected counts a rejection by a router.
func (t *throttle) recordRejected(now time.Duration) {
	t.streak, t.rampStart = 0, 0
	t.ended.add(now, 1)
}

// recordAccepted counts a response that was not a rejection, and starts the ramp if the response shows that an
// overload is over.
func (t *throttle) recordAccepted(now time.Duration) {
	t.streak++
	overloaded := t.rampStart == 0 && t.shedFraction(now) > 0
	if overloaded && t.streak >= t.requiredStreak(now) {
		t.resetWindow() // the sums of the overload do not apply to the time after it
		t.rampStart = now
	}
	t.ended.add(now, 1)
	t.accepted.add(now, 1)
}

// requiredStreak returns how many consecutive accepted responses end the current overload.
func (t *throttle) requiredStreak(now time.Duration) int {
	if t.accepted.sum(now) > partialOverloadAccepted {
		return partialOverloadEndStreak
	}
	return overloadEndStreak
}
