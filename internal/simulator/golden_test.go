package simulator

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"hillknot/balancer"
	"hillknot/internal/testutil/golden"
)

// The operators' simulator writes these lines, and their form does not change with this code. testdata/golden/batch.txt
// has the form that commit 86ccf0f reads, with every field that the code reads. Whole inputs and the replies to them are
// in cmd/hillknot-simulator/testdata/golden.
//
// Names of types and fields may change. What must stay are the names of lines and of their fields, and the words and
// numbers of states, forms and statuses.
func TestGoldenBatch(t *testing.T) {
	b, err := NewReader(bytes.NewReader(golden.Read(t, "batch.txt"))).ReadBatch()
	if err != nil {
		t.Fatal(err)
	}
	const us = time.Microsecond
	want := []balancer.Event{
		balancer.EndpointUpdate{Complete: true, Endpoints: []balancer.Endpoint{
			{ID: 51530247, Kind: "box", Zone: "edge", Cell: 2, Weight: 1.5, StartedAt: 61 * us, State: balancer.Draining},
			{ID: 7, State: balancer.Removed}}},
		balancer.Request{ID: 36, Class: "a", Object: 0x91f03b7c55d20a64, Part: 3, Group: 11, Remaining: 240 * time.Millisecond, SizeKB: 640.5, Write: true, Retry: true},
		balancer.Purge{Object: 0x91f03b7c55d20a64, Age: 85 * time.Millisecond},
		balancer.Purge{ByGroup: true, Group: 12, Age: 86 * time.Millisecond},
		balancer.Outcome{ID: 36, Attempt: 4, Endpoint: 51530247, Status: balancer.Rejected, Elapsed: 18500 * us, SourceWait: 900 * us, Answered: true, Detail: balancer.OriginFailed},
		balancer.ResponseStarted{ID: 37, Attempt: 5, Endpoint: 8},
		balancer.ClientAborted{ID: 38},
		balancer.Timer{Token: 77},
	}
	if b.Now != 8412250*us || len(b.Events) != len(want) {
		t.Fatalf("%d events at %v", len(b.Events), b.Now)
	}
	for i, w := range want {
		if got := b.Events[i]; got.Instance != "director-3" || !reflect.DeepEqual(got.Event, w) {
			t.Errorf("event %d: %#v of %q, want %#v", i, got.Event, got.Instance, w)
		}
	}
	golden.Nonzero(t, want[1])
	golden.Nonzero(t, want[4])
	golden.Nonzero(t, want[5])
}
