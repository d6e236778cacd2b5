package policy

import (
	"fmt"
	"time"
)

// Settings bound and steer a client. Defaults gives them all; a zero value has no meaning of its own.
type Settings struct {
	Seed uint64 // of all random numbers: clients must differ in it, or they act together

	Tries       int           // times that a call is sent, at most
	RetryShare  float64       // retries allowed for each first try
	RetryFloor  float64       // retries allowed besides in RetryWindow
	RetryWindow time.Duration // over which they are counted
	BackoffBase time.Duration // the wait before a retry is random up to this, doubled with each,
	BackoffMost time.Duration // and up to this at most
	LongestWait time.Duration // a router may tell a refused client to stay away for so long, at most
	LeastTime   time.Duration // a call with less time left is not sent

	OpenPerConn    int           // calls that are open on a connection at a time
	ConnsPerRouter int           // connections to a router
	Waiting        int           // calls that wait to be sent first
	Idle           time.Duration // a connection without calls closes after it; routers close later
	Crossing       time.Duration // a call written so shortly before a router's close has crossed it
	DialWait       time.Duration // a connection comes up in it, or not at all
	CheckWait      time.Duration // a router answers whether it takes clients in it
	CheckEvery     time.Duration // a router that is in use is asked so often
	Quiet          time.Duration // a connection that owes answers and brings nothing for so long is asked
	Reconnect      time.Duration // connections after a break are spread over it

	EjectAfter int           // failures in a row that take a router out of the choice
	EjectFor   time.Duration // at first; doubled each time
	EjectMost  time.Duration // at most
	EjectShare float64       // of the routers that may be out of it at a time

	// Claims has an order go to another router where its router was lost: that asks the others what became of it, and
	// runs it only if it surely never ran. All routers must be set up to keep orders for each other.
	Claims bool

	ThrottleWindow time.Duration // answers of this time tell whether routers refuse
	ThrottleLeast  int           // answers before that is judged
	ThrottleOver   float64       // refused here is what goes beyond this multiple of what is accepted
	ProbeEvery     time.Duration // one call is let through so often all the same
	Ramp           time.Duration // after a storm, calls are let through in rising share over it
}

// Defaults returns settings for routers as their protocol describes them.
func Defaults() Settings {
	const ms = time.Millisecond
	return Settings{
		Tries: 3, RetryShare: 0.1, RetryFloor: 3, RetryWindow: 10 * time.Second,
		BackoffBase: 50 * ms, BackoffMost: time.Second, LongestWait: 10 * time.Second, LeastTime: 5 * ms,
		OpenPerConn: 32, ConnsPerRouter: 2, Waiting: 1024, Idle: 3500 * ms, Crossing: 50 * ms,
		DialWait: time.Second, CheckWait: time.Second, CheckEvery: 2 * time.Second, Quiet: time.Second, Reconnect: 2500 * ms,
		EjectAfter: 5, EjectFor: time.Second, EjectMost: 30 * time.Second, EjectShare: 0.5,
		ThrottleWindow: 2 * time.Second, ThrottleLeast: 10, ThrottleOver: 2, ProbeEvery: 50 * ms, Ramp: 250 * ms,
	}
}

// Check names the first setting that can't be used.
func (s Settings) Check() error {
	for _, c := range []struct {
		name    string
		n, most int
	}{
		{"Tries", s.Tries, 10}, {"OpenPerConn", s.OpenPerConn, 32}, {"ConnsPerRouter", s.ConnsPerRouter, 64},
		{"Waiting", s.Waiting, 1 << 20}, {"EjectAfter", s.EjectAfter, 1 << 20}, {"ThrottleLeast", s.ThrottleLeast, 1 << 20},
	} {
		if c.n < 1 || c.n > c.most {
			return fmt.Errorf("%s is %d, not 1 to %d", c.name, c.n, c.most)
		}
	}
	for _, c := range []struct {
		name string
		d    time.Duration
	}{
		{"RetryWindow", s.RetryWindow}, {"BackoffBase", s.BackoffBase}, {"BackoffMost", s.BackoffMost},
		{"LongestWait", s.LongestWait}, {"LeastTime", s.LeastTime}, {"Idle", s.Idle}, {"Crossing", s.Crossing},
		{"DialWait", s.DialWait}, {"CheckWait", s.CheckWait}, {"CheckEvery", s.CheckEvery}, {"Quiet", s.Quiet},
		{"Reconnect", s.Reconnect}, {"EjectFor", s.EjectFor}, {"EjectMost", s.EjectMost},
		{"ThrottleWindow", s.ThrottleWindow}, {"ProbeEvery", s.ProbeEvery}, {"Ramp", s.Ramp},
	} {
		if c.d <= 0 || c.d > time.Hour {
			return fmt.Errorf("%s is %v, not above 0 and up to 1h", c.name, c.d)
		}
	}
	for _, c := range []struct {
		name          string
		v, least, top float64
	}{
		{"RetryShare", s.RetryShare, 0, 10}, {"RetryFloor", s.RetryFloor, 0, 1e6}, {"EjectShare", s.EjectShare, 0, 1},
		{"ThrottleOver", s.ThrottleOver, 1, 1e6},
	} {
		if !(c.v >= c.least && c.v <= c.top) { // also where it is not a number
			return fmt.Errorf("%s is %v, not %v to %v", c.name, c.v, c.least, c.top)
		}
	}
	return nil
}
