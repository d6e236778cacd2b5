package wire

import (
	"encoding/json"
	"time"

	"haremux/brain"
)

// conf is the part of the wire's settings that the module uses; other keys are ignored.
type conf struct {
	Allowed struct {
		MaxAttempts  int
		MayDuplicate bool
		Cancel       bool
	}
	DCs        []string
	Discovery  string
	HostTypes  []string
	Invariants struct {
		ColdFrom, OverloadFactor float64
		ColdUs, FallUs           int64
	}
	Locality string
	Profiles []struct {
		Name                  string
		AimStretch, Worth     float64
		PromiseUs, DeadlineUs int64
		WindowUs              int64
		Group, Repeat         string
	}
	Specifics struct {
		ClassFreshUs             []int64
		ClassWrite               []bool
		Collapses, PassThroughOk bool
		MidKind, StoreKind       *int
		PurgeTakesUs             int64
		PaceKbPerS, ParentFloor  float64
		ParentColdUs             int64
		ParentBreaksAt           float64
		PipeKbPerS               []float64
		InstancesByZone          []int
	}
	Weights string
}

func settings(text string) (brain.Settings, error) {
	var c conf
	if err := json.Unmarshal([]byte(text), &c); err != nil {
		return brain.Settings{}, err
	}
	us := func(v int64) time.Duration { return time.Duration(v) * time.Microsecond }
	kind := func(p *int) int {
		if p == nil {
			return -1
		}
		return *p
	}
	s := brain.Settings{
		Zone: c.Locality, Zones: c.DCs, DirectorsIn: c.Specifics.InstancesByZone,
		Kinds: c.HostTypes, ParentKind: kind(c.Specifics.MidKind), OriginKind: kind(c.Specifics.StoreKind),
		PaceKBps: c.Specifics.PaceKbPerS, LinkKBps: c.Specifics.PipeKbPerS,
		SteadyWeights: c.Weights == "nominal" || c.Weights == "rough",
		MaxAttempts:   c.Allowed.MaxAttempts, SecondCopies: c.Allowed.MayDuplicate,
		Cancel: c.Allowed.Cancel,
		Direct: c.Specifics.PassThroughOk,
		Joins:  c.Specifics.Collapses, Ask: c.Discovery == "ask",
		PurgeDone: us(c.Specifics.PurgeTakesUs),
		Cache: brain.ColdRule{
			Share: c.Invariants.ColdFrom, Warm: us(c.Invariants.ColdUs),
			Multiple: c.Invariants.OverloadFactor, Window: us(c.Invariants.FallUs),
		},
		Parent: brain.ColdRule{
			Share: c.Specifics.ParentFloor, Warm: us(c.Specifics.ParentColdUs),
			Multiple: c.Specifics.ParentBreaksAt, Window: us(c.Invariants.FallUs),
		},
	}
	effects := map[string]brain.Effect{"safe": brain.Safe, "keyed": brain.Keyed}
	groups := map[string]brain.Group{"all": brain.GroupAll, "zone": brain.GroupZone}
	for i, p := range c.Profiles {
		k := brain.Class{
			Name: p.Name, Aim: us(p.PromiseUs), AimStretch: p.AimStretch, Deadline: us(p.DeadlineUs),
			Effect: effects[p.Repeat], Group: groups[p.Group], Window: us(p.WindowUs),
			Worth: p.Worth,
		}
		if i < len(c.Specifics.ClassWrite) {
			k.Write = c.Specifics.ClassWrite[i]
		}
		if i < len(c.Specifics.ClassFreshUs) {
			k.Fresh = us(c.Specifics.ClassFreshUs[i])
		}
		s.Classes = append(s.Classes, k)
	}
	return s, nil
}
