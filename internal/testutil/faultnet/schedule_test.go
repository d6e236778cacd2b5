package faultnet

import (
	"fmt"
	"testing"
	"time"
)

// The same seed gives the same schedule. A schedule targets only processes that exist, and at most 2 of the 5, and ends with
// Healed. Over 50 seeds, every fault occurs.
func TestScheduleIsReproducibleAndEndsHealed(t *testing.T) {
	drawn := map[Fault]bool{}
	for seed := range uint64(50) {
		first, second := Schedule(seed, 5, 20*time.Second, time.Second), Schedule(seed, 5, 20*time.Second, time.Second)
		if fmt.Sprint(first) != fmt.Sprint(second) || first[len(first)-1].Fault != Healed {
			t.Fatalf("seed %d: two schedules differ or do not end with Healed:\n%v\n%v", seed, first, second)
		}
		for _, step := range first {
			drawn[step.Fault] = true
			for _, target := range step.Targets {
				if target < 0 || target > 4 || len(step.Targets) > 2 {
					t.Errorf("seed %d: invalid targets: %v", seed, step)
				}
			}
		}
	}
	if len(drawn) != int(faultCount) {
		t.Errorf("got only the faults %v, want all", drawn)
	}
}
