package timeline

import (
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

var sampleEvents = []Event{
	{Node: "n1", Time: 10 * ms, Action: "may said", Subject: "t7", Peer: "n2"},
	{Node: "n2", Time: 9 * ms, Action: "may kept", Subject: "t7", Peer: "n1"}, // the clock of n2 is behind
	{Node: "n1", Time: 12 * ms, Action: "killed", Fault: true},
	{Node: "n2", Time: 400 * ms, Action: "owner lost", Peer: "n1"},
	{Node: "n2", Time: 400 * ms, Action: "taken", Subject: "t8"},
}

// A drawing has effects after their causes, each event in the column of its node, and faults between asterisks.
func TestDrawPlacesEffectsAfterCauses(t *testing.T) {
	const want = `      ms | n1             | n2
     0.0 | may said t7 n2 |
    -1.0 |                | may kept t7 n1
     2.0 | *** killed *** |
   390.0 |                | owner lost n1
`
	if got := Sort(sampleEvents).About("t7").Draw("n1", "n2"); got != want {
		t.Errorf("got:\n%s\nwant:\n%s", got, want)
	}
}

// Check accepts a rule that holds, and its error for a broken rule contains the timeline.
func TestCheckReportsBrokenRules(t *testing.T) {
	timeline := Sort(sampleEvents)
	satisfied := Rule{After: "n1 killed", Then: []string{"n2 owner lost n1", "n2 taken t8"}, Never: []string{"n1 *"}}
	if err := timeline.Check(satisfied); err != nil {
		t.Error(err)
	}
	for _, brokenRule := range []Rule{
		{After: "n3 *"},
		{Then: []string{"n1 killed", "* kept *"}},
		{After: "n1 killed", Never: []string{"* taken *"}},
	} {
		if err := timeline.Check(brokenRule); err == nil || !strings.Contains(err.Error(), "n1") {
			t.Errorf("%+v: got error %v, want one with the timeline", brokenRule, err)
		}
	}
}

// ReadLog skips the lines of a log that are not events.
func TestReadLogSkipsOtherLines(t *testing.T) {
	const log = "not JSON\n" +
		`{"time":"2026-12-02T00:00:00.5Z","level":"DEBUG","msg":"order step","step":"taken","request_id":"t1","peer":""}` + "\n" +
		`{"time":"2026-12-02T00:00:00.6Z","level":"INFO","msg":"members"}` + "\n"
	events, err := ReadLog("n1", "order step", strings.NewReader(log))
	if err != nil || len(events) != 1 || events[0].String() != "n1 taken t1" {
		t.Errorf("%v, %v", events, err)
	}
}
