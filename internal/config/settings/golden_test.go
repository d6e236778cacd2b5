package settings

import (
	"reflect"
	"testing"
	"time"

	"hillknot/balancer"
	"hillknot/internal/testutil/golden"
)

// The operators write these settings, and their form does not change with this code. testdata/golden/settings.json has the
// form that commit 86ccf0f reads.
//
// Names of types and fields may change. What must stay are the keys and words of Read.
func TestGoldenSettings(t *testing.T) {
	got, err := Parse(string(golden.Read(t, "settings.json")))
	want := balancer.Settings{
		Topology: balancer.Topology{Zone: "edge", Zones: []string{"hub", "edge"}, RoutersPerZone: []int{1, 3}, Kinds: []string{"box", "mid", "store"}, ParentKind: 1, OriginKind: 2},
		PaceKBps: 2000.5, LinkKBps: []float64{100, 800}, StaticWeights: true, MaxAttempts: 8,
		Capabilities: balancer.Capabilities{Hedging: true, Cancellation: true, DirectAttempts: true, CoalesceFills: true, WatchRequired: true},
		PurgeWindow:  6 * time.Second, MaxRetryAfter: 2 * time.Second,
		CacheSlowStart:  balancer.SlowStartRule{InitialCapacity: 0.2, WarmUpTime: 17 * time.Second, OverloadFactor: 4, OverloadWindow: time.Second},
		ParentSlowStart: balancer.SlowStartRule{InitialCapacity: 0.3, WarmUpTime: 9 * time.Second, OverloadFactor: 5, OverloadWindow: time.Second},
		Classes: []balancer.Class{
			{Name: "pay", LatencyObjective: 300 * time.Millisecond, ObjectiveStretch: 2, Deadline: 3 * time.Second, Idempotency: balancer.IdempotentByKey, DedupScope: balancer.DedupEverywhere, DedupWindow: 7 * time.Second, Weight: 3,
				Write: true, FreshnessLifetime: 20 * time.Second},
			{Name: "page", LatencyObjective: time.Second, Idempotency: balancer.Idempotent, DedupScope: balancer.DedupInZone},
			{Name: "order"}}}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("read as %+v, %v; want %+v", got, err, want)
	}
	golden.Nonzero(t, got.Classes[0])
	nominal, err := Parse(string(golden.Read(t, "nominal.json")))
	if err != nil || !nominal.StaticWeights || nominal.Capabilities.WatchRequired || nominal.MaxRetryAfter != 0 || nominal.Topology.ParentKind != -1 || nominal.Topology.OriginKind != -1 {
		t.Errorf("read as %+v, %v", nominal, err)
	}
}
