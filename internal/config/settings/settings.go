// Package settings reads the operators' settings object into balancer.Settings, which is the only type that holds them.
// The router and the simulator's adapter both use it.
package settings

import (
	"time"

	"github.com/valyala/fastjson"

	"hillknot/balancer"
	"hillknot/internal/jsonfields"
)

// Parse reads the settings from JSON text. An error names the faulty keys, or is one of the JSON parser.
func Parse(text string) (balancer.Settings, error) {
	v, err := fastjson.Parse(text)
	if err != nil {
		return balancer.Settings{}, err
	}
	o := jsonfields.FromValue(v)
	s := Read(o)
	return s, o.Err()
}

// Read reads the settings from an object, which keeps the errors. Keys that package balancer does not use are ignored.
func Read(o jsonfields.Object) balancer.Settings {
	const us = time.Microsecond
	allowed, rules, specifics := o.Object("allowed"), o.Object("invariants"), o.Object("specifics")
	weights := o.String("weights", "")
	s := balancer.Settings{
		Topology: balancer.Topology{
			Zone: o.String("locality", ""), Zones: o.Strings("dcs"), Kinds: o.Strings("hostTypes"),
			ParentKind: int(specifics.Int("midKind", -1)), OriginKind: int(specifics.Int("storeKind", -1)),
		},
		Capabilities: balancer.Capabilities{
			Hedging:        allowed.Bool("mayDuplicate"),
			Cancellation:   allowed.Bool("cancel"),
			DirectAttempts: specifics.Bool("passThroughOk"),
			CoalesceFills:  specifics.Bool("collapses"),
			WatchRequired:  o.String("discovery", "") == "ask",
		},
		PaceKBps: specifics.Number("paceKbPerS", 0), LinkKBps: specifics.Numbers("pipeKbPerS"),
		StaticWeights: weights == "nominal" || weights == "rough",
		MaxAttempts:   int(allowed.Int("maxAttempts", 0)),
		PurgeWindow:   specifics.Duration("purgeTakesUs", us, 0),
		CacheSlowStart: balancer.SlowStartRule{
			InitialCapacity: rules.Number("coldFrom", 0), WarmUpTime: rules.Duration("coldUs", us, 0),
			OverloadFactor: rules.Number("overloadFactor", 0), OverloadWindow: rules.Duration("fallUs", us, 0),
		},
		ParentSlowStart: balancer.SlowStartRule{
			InitialCapacity: specifics.Number("parentFloor", 0), WarmUpTime: specifics.Duration("parentColdUs", us, 0),
			OverloadFactor: specifics.Number("parentBreaksAt", 0), OverloadWindow: rules.Duration("fallUs", us, 0),
		},
	}
	if allowed.Bool("retryAfter") {
		s.MaxRetryAfter = allowed.Duration("maxRetryAfterUs", us, 0)
	}
	for _, n := range specifics.Ints("instancesByZone") {
		s.Topology.RoutersPerZone = append(s.Topology.RoutersPerZone, int(n))
	}
	idempotencies := map[string]balancer.Idempotency{"safe": balancer.Idempotent, "keyed": balancer.IdempotentByKey}
	dedupScopes := map[string]balancer.DedupScope{"all": balancer.DedupEverywhere, "zone": balancer.DedupInZone}
	writes, fresh := specifics.Bools("classWrite"), specifics.Durations("classFreshUs", us)
	for i, profile := range o.Objects("profiles") {
		class := balancer.Class{
			Name:             profile.String("name", ""),
			LatencyObjective: profile.Duration("promiseUs", us, 0), ObjectiveStretch: profile.Number("aimStretch", 0),
			Deadline: profile.Duration("deadlineUs", us, 0), DedupWindow: profile.Duration("windowUs", us, 0),
			Idempotency: idempotencies[profile.String("repeat", "")],
			DedupScope:  dedupScopes[profile.String("group", "")], Weight: profile.Number("worth", 0),
		}
		if i < len(writes) {
			class.Write = writes[i]
		}
		if i < len(fresh) {
			class.FreshnessLifetime = fresh[i]
		}
		s.Classes = append(s.Classes, class)
	}
	return s
}
