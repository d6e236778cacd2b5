package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fastjson"

	"hillknot/balancer"
	"hillknot/internal/clock"
	"hillknot/internal/jsonfields"
)

// largeEvent returns an event with a long list. Its strings hold whatever could be mistaken for the end of an instance.
func largeEvent(t *testing.T, rnd *rand.Rand, hosts int) []byte {
	t.Helper()
	odd := []string{"a", `b"c`, `}{`, `],[`, `\`, `\"`, "ö", `"instances":[`}
	var list []map[string]any
	for i := range hosts {
		list = append(list, map[string]any{
			"instanceId":  fmt.Sprint(odd[rnd.IntN(len(odd))], i),
			"hostPort":    "127.0.0.1:1",
			"zone":        odd[rnd.IntN(len(odd))],
			"machineType": "box",
			"lifecycle":   []string{"ready", "draining", "gone"}[rnd.IntN(3)],
			"weight":      rnd.Float64(),
			"startedAtMs": rnd.IntN(100),
		})
	}
	lines, err := json.Marshal(list)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Appendf(nil, `{"pos":%d,"hosts":{"generation":7,"reset":true,"instances":%s}}`, hosts, lines)
}

// A long list gives the same event parsed one instance at a time as in a single pass.
func TestParseLongListMatchesSinglePass(t *testing.T) {
	p := &eventParser{}
	for seed := range uint64(20) {
		text := largeEvent(t, rand.New(rand.NewPCG(seed, 3)), 300)
		if _, _, ok := splitInstances(text); !ok {
			t.Fatal("the event can't be split into instances")
		}
		got, err := p.parse(text)
		want := readEvent(jsonfields.FromValue(fastjson.MustParseBytes(text)))
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Fatalf("seed %d: %v\n%.300s\nwant\n%.300s", seed, err, fmt.Sprint(got), fmt.Sprint(want))
		}
	}
}

// A long list that is truncated or damaged is an error, or gives the same event as in a single pass; nothing panics.
func TestParseDamagedLongListMatchesSinglePass(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 4))
	text := largeEvent(t, rnd, 300)
	for range 2000 {
		bad := append([]byte(nil), text...)
		if rnd.IntN(2) == 0 {
			bad = bad[:rnd.IntN(len(bad))]
		} else {
			bad[rnd.IntN(len(bad))] = `"{}[],:\x`[rnd.IntN(9)]
		}
		got, err := new(eventParser).parse(bad)
		v, singlePassErr := fastjson.ParseBytes(bad)
		if singlePassErr != nil {
			if err == nil {
				t.Fatalf("no error for malformed JSON: %v", singlePassErr)
			}
			continue
		}
		o := jsonfields.FromValue(v)
		want := readEvent(o)
		if (err == nil) != (o.Err() == nil) || err == nil && !reflect.DeepEqual(got, want) {
			t.Fatalf("error %v, in a single pass: %v", err, o.Err())
		}
	}
}

func TestParseEvent(t *testing.T) {
	e, err := new(eventParser).parse([]byte(`{"pos":41,"hosts":{"generation":7,"reset":true,"instances":[{"instanceId":"s-00c41f7a",
		"hostPort":"10.1.0.9:7001","zone":"east","machineType":"std","cell":2,"lifecycle":"draining","weight":4,"startedAtMs":5}]}}`))
	if err != nil || !e.endpoints.complete || len(e.endpoints.updates) != 1 {
		t.Fatalf("event %+v, error %v", e, err)
	}
	if u := e.endpoints.updates[0]; u.ID != "s-00c41f7a" || u.State != balancer.Draining ||
		u.StartStamp != clock.Stamp(5*time.Millisecond) || u.Cell != 2 {
		t.Errorf("endpoint %+v", u)
	}
	e, err = new(eventParser).parse([]byte(`{"pos":43,"expire":{"set":17,"stamp":1764576000480}}`))
	if err != nil || e.kind != eventPurge || e.purge.scope != purgeGroup || e.purge.key != 17 ||
		e.purge.stamp != clock.Stamp(1764576000480*time.Millisecond) {
		t.Errorf("event %+v, error %v", e, err)
	}
	for text, want := range map[string]string{
		`{"pos":1,"hosts":{"instances":[{"instanceId":"a","lifecycle":"odd"}]}}`: "hosts.instances[0].lifecycle",
		`{"pos":1,"expire":{"name":"xyz","stamp":1}}`:                            "expire.name",
		`{"pos":1,"expire":{"set":1}}`:                                           "expire.stamp",
		`{"pos":"x"}`:                                                            "pos",
	} {
		if _, err := new(eventParser).parse([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v, want one that names %q", text, err, want)
		}
	}
}

// An event with very many short fields is unreadable, wherever they are: parsing it took over twenty times the memory of its text. The
// longest list of page caches is read, also in a form that needs a single pass.
func TestEventOfTooManyFieldsIsUnreadable(t *testing.T) {
	fields := strings.Repeat(`"a":1,`, 64_000)
	for name, text := range map[string]string{
		"in the event":    `{` + fields + `"pos":1,"expire":{"set":1,"stamp":5}}`,
		"in an instance":  `{"pos":1,"hosts":{"instances":[{` + fields + `"instanceId":"a","lifecycle":"ready"}]}}`,
		"in the envelope": `{` + fields + `"pos":1,"hosts":{"instances":[{"instanceId":"a","lifecycle":"ready"}]}}`,
	} {
		if _, err := new(eventParser).parse([]byte(text)); !errors.Is(err, errTooManyValues) {
			t.Errorf("%s: error %v, want %v", name, err, errTooManyValues)
		}
	}
	const longest = 3200
	text := largeEvent(t, rand.New(rand.NewPCG(1, 3)), longest)
	text = []byte(strings.Replace(string(text), `"instances":[`, `"instances": [`, 1))
	if _, _, ok := splitInstances(text); ok {
		t.Fatal("the event needs no single pass")
	}
	e, err := new(eventParser).parse(text)
	if err != nil || len(e.endpoints.updates) != longest {
		t.Errorf("%d endpoints, error %v; want %d", len(e.endpoints.updates), err, longest)
	}
}
