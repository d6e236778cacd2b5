package main

import (
	"bytes"
	"strings"
	"testing"

	"hillknot/balancer"
	"hillknot/internal/simulator"
	"hillknot/internal/testutil/golden"
)

// The operators' drill speaks this with the program, and no release of hillknot changes its form. The files of testdata/golden are
// one input, of two instances with their settings, lists, requests, timers and troubles, and what the program of commit 86ccf0f
// replied.
//
// What has to stay in the code: no name of a type or field, but the texts of package wire (names of lines and of their fields, the
// numbers of statuses, the bits of manner) and the keys and words of package settings. The numbers of balancer.Note reach the code
// as they come (remark), and those of Get.Keep leave it (admit), so the order of the notes counts.
//
// Beside the form the replies hold what the module decides. Whoever changes a decision on purpose records new replies, with
// drill < input.txt, and says so.
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

// The recorded input has every event that the program knows, every status and remark, and the replies have every action.
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

// What the recorded replies lack: the exception of an instance that fails, and a time limit.
func TestGoldenRareActions(t *testing.T) {
	lines := appendActions(nil, nil, simulator.Event{Instance: "director-1", Event: balancer.ClientAborted{ID: 1}}, 1)
	lines = simulator.AppendAction(lines, "director-1", balancer.SendAttempt{ID: 36, Attempt: 4, Endpoint: 5, Timeout: 900_000_000, Source: 7, CachePriority: 3, MaxAge: 1_500_000_000,
		Coalesce: true, CachedOnly: true, Revalidate: true, MayHaveRun: true})
	lines = simulator.AppendAction(lines, "director-1", balancer.Reject{ID: 1 << 51})
	golden.Same(t, "rare.txt", simulator.AppendDone(simulator.AppendException(lines, "director-2", "two\nlines")))
}
