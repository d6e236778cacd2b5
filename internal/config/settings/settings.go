// Package settings reads the operators' settings object into the module's Settings, which is the only
// type that holds them. The simulator's adapter and the router both read it here.
package settings

import (
	"time"

	"github.com/valyala/fastjson"

	"hillknot/balancer"
	"hillknot/internal/jsonfields"
)

// Parse reads the settings from JSON text.
func Parse(text string) (balancer.Settings, error) {
	v, err := fastjson.Parse(text)
	if err != nil {
		return balancer.Settings{}, err
	}
	o := jsonfields.FromValue(v)
	s := Read(o)
	return s, o.Err()
}

// Read reads the settings from an object; keys that the module doesn't use are ignored. An error stays
// with the object.
func Read(o jsonfields.Object) balancer.Settings {
	const us = time.Microsecond
	allowed, rules, spec := o.Object("allowed"), o.Object("invariants"), o.Object("specifics")
	weights := o.String("weights", "")
	s := balancer.Settings{
		Topology: balancer.Topology{
			Zone: o.String("locality", ""), Zones: o.Strings("dcs"), Kinds: o.Strings("hostTypes"),
			ParentKind: int(spec.Int("midKind", -1)), OriginKind: int(spec.Int("storeKind", -1)),
		},
		Capabilities: balancer.Capabilities{
			Hedging:        allowed.Bool("mayDuplicate"),
			Cancellation:   allowed.Bool("cancel"),
			DirectAttempts: spec.Bool("passThroughOk"),
			CoalesceFills:  spec.Bool("collapses"),
			WatchRequired:  o.String("discovery", "") == "ask",
		},
		PaceKBps: spec.Number("paceKbPerS", 0), LinkKBps: spec.Numbers("pipeKbPerS"),
		StaticWeights: weights == "nominal" || weights == "rough",
		MaxAttempts:   int(allowed.Int("maxAttempts", 0)),
		PurgeWindow:   spec.Duration("purgeTakesUs", us, 0),
		CacheSlowStart: balancer.SlowStartRule{
			InitialCapacity: rules.Number("coldFrom", 0), WarmUpTime: rules.Duration("coldUs", us, 0),
			OverloadFactor: rules.Number("overloadFactor", 0), OverloadWindow: rules.Duration("fallUs", us, 0),
		},
		ParentSlowStart: balancer.SlowStartRule{
			InitialCapacity: spec.Number("parentFloor", 0), WarmUpTime: spec.Duration("parentColdUs", us, 0),
			OverloadFactor: spec.Number("parentBreaksAt", 0), OverloadWindow: rules.Duration("fallUs", us, 0),
		},
	}
	if allowed.Bool("retryAfter") {
		s.MaxRetryAfter = allowed.Duration("maxRetryAfterUs", us, 0)
	}
	for _, n := range spec.Ints("instancesByZone") {
		s.Topology.RoutersPerZone = append(s.Topology.RoutersPerZone, int(n))
	}
	effects := map[string]balancer.Idempotency{"safe": balancer.Idempotent, "keyed": balancer.IdempotentByKey}
	groups := map[string]balancer.DedupScope{"all": balancer.DedupEverywhere, "zone": balancer.DedupInZone}
	writes, fresh := spec.Bools("classWrite"), spec.Durations("classFreshUs", us)
	for i, p := range o.Objects("profiles") {
		k := balancer.Class{
			Name: p.String("name", ""), LatencyObjective: p.Duration("promiseUs", us, 0), ObjectiveStretch: p.Number("aimStretch", 0),
			Deadline: p.Duration("deadlineUs", us, 0), DedupWindow: p.Duration("windowUs", us, 0),
			Idempotency: effects[p.String("repeat", "")], DedupScope: groups[p.String("group", "")], Weight: p.Number("worth", 0),
		}
		if i < len(writes) {
			k.Write = writes[i]
		}
		if i < len(fresh) {
			k.FreshnessLifetime = fresh[i]
		}
		s.Classes = append(s.Classes, k)
	}
	return s
}
