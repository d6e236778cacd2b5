package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// The offsets of known routers divide a period evenly, in an order that differs between duties. The offsets of routers that
// know no others are distributed over the period.
func TestPhaseOffsetsAreSpreadEvenly(t *testing.T) {
	routers, first := names("r", 0, 9), map[string]bool{}
	for d := range 20 {
		duty, taken := fmt.Sprint("duty", d), map[time.Duration]bool{}
		for _, r := range routers {
			offset := PhaseOffset(r, duty, routers, 9*time.Second)
			if taken[offset] || offset%time.Second != 0 {
				t.Errorf("%s has the offset %v, want a whole number of seconds that no other router has", r, offset)
			}
			if taken[offset] = true; offset == 0 {
				first[r] = true
			}
		}
	}
	if len(first) < 5 {
		t.Errorf("fewer than five routers come first in any duty: %v", first)
	}
	perTenth := [10]int{}
	for _, r := range names("r", 0, 300) {
		perTenth[int(PhaseOffset(r, "x", nil, time.Second)*10/time.Second)]++
	}
	if most := slices.Max(perTenth[:]); most > 50 {
		t.Errorf("of 300 routers that know no others, %d have offsets in the same tenth of the period: %v", most, perTenth)
	}
	if at := NextRun(2500*time.Millisecond, 200*time.Millisecond, time.Second); at != 3200*time.Millisecond {
		t.Errorf("next run at %v, want 3.2s", at)
	}
}

// Waits stay within their bounds, and the waits of many routers after the same number of failures differ.
func TestBackoffStaysBoundedAndSpread(t *testing.T) {
	const shortest, longest, slot = 25 * time.Millisecond, 2 * time.Second, 20 * time.Millisecond
	perSlot := map[time.Duration]int{} // after 8 failures
	for _, r := range names("r", 0, 300) {
		for failures := range 12 {
			wait := Backoff(r, "journal", failures, shortest, longest)
			if wait < shortest || wait > longest {
				t.Fatalf("%s waits %v after %d failures", r, wait, failures)
			}
			if failures == 8 {
				perSlot[wait/slot]++
			}
		}
	}
	for at, n := range perSlot {
		if n > 60 {
			t.Errorf("%d of 300 routers wait about %v", n, at*slot)
		}
	}
}
