package discovery

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"github.com/valyala/fastjson"

	"hillknot/internal/jsonfields"
)

// largeEvent is an event with a long list, whose texts hold all that could be taken for an end of a line.
func largeEvent(t *testing.T, rnd *rand.Rand, hosts int) []byte {
	t.Helper()
	odd := []string{"a", `b"c`, `}{`, `],[`, `\`, `\"`, "ö", `"instances":[`}
	var list []map[string]any
	for i := range hosts {
		list = append(list, map[string]any{"instanceId": fmt.Sprint(odd[rnd.IntN(len(odd))], i), "hostPort": "127.0.0.1:1", "zone": odd[rnd.IntN(len(odd))],
			"machineType": "box", "lifecycle": []string{"ready", "draining", "gone"}[rnd.IntN(3)], "weight": rnd.Float64(), "startedAtMs": rnd.IntN(100)})
	}
	lines, err := json.Marshal(list)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Appendf(nil, `{"pos":%d,"hosts":{"generation":7,"reset":true,"instances":%s}}`, hosts, lines)
}

// A long list that is parsed line by line is the same as one that is parsed whole.
func TestLongListLineByLine(t *testing.T) {
	p := &parser{}
	for seed := range uint64(20) {
		text := largeEvent(t, rand.New(rand.NewPCG(seed, 3)), 300)
		if _, _, ok := cutInstances(text); !ok {
			t.Fatal("not parsed line by line")
		}
		got, err := p.parse(text)
		want := read(jsonfields.Of(fastjson.MustParseBytes(text)))
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Fatalf("seed %d: %v\n%.300s\nwant\n%.300s", seed, err, fmt.Sprint(got), fmt.Sprint(want))
		}
	}
}

// A long list that is cut, or damaged anywhere, is an error or reads as it does whole; nothing panics.
func TestLongListDamaged(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 4))
	text := largeEvent(t, rnd, 300)
	for range 2000 {
		bad := append([]byte(nil), text...)
		if rnd.IntN(2) == 0 {
			bad = bad[:rnd.IntN(len(bad))]
		} else {
			bad[rnd.IntN(len(bad))] = `"{}[],:\x`[rnd.IntN(9)]
		}
		got, err := new(parser).parse(bad)
		v, wholeErr := fastjson.ParseBytes(bad)
		if wholeErr != nil {
			if err == nil {
				t.Fatalf("read, though it is no JSON: %v", wholeErr)
			}
			continue
		}
		o := jsonfields.Of(v)
		want := read(o)
		if (err == nil) != (o.Err() == nil) || err == nil && !reflect.DeepEqual(got, want) {
			t.Fatalf("%v, whole: %v", err, o.Err())
		}
	}
}
