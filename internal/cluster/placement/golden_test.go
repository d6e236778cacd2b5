package placement

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"hillknot/internal/testutil/golden"
)

// The choices of routers of different releases must add up, so each release must make the same choices. The file of
// testdata/golden was written at commit 86ccf0f.
//
// The choices depend on no Go names, but on the salts of score ("subset", "bound", "turn", "start", "backoff"), the duty
// "ramp NAME" of JoinedWarmUp, and the duties that callers pass ("meet" in membership, "keeper of NAME" in failover,
// "borrow" and "try NAME" in state).
func TestGoldenChoices(t *testing.T) {
	routers := []string{"r1", "r2", "r3", "ünion"}
	endpoints := []string{"edge-1", "edge-2", "edge-3", "edge-4", "edge-5", "edge-6"}
	var text strings.Builder
	for _, salt := range []string{"subset", "bound", "turn", "start", "backoff", ""} {
		fmt.Fprintf(&text, "score %q %.15f\n", salt, score("r1", "edge-1", salt))
	}
	fmt.Fprintln(&text, "subsets", Subsets(routers, endpoints, 3), SubsetSize(4, 6, 2), SubsetOf("r2", routers, endpoints, 2))
	for _, duty := range []string{"keeper of r1", "meet", "ramp edge-1"} {
		fmt.Fprintln(&text, duty, "first", Assign(duty, routers),
			"start", StartIndex("r1", duty, 1000),
			"turn", PhaseOffset("r2", duty, routers, time.Second),
			"alone", PhaseOffset("r2", duty, nil, time.Second).Round(time.Microsecond),
			"backoff", Backoff("r1", duty, 5, time.Second, time.Hour).Round(time.Millisecond))
	}
	for _, r := range routers {
		for age := range 5 {
			fmt.Fprint(&text, " ", JoinedWarmUp(r, "edge-1", routers, time.Duration(age)*time.Second, 4*time.Second),
				JoinedWarmUp(r, "edge-1", nil, time.Duration(age)*time.Second, 4*time.Second))
		}
		fmt.Fprintln(&text)
	}
	golden.Same(t, "choices.txt", []byte(text.String()))
}
