package discovery

import (
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fastjson"

	"hillknot/balancer"
	"hillknot/internal/clock"
	"hillknot/internal/core"
	"hillknot/internal/jsonfields"
	"hillknot/internal/testutil/golden"
)

// The operators define the journal, and its form does not change with this code. The files in testdata/golden have this
// form, as commit 86ccf0f reads it.
//
// Names of types and fields may change. What must stay are the keys of parseKnownEvents, readEvent, readEndpointList,
// readPurge and readEndpoint ("entries", "pos", "hosts", "reset", "instances", "instanceId", "hostPort", "machineType",
// "zone", "cell", "weight", "lifecycle", "startedAtMs", "expire", "stamp", "name", "set"), the words of endpointStates
// ("ready", "draining", "gone"), the text instancesKey, and the request of appendWatchRequest.

// goldenEvents are the events of the golden streams and of start.json.
var goldenEvents = []event{
	{position: 41, kind: eventEndpoints, endpoints: endpointList{complete: true, updates: []core.EndpointUpdate{
		{ID: "edge-7", Addr: "127.0.0.1:7001", Kind: "box", Zone: "west", Cell: 3, Weight: 1.5, State: balancer.InService,
			StartStamp: clock.Stamp(1_700_000_000_123 * time.Millisecond)},
		{ID: `odd "}],[{`, Addr: "127.0.0.1:7002", Kind: "mid", Zone: "north", Cell: 4, Weight: 2.5, State: balancer.Draining,
			StartStamp: clock.Stamp(5 * time.Millisecond)},
		{ID: "least", Weight: 1, State: balancer.Removed}}}},
	{position: 42, kind: eventEndpoints, endpoints: endpointList{updates: []core.EndpointUpdate{{
		ID: "edge-8", Addr: "127.0.0.1:7003", Kind: "box", Zone: "west", Cell: 5, Weight: 0.25, State: balancer.Draining,
		StartStamp: clock.Stamp(6 * time.Millisecond)}}}},
	{position: 43, kind: eventPurge, purge: purge{scope: purgeObject, key: 0xfedcba9876543210,
		stamp: clock.Stamp(1_700_000_000_456 * time.Millisecond)}},
	{position: 44, kind: eventPurge, purge: purge{scope: purgeGroup, key: 200, stamp: clock.Stamp(7 * time.Millisecond)}},
	{position: 45},
}

// A golden HTTP response gives the golden events, in one piece or in small ones.
func TestGoldenStream(t *testing.T) {
	for _, name := range []string{"stream.hex", "stream-chunked.hex"} {
		for _, size := range []int{1 << 20, 1, 7} {
			t.Run(fmt.Sprint(name, " in pieces of ", size), func(t *testing.T) {
				var got []event
				var ids []string
				p := &eventParser{}
				s := newResponse(1<<16, func(id, data []byte) error {
					e, err := p.parse(data)
					got, ids = append(got, e), append(ids, string(id))
					return err
				})
				var buf []byte
				for rest := golden.Read(t, name); len(rest) > 0; {
					n := min(size, len(rest))
					buf, rest = append(buf, rest[:n]...), rest[n:]
					used, err := s.consume(buf)
					if err != nil {
						t.Fatal(err)
					}
					buf = buf[used:]
				}
				wantIDs := []string{"41", "42", "43", "44", "45"}
				if !reflect.DeepEqual(got, goldenEvents) || !reflect.DeepEqual(ids, wantIDs) || !s.events.atBoundary() {
					t.Errorf("read %q as %+v, want %+v", ids, got, goldenEvents)
				}
			})
		}
	}
}

// The instances of a list that is too long for a single pass, and the events of a router's configuration, are read
// correctly.
func TestGoldenEvents(t *testing.T) {
	text := golden.Read(t, "list-long.json")
	if len(text) <= maxSinglePass {
		t.Fatalf("%d bytes are parsed in a single pass", len(text))
	}
	e, err := new(eventParser).parse(text)
	if err != nil || e.position != 46 || e.kind != eventEndpoints || !e.endpoints.complete || len(e.endpoints.updates) != 120 {
		t.Fatalf("read %d hosts at position %d, %v", len(e.endpoints.updates), e.position, err)
	}
	for i, h := range e.endpoints.updates {
		want := core.EndpointUpdate{ID: "edge-" + strconv.Itoa(i), Addr: "127.0.0.1:" + strconv.Itoa(7000+i), Kind: "box", Zone: "west",
			Cell: i, Weight: float64(i) + 0.5, StartStamp: clock.Stamp(time.Duration(1_700_000_000_000+i) * time.Millisecond)}
		if h != want {
			t.Errorf("host %+v, want %+v", h, want)
		}
	}
	v, err := fastjson.ParseBytes(golden.Read(t, "start.json"))
	if err != nil {
		t.Fatal(err)
	}
	events, last, err := parseKnownEvents(jsonfields.FromValue(v))
	if err != nil || last != 45 || !reflect.DeepEqual(events, goldenEvents) {
		t.Errorf("read %+v up to %d, %v; want %+v", events, last, err, goldenEvents)
	}
}

// An event is rejected if a required key is renamed: this shows that the code still reads the key under its outer name.
func TestGoldenRenamedKeyIsRejected(t *testing.T) {
	for _, name := range []string{"instanceId", "lifecycle", "stamp"} {
		var errs []error
		for _, text := range strings.Split(string(golden.Read(t, "events.txt")), "\n") {
			_, err := new(eventParser).parse([]byte(strings.Replace(text, `"`+name+`"`, `"renamed"`, 1)))
			errs = append(errs, err)
		}
		if errors.Join(errs...) == nil {
			t.Errorf("no event requires %q", name)
		}
	}
}
