package faultnet

import (
	"fmt"
	"testing"
	"time"
)

// A schedule is the same from the same seed, affects only processes that exist, ends healed, and draws every fault.
func TestSchedule(t *testing.T) {
	drawn := map[Fault]bool{}
	for seed := range uint64(50) {
		first, second := Schedule(seed, 5, 20*time.Second, time.Second), Schedule(seed, 5, 20*time.Second, time.Second)
		if fmt.Sprint(first) != fmt.Sprint(second) || first[len(first)-1].Fault != Healed {
			t.Fatalf("seed %d: %v, then %v", seed, first, second)
		}
		for _, step := range first {
			drawn[step.Fault] = true
			for _, target := range step.Targets {
				if target < 0 || target > 4 || len(step.Targets) > 2 {
					t.Errorf("seed %d: %v", seed, step)
				}
			}
		}
	}
	if len(drawn) != int(faultCount) {
		t.Errorf("only these faults were drawn: %v", drawn)
	}
}
