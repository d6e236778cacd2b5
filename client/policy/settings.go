package policy

import (
	"fmt"
	"time"
)

// Settings are the limits and times of a client. Start from Defaults: the zero value is not valid. A time is above
// 0 and at most an hour.
type Settings struct {
	// Seed is the seed of all random numbers. Clients must differ in it, or they act at the same moments.
	Seed uint64

	// Retries.
	Tries       int           // attempts of a call, at most
	RetryShare  float64       // retry budget: retries allowed for each first attempt in RetryWindow
	RetryFloor  float64       // retry budget: retries allowed besides in RetryWindow
	RetryWindow time.Duration // sliding window of the retry budget
	BackoffBase time.Duration // longest backoff before the first retry; doubled with each further one
	BackoffMost time.Duration // longest backoff before any retry
	LongestWait time.Duration // longest Retry-After that a router's rejection may ask for
	LeastTime   time.Duration // an attempt with less time left is not made

	// Connections.
	OpenPerConn    int           // calls in flight on a connection, at most
	ConnsPerRouter int           // connections to a router, at most
	Waiting        int           // calls that were never sent, at most
	Idle           time.Duration // a connection without calls is closed after it; routers close theirs later
	Crossing       time.Duration // a call written so shortly before a router's close may have crossed it
	DialWait       time.Duration // time limit of a dial
	CheckWait      time.Duration // time limit of a health check
	CheckEvery     time.Duration // interval of health checks on a connection in use
	Quiet          time.Duration // a connection that owes responses and is silent for so long is checked
	Reconnect      time.Duration // span over which reconnects after a break are spread

	// Outlier ejection.
	EjectAfter int           // failures in a row that eject a router
	EjectFor   time.Duration // how long the first ejection lasts, give or take a quarter; doubled with each further one
	EjectMost  time.Duration // how long any ejection lasts, give or take a quarter
	EjectShare float64       // of the routers that may be ejected at a time, from 0 to 1

	// Claims has a call that is not idempotent, and whose router was lost, ask another router for its outcome. That
	// one asks the others, and runs the request only if it surely never ran. All routers must be configured to keep
	// orders for each other.
	Claims bool

	// Throttling, while routers reject nearly all calls.
	ThrottleWindow time.Duration // sliding window of responses that it is judged by
	ThrottleLeast  int           // calls of the window below which nothing is shed
	ThrottleOver   float64       // calls beyond this multiple of the accepted ones are shed
	ProbeEvery     time.Duration // one call is admitted so often all the same
	Ramp           time.Duration // span after the end of it over which a rising share of calls is admitted
}

// Defaults returns the settings for routers that keep to their protocol. Seed is 0: set it.
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

// Check returns an error that names the first setting out of its range, or nil.
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
			return fmt.Errorf("%s is %d, not 1 to %d", setting.name, setting.value, setting.max)
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
			return fmt.Errorf("%s is %v, not above 0 and up to 1h", setting.name, setting.value)
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
		if !inRange { // NaN included
			return fmt.Errorf("%s is %v, not %v to %v", setting.name, setting.value, setting.min, setting.max)
		}
	}
	return nil
}
