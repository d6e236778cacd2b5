package failover

import (
	"cmp"
	"fmt"
	"math"
	"time"
)

// Settings set up one router's coordinator.
type Settings struct {
	Self           string        // the router's name
	Process        uint64        // of the router; each process has another, above 0
	Place          string        // where this router is; its replica is elsewhere, if a router there is alive
	ClusterSize    int           // routers that take orders, this one counted
	Strict         bool          // no router sends an order that no replica holds
	LeaseDuration  time.Duration // an owner that says nothing for so long counts as lost
	ClockDrift     float64       // by how much a clock may run too fast or too slow, as a share
	ReplicaTimeout time.Duration // for a replica's reply, before another replica is asked
	ClaimTimeout   time.Duration // for the replies to a claim, before the strongest counts
	Retention      time.Duration // how long a record outlives its order's time
	MaxClientWait  time.Duration // the longest time that an order's client waits
	MaxRecords     int           // held for other routers
	MaxBodyBytes   int           // of a body in a record, and of an outcome
}

// MaxBodyLimit bounds Settings.MaxBodyBytes.
const MaxBodyLimit = 16 << 10

// Bounds of names in Settings, in bytes.
const (
	maxRouterName = 128
	maxPlaceName  = 64
)

// Defaults returns settings for a process of a router in a cluster of that size, whose clients wait for maxClientWait
// at most.
func Defaults(self string, process uint64, clusterSize int, maxClientWait time.Duration) Settings {
	return Settings{
		Self:           self,
		Process:        process,
		ClusterSize:    clusterSize,
		Strict:         true,
		LeaseDuration:  300 * time.Millisecond,
		ClockDrift:     0.02,
		ReplicaTimeout: 250 * time.Millisecond,
		ClaimTimeout:   250 * time.Millisecond,
		Retention:      10 * time.Second,
		MaxClientWait:  maxClientWait,
		MaxRecords:     4096,
		MaxBodyBytes:   4 << 10,
	}
}

// Check returns an error that names the first setting that can't be used.
func (s Settings) Check() error {
	return cmp.Or(s.checkIdentity(), s.checkTimes(), s.checkLimits())
}

func (s Settings) checkIdentity() error {
	switch {
	case s.Self == "" || len(s.Self) > maxRouterName || len(s.Place) > maxPlaceName || s.Process == 0:
		return fmt.Errorf("setting Self is %q, Place %q, Process %d: names of up to 128 and 64 bytes, a number above 0",
			s.Self, s.Place, s.Process)
	case s.ClusterSize < 2:
		return fmt.Errorf("setting Size is %d: without another router there is no keeper", s.ClusterSize)
	}
	return nil
}

func (s Settings) checkTimes() error {
	switch {
	case s.LeaseDuration < 100*time.Millisecond || s.LeaseDuration > time.Minute:
		return fmt.Errorf("setting Lease is %v, not 100 ms to a minute", s.LeaseDuration)
	case !(s.ClockDrift >= 0 && s.ClockDrift <= 0.2):
		return fmt.Errorf("setting Drift is %v, not 0 to 0.2", s.ClockDrift)
	case !usableTimeout(s.ReplicaTimeout) || !usableTimeout(s.ClaimTimeout):
		return fmt.Errorf("setting Wait is %v, Claim %v, not 10 ms to 10 s", s.ReplicaTimeout, s.ClaimTimeout)
	case s.MaxClientWait <= 0 || s.Retention < s.MaxClientWait || s.Retention > 10*time.Minute:
		return fmt.Errorf("setting Keep is %v, not from the longest wait of a client (%v) to 10 minutes",
			s.Retention, s.MaxClientWait)
	}
	return nil
}

func usableTimeout(d time.Duration) bool { return d >= 10*time.Millisecond && d <= 10*time.Second }

func (s Settings) checkLimits() error {
	switch {
	case s.MaxRecords < 16 || s.MaxRecords > 1<<20:
		return fmt.Errorf("setting Records is %d, not 16 to a million", s.MaxRecords)
	case s.MaxBodyBytes < 0 || s.MaxBodyBytes > MaxBodyLimit:
		return fmt.Errorf("setting Body is %d, not 0 to %d", s.MaxBodyBytes, MaxBodyLimit)
	}
	return nil
}

// withClockDrift returns a time on this router's clock after which d has surely passed on every clock that drifts by
// no more than ClockDrift.
func (s Settings) withClockDrift(d time.Duration) time.Duration {
	return time.Duration(math.Ceil(float64(d) * (1 + s.ClockDrift) / (1 - s.ClockDrift)))
}
