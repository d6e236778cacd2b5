package balancer

import (
	"testing"
	"time"
)

// The idempotency rule at its edges: each kind of class, each deduplication scope, and the end of the window.
func TestRepeatRuleVerdicts(t *testing.T) {
	const window = 2 * sec
	ranAt := Placement{Zone: "edge", Cell: 1}
	sameCell, sameZone, otherZone := ranAt, Placement{Zone: "edge", Cell: 2}, Placement{Zone: "hub", Cell: 1}
	keyed := func(scope DedupScope) RepeatRule {
		return RepeatRule{Idempotency: IdempotentByKey, DedupScope: scope, DedupWindow: window}
	}
	for _, test := range []struct {
		name  string
		rule  RepeatRule
		at    Placement
		after time.Duration
		want  RepeatVerdict
	}{
		{"the zero rule", RepeatRule{}, sameCell, 0, EffectNotRepeatable},
		{"not idempotent", RepeatRule{Idempotency: NotIdempotent, DedupScope: DedupEverywhere, DedupWindow: window}, sameCell, 0,
			EffectNotRepeatable},
		{"idempotent, anywhere and late", RepeatRule{Idempotency: Idempotent}, otherZone, 100 * window, RepeatHarmless},
		{"cell, same cell", keyed(DedupInCell), sameCell, 0, RepeatDeduplicated},
		{"cell, same zone", keyed(DedupInCell), sameZone, 0, OutsideDedupScope},
		{"cell, same number in another zone", keyed(DedupInCell), otherZone, 0, OutsideDedupScope},
		{"zone, same zone", keyed(DedupInZone), sameZone, 0, RepeatDeduplicated},
		{"zone, another zone", keyed(DedupInZone), otherZone, 0, OutsideDedupScope},
		{"everywhere", keyed(DedupEverywhere), otherZone, 0, RepeatDeduplicated},
		{"at the end of the window", keyed(DedupEverywhere), sameCell, window - 1, RepeatDeduplicated},
		{"after the window", keyed(DedupEverywhere), sameCell, window, DedupWindowOver},
	} {
		earlier := Execution{Placement: ranAt, SentAt: 100 * sec}
		if got := test.rule.Check(earlier, test.at, earlier.SentAt+test.after); got != test.want {
			t.Errorf("%s: %s, want %s", test.name, got, test.want)
		}
	}
}
