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
	o := jsonfields.Of(v)
	s := Read(o)
	return s, o.Err()
}

// Read reads the settings from an object; keys that the module doesn't use are ignored. An error stays
// with the object.
func Read(o jsonfields.Object) balancer.Settings {
	const us = time.Microsecond
	allowed, rules, spec := o.Object("allowed"), o.Object("invariants"), o.Object("specifics")
	weights := o.Text("weights", "")
	s := balancer.Settings{
		Zone: o.Text("locality", ""), Zones: o.Texts("dcs"), Kinds: o.Texts("hostTypes"),
		ParentKind: int(spec.Int("midKind", -1)), OriginKind: int(spec.Int("storeKind", -1)),
		PaceKBps: spec.Number("paceKbPerS", 0), LinkKBps: spec.Numbers("pipeKbPerS"),
		SteadyWeights: weights == "nominal" || weights == "rough",
		MaxAttempts:   int(allowed.Int("maxAttempts", 0)), SecondCopies: allowed.Flag("mayDuplicate"),
		Cancel: allowed.Flag("cancel"),
		Direct: spec.Flag("passThroughOk"),
		Joins:  spec.Flag("collapses"), Ask: o.Text("discovery", "") == "ask",
		PurgeDone: spec.Span("purgeTakesUs", us, 0),
		Cache: balancer.ColdRule{
			Share: rules.Number("coldFrom", 0), Warm: rules.Span("coldUs", us, 0),
			Multiple: rules.Number("overloadFactor", 0), Window: rules.Span("fallUs", us, 0),
		},
		Parent: balancer.ColdRule{
			Share: spec.Number("parentFloor", 0), Warm: spec.Span("parentColdUs", us, 0),
			Multiple: spec.Number("parentBreaksAt", 0), Window: rules.Span("fallUs", us, 0),
		},
	}
	if allowed.Flag("retryAfter") {
		s.MaxWait = allowed.Span("maxRetryAfterUs", us, 0)
	}
	for _, n := range spec.Ints("instancesByZone") {
		s.DirectorsIn = append(s.DirectorsIn, int(n))
	}
	effects := map[string]balancer.Effect{"safe": balancer.Safe, "keyed": balancer.Keyed}
	groups := map[string]balancer.Group{"all": balancer.GroupAll, "zone": balancer.GroupZone}
	writes, fresh := spec.Flags("classWrite"), spec.Spans("classFreshUs", us)
	for i, p := range o.Objects("profiles") {
		k := balancer.Class{
			Name: p.Text("name", ""), Aim: p.Span("promiseUs", us, 0), AimStretch: p.Number("aimStretch", 0),
			Deadline: p.Span("deadlineUs", us, 0), Window: p.Span("windowUs", us, 0),
			Effect: effects[p.Text("repeat", "")], Group: groups[p.Text("group", "")], Worth: p.Number("worth", 0),
		}
		if i < len(writes) {
			k.Write = writes[i]
		}
		if i < len(fresh) {
			k.Fresh = fresh[i]
		}
		s.Classes = append(s.Classes, k)
	}
	return s
}
