package handover

import (
	"errors"
	"math"
	"reflect"
	"testing"

	"hillknot/balancer"
	"hillknot/internal/testutil/golden"
)

// A process takes over from a process of another release, and reads what that one wrote. The files of testdata/golden
// were written at commit 86ccf0f.
//
// The encoding does not depend on the names of types or fields. It depends on the constants kindTake, kindAt, kindReady,
// kindState and version, the keys in encode ("pos", "linkRoom", "floor", "purges", "members", "loads", "objects",
// "classes", "name", "work"), and the order of the numbers in the rows: purges {ByGroup, ID, PurgedAt}, members {ID,
// StartedAt, WarmUpBudget, MissRate, ConsecutiveFailures, Ejected, NextProbe, PenalizedAt, Penalty}, loads {Rate, Peak,
// PeakCapacity, UpdatedAt}, objects {Object, Part, RequestCount, ServedAt, ReplicatedAt, CachedAtHome, ServiceTime}.
// The index in Snapshot.Loads is the number of a role in package balancer, so that the order of the roles matters too.

var goldenState = State{DiscoveryPosition: 4_100_000_000, Snapshot: balancer.Snapshot{LinkLimit: 2.5, PurgeFloor: 7,
	Purges: []balancer.PurgeSnapshot{{ByGroup: true, ID: 11, PurgedAt: 9}, {ID: 1<<64 - 1, PurgedAt: 10}},
	Endpoints: []balancer.EndpointSnapshot{{ID: 1<<64 - 2, StartedAt: 3, WarmUpBudget: 0.25, MissRate: 0.5,
		ConsecutiveFailures: 2, Ejected: true, NextProbe: 4, PenalizedAt: 5, Penalty: 0.75},
		{ID: 12, StartedAt: 13, WarmUpBudget: 0.125, MissRate: 0.375,
			ConsecutiveFailures: 14, NextProbe: 15, PenalizedAt: 16, Penalty: 0.625}},
	Loads: []balancer.LoadSnapshot{{Rate: 1, Peak: 2, PeakCapacity: 3, UpdatedAt: 4},
		{Rate: 1.5, Peak: 2.5, PeakCapacity: 3.5, UpdatedAt: 5}},
	Classes: []balancer.ClassSnapshot{{Name: `a"b`, ServiceTime: 0.125}, {Name: "page", ServiceTime: 0.0625}},
	Objects: []balancer.ObjectSnapshot{{Object: 1 << 63, Part: 2, RequestCount: 3, ServedAt: 4, ReplicatedAt: 5,
		CachedAtHome: true, ServiceTime: 0.5},
		{Object: 6, Part: 7, RequestCount: 8, ServedAt: 9, ReplicatedAt: 10, ServiceTime: 0.25}}}}

func TestGoldenState(t *testing.T) {
	for name, want := range map[string]State{"state.json": goldenState, "state-empty.json": {}} {
		t.Run(name, func(t *testing.T) {
			golden.Same(t, name, encode(want))
			got, err := decode(golden.Read(t, name))
			if err != nil || !reflect.DeepEqual(got, want) {
				t.Errorf("read as %+v, %v; want %+v", got, err, want)
			}
		})
	}
	filled := goldenState // one row of each kind, with every field set
	filled.Snapshot.Purges = filled.Snapshot.Purges[:1]
	filled.Snapshot.Endpoints = filled.Snapshot.Endpoints[:1]
	filled.Snapshot.Objects = filled.Snapshot.Objects[:1]
	filled.RequestIDs = []string{"00000000000000aa"} // not in the files: the releases that wrote them had no such key
	golden.Nonzero(t, filled)
}

func TestGoldenMessages(t *testing.T) {
	for name, c := range map[string]struct{ kind, body string }{
		"take.txt":  {kindTake, ""},
		"at.txt":    {kindAt, "4100000000"},
		"ready.txt": {kindReady, ""},
		"state.txt": {kindState, string(encode(goldenState))},
	} {
		t.Run(name, func(t *testing.T) {
			golden.Same(t, name, appendMessage(nil, c.kind, []byte(c.body)))
			text := golden.Read(t, name)
			m, progress, err := parseMessage(text, math.MaxInt32)
			if err != nil || progress.consumed != len(text) ||
				string(m.kind) != c.kind || m.version != 2 || string(m.body) != c.body {
				t.Errorf("read as %q %d %q, %d bytes, %v", m.kind, m.version, m.body, progress.consumed, err)
			}
		})
	}
}

// A successor accepts a predecessor's answers of its own version. Both sides reject messages of another version, as
// nothing may be taken over between different versions.
func TestGoldenVersions(t *testing.T) {
	p := newPredecessor(testLimits)
	text := append(golden.Read(t, "at.txt"), golden.Read(t, "state.txt")...)
	if used, _, err := p.Consume(text); err != nil || used != len(text) || string(<-p.positions) != "4100000000" {
		t.Errorf("%d of %d bytes consumed, %v", used, len(text), err)
	}
	if s, err := decode(<-p.states); err != nil || !reflect.DeepEqual(s, goldenState) {
		t.Errorf("state %+v, %v", s, err)
	}
	for _, encoded := range []string{"AT 1 2\n41", "AT 3 2\n41", "STATE 1 2\n{}"} {
		if _, _, err := newPredecessor(testLimits).Consume([]byte(encoded)); !errors.Is(err, errMalformed) {
			t.Errorf("%q: %v, want %v", encoded, err, errMalformed)
		}
	}
	for _, encoded := range []string{"TAKE 1 0\n", "TAKE 3 0\n"} {
		if _, _, err := (&successor{}).Consume([]byte(encoded)); !errors.Is(err, errMalformed) {
			t.Errorf("%q: %v, want %v", encoded, err, errMalformed)
		}
	}
}
