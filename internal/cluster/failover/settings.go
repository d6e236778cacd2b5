package failover

import (
	"cmp"
	"fmt"
	"math"
	"time"
)

// Settings configures one router's Coordinator.
type Settings struct {
	Self           string        // name of this router
	Process        uint64        // number of this router's process, unique among its processes and above 0
	Place          string        // of this router; the replica is at another place if a router there is alive; empty: any place
	ClusterSize    int           // number of routers that accept orders, including this one
	Strict         bool          // no router of the cluster sends an order that no replica holds
	LeaseDuration  time.Duration // an owner that sends its replica nothing for this long is considered lost
	ClockDrift     float64       // the most by which a clock may run fast or slow, as a fraction (0.02 is 2 %)
	ReplicaTimeout time.Duration // how long a replica may take to reply before another replica is tried
	ClaimTimeout   time.Duration // how long a claim waits for all replies before the strongest one decides
	Retention      time.Duration // how long a record is held after the order's deadline or its end
	MaxClientWait  time.Duration // the longest time that the client of an order waits
	MaxRecords     int           // maximum number of records held for other routers, and of own ended orders
	MaxBodyBytes   int           // maximum size of the body in a record or in an outcome
}

// MaxBodyLimit is the upper bound of Settings.MaxBodyBytes, in bytes.
const MaxBodyLimit = 16 << 10

// Bounds of the names in Settings, in bytes.
const (
	maxRouterName = 128
	maxPlaceName  = 64
)

// Defaults returns the default settings for one process of the router self in a cluster of clusterSize routers, whose
// clients wait for at most maxClientWait.
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

// Check returns an error that names the first invalid setting and its bounds, or nil.
func (s Settings) Check() error {
	return cmp.Or(s.checkIdentity(), s.checkTimes(), s.checkLimits())
}

func (s Settings) checkIdentity() error {
	switch {
	case s.Self == "" || len(s.Self) > maxRouterName || len(s.Place) > maxPlaceName || s.Process == 0:
		return fmt.Errorf("setting Self is %q, Place %q, Process %d; need names of at most 128 and 64 bytes and a number above 0",
			s.Self, s.Place, s.Process)
	case s.ClusterSize < 2:
		return fmt.Errorf("setting ClusterSize is %d; a replica needs at least 2 routers", s.ClusterSize)
	}
	return nil
}

func (s Settings) checkTimes() error {
	switch {
	case s.LeaseDuration < 100*time.Millisecond || s.LeaseDuration > time.Minute:
		return fmt.Errorf("setting LeaseDuration is %v, not 100 ms to 1 minute", s.LeaseDuration)
	case !(s.ClockDrift >= 0 && s.ClockDrift <= 0.2):
		return fmt.Errorf("setting ClockDrift is %v, not 0 to 0.2", s.ClockDrift)
	case !usableTimeout(s.ReplicaTimeout) || !usableTimeout(s.ClaimTimeout):
		return fmt.Errorf("setting ReplicaTimeout is %v, ClaimTimeout %v, not 10 ms to 10 s", s.ReplicaTimeout, s.ClaimTimeout)
	case s.MaxClientWait <= 0 || s.Retention < s.MaxClientWait || s.Retention > 10*time.Minute:
		return fmt.Errorf("setting Retention is %v, not from the longest wait of a client (%v) to 10 minutes",
			s.Retention, s.MaxClientWait)
	}
	return nil
}

func usableTimeout(d time.Duration) bool { return d >= 10*time.Millisecond && d <= 10*time.Second }

func (s Settings) checkLimits() error {
	switch {
	case s.MaxRecords < 16 || s.MaxRecords > 1<<20:
		return fmt.Errorf("setting MaxRecords is %d, not 16 to 1048576", s.MaxRecords)
	case s.MaxBodyBytes < 0 || s.MaxBodyBytes > MaxBodyLimit:
		return fmt.Errorf("setting MaxBodyBytes is %d, not 0 to %d", s.MaxBodyBytes, MaxBodyLimit)
	}
	return nil
}

// withClockDrift returns a duration on this router's clock that is long enough for d to pass on every clock that drifts
// by at most ClockDrift.
func (s Settings) withClockDrift(d time.Duration) time.Duration {
	return time.Duration(math.Ceil(float64(d) * (1 + s.ClockDrift) / (1 - s.ClockDrift)))
}
