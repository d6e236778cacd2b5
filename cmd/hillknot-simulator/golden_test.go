package main

import (
	"bytes"
	"strings"
	"testing"

	"hillknot/balancer"
	"hillknot/internal/simulator"
	"hillknot/internal/testutil/golden"
)

// The operators' drill exchanges these lines with the program, and no release of hillknot may change their form. The files in
// testdata/golden are one input, for two instances with their settings, lists, requests, timers and faults, and the replies of
// the program of commit 86ccf0f.
//
// Names of Go types and fields may change. The texts of package simulator (names of lines and of their fields, the numbers of
// statuses, the bits of manner) and the keys and words of package settings must stay. The numbers of balancer.Detail are read as
// they arrive (remark), and those of SendAttempt.CachePriority are written as they are (admit), so the order of the constants of
// Detail must stay too.
//
// The replies also depend on the decisions of the module. A change that alters a decision on purpose must record new replies,
// with hillknot-simulator < input.txt, and say so.
func TestGoldenReplies(t *testing.T) {
	var out bytes.Buffer
	if err := run(bytes.NewReader(golden.Read(t, "input.txt")), &out); err != nil {
		t.Fatal(err)
	}
	got, want := strings.SplitAfter(out.String(), "\n"), strings.SplitAfter(string(golden.Read(t, "replies.txt")), "\n")
	for i := range min(len(got), len(want)) {
		if got[i] != want[i] {
			t.Fatalf("reply line %d: got %q, want %q", i+1, got[i], want[i])
		}
	}
	if len(got) != len(want) {
		t.Errorf("%d lines replied, want %d", len(got), len(want))
	}
}

// The recorded input contains every event that the program knows, every status and every remark. The recorded replies contain
// every action.
func TestGoldenCoversEveryEventAndAction(t *testing.T) {
	input, replies := string(golden.Read(t, "input.txt")), string(golden.Read(t, "replies.txt"))
	for _, word := range []string{"CLOCK\t", "END\n", "SHEET\t", "ITEM\t", "CREATE\t", "HALT\t", "form=FULL", "form=SAVED", "form=INCREMENTAL", "form=FAILED", "NEW_REQUEST\t",
		"WITHDRAWN_COPY\ti=director-1\tfile=", "WITHDRAWN_COPY\ti=director-2\tsetNo=", "RESOLVED\t", "CHECKED\t", "GONE\t", "HEADERS\t", "REMINDER\t", "NOTE_FROM\t",
		"state=in_service", "state=terminating", "state=terminated", "how=200", "how=500", "how=503", "how=504", "how=502", "how=598", "how=499", "how=410", "how=404",
		"remark=1\t", "remark=2\t", "remark=3\t", "remark=4\t", "remark=5\t", "remark=6\t", "remark=7\t", "remark=8\t", "remark=9\t", "remark=10\t"} {
		if !strings.Contains(input, word) {
			t.Errorf("no %q in the input", word)
		}
	}
	for _, word := range []string{"LOOK_AND_FILL\t", "SAY_NO\t", "END_FAILED\t", "ABANDON\t", "OBSERVE\t", "SCHEDULE\t", "FINISHED\n", "admit=1", "admit=2", "ageSpanUs=", "stayAwayUs=",
		"manner=1\n", "manner=3\n", "manner=8\n", "manner=9\n", "manner=11\n"} {
		if !strings.Contains(replies, word) {
			t.Errorf("no %q in the replies", word)
		}
	}
}

// Checks the output that the recorded replies lack: the exception of an instance that panics, and an attempt with a timeout.
func TestGoldenRareActions(t *testing.T) {
	lines := appendActions(nil, nil, simulator.Event{Instance: "director-1", Event: balancer.ClientAborted{ID: 1}}, 1)
	lines = simulator.AppendAction(lines, "director-1", balancer.SendAttempt{ID: 36, Attempt: 4, Endpoint: 5, Timeout: 900_000_000, Source: 7, CachePriority: 3, MaxAge: 1_500_000_000,
		Coalesce: true, CachedOnly: true, Revalidate: true, MayHaveRun: true})
	lines = simulator.AppendAction(lines, "director-1", balancer.Reject{ID: 1 << 51})
	golden.Same(t, "rare.txt", simulator.AppendDone(simulator.AppendException(lines, "director-2", "two\nlines")))
}
