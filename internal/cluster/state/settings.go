package state

import (
	"fmt"
	"math"
	"time"
)

// Settings configures one router's replica of the shared state.
type Settings struct {
	Self             string        // the router's name
	Process          uint64        // number of the router's process; later processes of the same router have higher ones
	ClusterSize      int           // configured number of routers that own shares of each budget
	Guest            bool          // this router owns no shares and spends only on those that it borrows
	LeaseDuration    time.Duration // how long shares are lent
	TickInterval     time.Duration // between two calls of Tick
	ClockDrift       float64       // the most by which a clock may run fast or slow, as a fraction (0.02 is 2 %)
	EjectionDuration time.Duration // how long an ejection lasts after the last evidence
	Quorum           int           // routers whose evidence ejects an endpoint; 0: more than half of those alive, at least two
}

// MaxClusterSize is the largest cluster size that can be configured.
const MaxClusterSize = 1000

// Bounds of the durations and of the clock drift in Settings.
const (
	minTickInterval  = 10 * time.Millisecond
	minTicksPerLease = 4
	maxDuration      = time.Minute // of a lease and of an ejection
	maxClockDrift    = 0.2
)

// Defaults returns the default settings for a process of a router in a cluster of the given size.
func Defaults(self string, process uint64, clusterSize int) Settings {
	return Settings{
		Self:             self,
		Process:          process,
		ClusterSize:      clusterSize,
		LeaseDuration:    2 * time.Second,
		TickInterval:     200 * time.Millisecond,
		ClockDrift:       0.02,
		EjectionDuration: 3 * time.Second,
	}
}

// Check returns an error that names the first invalid setting.
func (s Settings) Check() error {
	switch {
	case !validName(s.Self):
		return fmt.Errorf("setting Self is %q, not a name of 1 to %d bytes", s.Self, maxNameBytes)
	case s.ClusterSize < 1 || s.ClusterSize > MaxClusterSize:
		return fmt.Errorf("setting ClusterSize is %d, not 1 to %d", s.ClusterSize, MaxClusterSize)
	case !s.validLease():
		return fmt.Errorf("setting TickInterval is %v, LeaseDuration %v: a tick must be at least 10ms, a lease four ticks to a minute",
			s.TickInterval, s.LeaseDuration)
	case s.EjectionDuration < 2*s.TickInterval || s.EjectionDuration > maxDuration:
		return fmt.Errorf("setting EjectionDuration is %v, not two ticks to a minute", s.EjectionDuration)
	case !(s.ClockDrift >= 0 && s.ClockDrift <= maxClockDrift): // false for NaN too
		return fmt.Errorf("setting ClockDrift is %v, not 0 to 0.2", s.ClockDrift)
	case s.Quorum != 0 && (s.Quorum < 2 || s.Quorum > s.ClusterSize):
		return fmt.Errorf("setting Quorum is %d, neither 0 nor 2 to the cluster size", s.Quorum)
	}
	return nil
}

// validLease reports whether a tick and a lease are within their bounds.
func (s Settings) validLease() bool {
	return s.TickInterval >= minTickInterval && s.LeaseDuration >= minTicksPerLease*s.TickInterval &&
		s.LeaseDuration <= maxDuration
}

// withClockDrift returns a duration on this router's clock that is long enough for d to pass on every clock that drifts by
// at most ClockDrift.
func (s Settings) withClockDrift(d time.Duration) time.Duration {
	return time.Duration(math.Ceil(float64(d) * (1 + s.ClockDrift) / (1 - s.ClockDrift)))
}
