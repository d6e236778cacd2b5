package policy

import (
	"fmt"
	"time"
)

// Settings holds the limits and durations of a client. Start from Defaults: the zero value is not valid. Each
// duration must be above 0 and at most one hour.
type Settings struct {
	// Seed seeds all random numbers. Each client needs its own seed: clients with equal seeds act at the same
	// moments.
	Seed uint64

	// Retries.
	Tries       int           // maximum number of attempts of a call
	RetryShare  float64       // retry budget: retries allowed per first attempt in RetryWindow
	RetryFloor  float64       // retry budget: additional retries allowed in RetryWindow
	RetryWindow time.Duration // sliding window of the retry budget
	BackoffBase time.Duration // longest backoff before the first retry; doubled with each further retry
	BackoffMost time.Duration // longest backoff before any retry
	LongestWait time.Duration // longest Retry-After of a router that is honored; a longer one is cut to it
	LeastTime   time.Duration // no attempt is made with less time left

	// Connections.
	OpenPerConn    int           // maximum number of calls in flight on a connection
	ConnsPerRouter int           // maximum number of connections to a router
	Waiting        int           // maximum number of calls that were never sent
	Idle           time.Duration // a connection without calls is closed after this time; routers close theirs later
	Crossing       time.Duration // a call written at most this long before a router's close may have crossed it
	DialWait       time.Duration // timeout of a dial
	CheckWait      time.Duration // timeout of a health check
	CheckEvery     time.Duration // interval of health checks on a connection in use
	Quiet          time.Duration // a connection that owes responses and is silent for this long is health-checked
	Reconnect      time.Duration // span over which reconnects after a break are spread

	// Outlier ejection.
	EjectAfter int           // consecutive failures that eject a router
	EjectFor   time.Duration // length of the first ejection, plus or minus a quarter; doubled with each further ejection
	EjectMost  time.Duration // longest ejection, plus or minus a quarter
	EjectShare float64       // largest share of the routers that may be ejected at the same time, from 0 to 1

	// Claims lets a call that is not idempotent and whose router was lost ask another router for its outcome. That
	// router asks the others, and runs the request only if it is certain that the request never ran. All routers must
	// be configured to keep orders for each other.
	Claims bool

	// Throttling while routers reject nearly all calls.
	ThrottleWindow time.Duration // sliding window of the responses that throttling is based on
	ThrottleLeast  int           // number of calls in the window below which no call is shed
	ThrottleOver   float64       // calls beyond this multiple of the accepted calls are shed
	ProbeEvery     time.Duration // interval at which one call is admitted nevertheless, as a probe
	Ramp           time.Duration // time after the end of throttling over which a rising share of calls is admitted
}

// Defaults returns the settings for routers that follow their protocol. Seed is 0; the caller must set it.
func Defaults() Settings {
	const ms = time.Millisecond
	return Settings{
		Tries:       3,
		RetryShare:  0.1,
		RetryFloor:  3,
		RetryWindow: 10 * time.Second,
		BackoffBase: 50 * ms,
		BackoffMost: time.Second,
		LongestWait: 10 * time.Second,
		LeastTime:   5 * ms,

		OpenPerConn:    32,
		ConnsPerRouter: 2,
		Waiting:        1024,
		Idle:           3500 * ms,
		Crossing:       50 * ms,
		DialWait:       time.Second,
		CheckWait:      time.Second,
		CheckEvery:     2 * time.Second,
		Quiet:          time.Second,
		Reconnect:      2500 * ms,

		EjectAfter: 5,
		EjectFor:   time.Second,
		EjectMost:  30 * time.Second,
		EjectShare: 0.5,

		ThrottleWindow: 2 * time.Second,
		ThrottleLeast:  10,
		ThrottleOver:   2,
		ProbeEvery:     50 * ms,
		Ramp:           250 * ms,
	}
}

// Check returns an error that names the first setting that is out of range, or nil.
func (s Settings) Check() error {
	if err := s.checkCounts(); err != nil {
		return err
	}
	if err := s.checkTimes(); err != nil {
		return err
	}
	return s.checkRatios()
}

func (s Settings) checkCounts() error {
	for _, setting := range []struct {
		name       string
		value, max int
	}{
		{"Tries", s.Tries, 10},
		{"OpenPerConn", s.OpenPerConn, 32},
		{"ConnsPerRouter", s.ConnsPerRouter, 64},
		{"Waiting", s.Waiting, 1 << 20},
		{"EjectAfter", s.EjectAfter, 1 << 20},
		{"ThrottleLeast", s.ThrottleLeast, 1 << 20},
	} {
		if setting.value < 1 || setting.value > setting.max {
			return fmt.Errorf("%s is %d, must be 1 to %d", setting.name, setting.value, setting.max)
		}
	}
	return nil
}

func (s Settings) checkTimes() error {
	for _, setting := range []struct {
		name  string
		value time.Duration
	}{
		{"RetryWindow", s.RetryWindow},
		{"BackoffBase", s.BackoffBase},
		{"BackoffMost", s.BackoffMost},
		{"LongestWait", s.LongestWait},
		{"LeastTime", s.LeastTime},
		{"Idle", s.Idle},
		{"Crossing", s.Crossing},
		{"DialWait", s.DialWait},
		{"CheckWait", s.CheckWait},
		{"CheckEvery", s.CheckEvery},
		{"Quiet", s.Quiet},
		{"Reconnect", s.Reconnect},
		{"EjectFor", s.EjectFor},
		{"EjectMost", s.EjectMost},
		{"ThrottleWindow", s.ThrottleWindow},
		{"ProbeEvery", s.ProbeEvery},
		{"Ramp", s.Ramp},
	} {
		if setting.value <= 0 || setting.value > time.Hour {
			return fmt.Errorf("%s is %v, must be above 0 and at most 1h", setting.name, setting.value)
		}
	}
	return nil
}

func (s Settings) checkRatios() error {
	for _, setting := range []struct {
		name            string
		value, min, max float64
	}{
		{"RetryShare", s.RetryShare, 0, 10},
		{"RetryFloor", s.RetryFloor, 0, 1e6},
		{"EjectShare", s.EjectShare, 0, 1},
		{"ThrottleOver", s.ThrottleOver, 1, 1e6},
	} {
		inRange := setting.value >= setting.min && setting.value <= setting.max
		if !inRange { // also if the value is NaN
			return fmt.Errorf("%s is %v, must be %v to %v", setting.name, setting.value, setting.min, setting.max)
		}
	}
	return nil
}
