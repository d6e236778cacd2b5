package discovery

import (
	"errors"
	"strings"
	"testing"
	"time"

	"hillknot/internal/jsonfields"
)

// What is delivered, dropped, requested again and skipped, after the event at position 4.
func TestEventLogDecides(t *testing.T) {
	const last = 4
	for name, c := range map[string]struct {
		position  int64
		readable  bool
		refetched int64
		want      decision
	}{
		"the next event":                            {position: 5, readable: true, want: deliverEvent},
		"an event that was delivered":               {position: 4, readable: true, want: dropDuplicate},
		"one that was delivered, and is unreadable": {position: 3, want: dropDuplicate},
		"an event behind a gap":                     {position: 6, readable: true, want: refetchEvent},
		"an unreadable event":                       {position: 5, want: refetchEvent},
		"an unreadable event without a position":    {position: 0, want: refetchEvent},
		"a gap that is there again":                 {position: 6, readable: true, refetched: 5, want: deliverEvent},
		"an event that is unreadable again":         {position: 5, refetched: 5, want: skipUnreadable},
		"a gap after an earlier one":                {position: 6, readable: true, refetched: 3, want: refetchEvent},
	} {
		t.Run(name, func(t *testing.T) {
			l := eventLog{last: last, refetched: c.refetched}
			if got := l.decide(c.position, c.readable); got != c.want {
				t.Errorf("decision %d, want %d", got, c.want)
			}
			if c.want == refetchEvent && l.refetched != last+1 {
				t.Errorf("notes that %d is requested again, want %d", l.refetched, last+1)
			}
		})
	}
	if first := (&eventLog{}); first.decide(41, true) != deliverEvent {
		t.Error("the first event is not delivered")
	}
}

// The error that ends a connection says which event is to come again, and why.
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
