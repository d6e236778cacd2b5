package config

import (
	"fmt"
	"time"

	"hillknot/internal/jsonfields"
)

// Failover configures how orders (requests that are not idempotent) survive the loss of their router.
type Failover struct {
	Enabled        bool
	Strict         bool          // an order is rejected if no other router has a record of it
	LeaseDuration  time.Duration // duration of the lease under which a router runs its orders
	ReplicaTimeout time.Duration // for another router to store a record of an order
	ClaimTimeout   time.Duration // for the other routers to answer a claim
	Retention      time.Duration // how long records and outcomes are kept
	MaxRecords     int           // maximum of records that a router keeps for other routers
	MaxBodyBytes   int           // records leave out longer bodies
}

const (
	maxFailoverRecords   = 1 << 20
	maxFailoverBodyBytes = 16 << 10
)

// readFailover reads the block takeover. Without it orders do not survive the loss of their router.
func readFailover(cluster jsonfields.Object, c Cluster) Failover {
	if !cluster.Has("takeover") {
		return Failover{}
	}
	o := cluster.Object("takeover")
	f := Failover{
		Enabled:        true,
		Strict:         true,
		LeaseDuration:  o.Duration("lease_ms", ms, 300*ms),
		ReplicaTimeout: o.Duration("wait_ms", ms, 250*ms),
		ClaimTimeout:   o.Duration("claim_ms", ms, 250*ms),
		Retention:      o.Duration("keep_ms", ms, 10*time.Second),
		MaxRecords:     o.Count("records", 4096, 16),
		MaxBodyBytes:   o.Count("body_bytes", 4<<10, 0),
	}
	if o.Has("strict") {
		f.Strict = o.Bool("strict")
	}
	f.validate(o)
	if c.State.Guest {
		cluster.Fail("takeover", "can't be combined with guest: every router that takes orders must be counted in size")
	}
	if c.State.ClusterSize < 2 {
		cluster.Fail("size", "is 1: with takeover, another router must keep records of the orders")
	}
	return f
}

// validate reports the values that are out of range.
func (f Failover) validate(o jsonfields.Object) {
	for _, c := range []struct {
		key             string
		value           time.Duration
		lowest, highest time.Duration
	}{
		{"lease_ms", f.LeaseDuration, 100 * ms, time.Minute},
		{"wait_ms", f.ReplicaTimeout, 10 * ms, 10 * time.Second},
		{"claim_ms", f.ClaimTimeout, 10 * ms, 10 * time.Second},
		{"keep_ms", f.Retention, time.Second, 10 * time.Minute},
	} {
		if c.value < c.lowest || c.value > c.highest {
			o.Fail(c.key, fmt.Sprintf("is out of range (%v to %v)", c.lowest, c.highest))
		}
	}
	if f.MaxRecords > maxFailoverRecords {
		o.Fail("records", "is above 1048576")
	}
	if f.MaxBodyBytes > maxFailoverBodyBytes {
		o.Fail("body_bytes", "is above 16384")
	}
}
