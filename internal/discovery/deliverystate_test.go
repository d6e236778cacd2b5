package discovery

import (
	"errors"
	"strings"
	"testing"
	"time"

	"hillknot/internal/jsonfields"
)

// After the event at position 4, events are delivered, dropped, requested again or skipped by their position and whether
// they could be read.
func TestDeliveryStateDecide(t *testing.T) {
	const last = 4
	for name, c := range map[string]struct {
		position  int64
		readable  bool
		refetched int64
		want      decision
	}{
		"next event":                                        {position: 5, readable: true, want: deliverEvent},
		"delivered event":                                   {position: 4, readable: true, want: dropDuplicate},
		"delivered event that is unreadable":                {position: 3, want: dropDuplicate},
		"event after a gap":                                 {position: 6, readable: true, want: refetchEvent},
		"unreadable event":                                  {position: 5, want: refetchEvent},
		"unreadable event without a position":               {position: 0, want: refetchEvent},
		"gap that was requested again":                      {position: 6, readable: true, refetched: 5, want: deliverEvent},
		"unreadable event that was requested again":         {position: 5, refetched: 5, want: skipUnreadable},
		"gap after an earlier one that was requested again": {position: 6, readable: true, refetched: 3, want: refetchEvent},
	} {
		t.Run(name, func(t *testing.T) {
			d := deliveryState{last: last, refetched: c.refetched}
			if got := d.decide(c.position, c.readable); got != c.want {
				t.Errorf("decision %d, want %d", got, c.want)
			}
			if c.want == refetchEvent && d.refetched != last+1 {
				t.Errorf("refetched position %d, want %d", d.refetched, last+1)
			}
		})
	}
	if first := (&deliveryState{}); first.decide(41, true) != deliverEvent {
		t.Error("the first event is not delivered at once if its position is not 1")
	}
}

// The error that ends a connection names the event to request again, and why.
func TestReceiveReportsMissingEvent(t *testing.T) {
	w, err := New(newRecorder(), "", testLimits(time.Millisecond), parseObject(t, `{"pos":2}`))
	if err != nil {
		t.Fatal(err)
	}
	var missing *missingEventError
	if err := w.receive(event{position: 4}, nil); !errors.As(err, &missing) || missing.position != 4 || missing.last != 2 {
		t.Errorf("a gap is reported as %v", err)
	}
	w, err = New(newRecorder(), "", testLimits(time.Millisecond), jsonfields.Object{})
	if err != nil {
		t.Fatal(err)
	}
	cause := errors.New("no JSON")
	if err := w.receive(event{position: 1}, cause); !errors.Is(err, cause) || !strings.Contains(err.Error(), "position 1") {
		t.Errorf("an unreadable event is reported as %v", err)
	}
}
