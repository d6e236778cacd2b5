package simulator

import (
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"hillknot/balancer"
)

const sampleSettings = `{"allowed":{"maxAttempts":8,"probes":true,"cancel":true},"dcs":["hub","edge"],"discovery":"push",` +
	`"hostTypes":["box","mid","store"],"invariants":{"answerSlackUs":8000,"drainGraceUs":500000,"coldFrom":0.2,` +
	`"coldUs":17000000,"fallUs":1000000,"overloadFactor":4},"locality":"edge","profiles":[{"name":"a",` +
	`"repeat":"keyed","group":"all","windowUs":6000000,"promiseUs":300000,"deadlineUs":3000000,"worth":3}],` +
	`"rank":1,"replicasOfMe":3,"specifics":{"midKind":1,"storeKind":2,"classWrite":[true],"classFreshUs":[20000000],` +
	`"peersFill":"location","noticeTimeUs":300000,"purgeTakesUs":6000000,"someNewKey":[1,2]},"weights":"rough"}`

func readBatch(t *testing.T, text string) (*Batch, error) {
	t.Helper()
	return NewReader(strings.NewReader(text)).ReadBatch()
}

func TestReadBatchDecodesEveryLine(t *testing.T) {
	b, err := readBatch(t, "CLOCK\tsimTimeUs=8412250\n"+
		"CREATE\ti=director-3\tnonce64=18446744073709551615\tconf="+sampleSettings+"\n"+
		"SHEET\trosterId=0\tlines=1\n"+
		"ITEM\tnode=51530247\tflavor=box\tcapacityHint=1.5\tstripe=2\thall=edge\tstate=in_service\tstartTimeUs=61\n"+
		"REGISTRY\ti=director-3\tform=SAVED\tindex=41\trosterId=0\n"+
		"SHEET\trosterId=0\tlines=0\n"+
		"REGISTRY\ti=director-3\tform=INCREMENTAL\tindex=42\trosterId=0\n"+
		"REGISTRY\ti=director-3\tform=FAILED\tindex=42\trosterId=9\n"+
		"NEW_REQUEST\ti=director-3\tid=36\tgrade=a\tfile=91f03b7c55d20a64\tremainingUs=240000\tkbytes=640\tgroup=11\trangeNo=3\tisRetry=1\tnew=x\n"+
		"WITHDRAWN_COPY\ti=director-3\tsetNo=11\tageSpanUs=85000\n"+
		"RESOLVED\ti=director-3\tid=36\tcopy=1\tnode=51530247\thow=503\ttookUs=18500\tremark=9\tserverStats=x0:0.4\n"+
		"CHECKED\ti=director-3\ttookUs=1400\tnode=51530247\thow=502\n"+
		"NOTE_FROM\ti=director-3\toriginPeer=2\tcontent=aGkgNw==\n"+
		"GONE\ti=director-3\tid=36\n"+
		"HEADERS\ti=director-3\tid=36\tnode=5\ttookUs=1\n"+
		"REMINDER\ti=director-3\tcookie=77\n"+
		"HALT\ti=director-3\nEND\n")
	if err != nil {
		t.Fatal(err)
	}
	if b.Now != 8412250*time.Microsecond {
		t.Errorf("time %v", b.Now)
	}
	s := b.Events[0].Create
	if s == nil || s.Topology.ParentKind != 1 || !s.StaticWeights ||
		s.Classes[0].Idempotency != balancer.IdempotentByKey || s.Classes[0].DedupScope != balancer.DedupEverywhere || !s.Classes[0].Write ||
		s.Classes[0].FreshnessLifetime != 20*time.Second {
		t.Errorf("settings %+v", s)
	}
	want := []balancer.Event{
		nil,
		balancer.EndpointUpdate{Complete: true, Endpoints: []balancer.Endpoint{{ID: 51530247, Kind: "box", Zone: "edge", Cell: 2,
			Weight: 1.5, StartedAt: 61 * time.Microsecond}}},
		balancer.EndpointUpdate{},
		balancer.EndpointUpdate{Failed: true},
		balancer.Request{ID: 36, Class: "a", Object: 0x91f03b7c55d20a64, Part: 3, Group: 11,
			Remaining: 240 * time.Millisecond, SizeKB: 640, Retry: true},
		balancer.Purge{ByGroup: true, Group: 11, Age: 85 * time.Millisecond},
		balancer.Outcome{ID: 36, Attempt: 1, Endpoint: 51530247, Status: balancer.Rejected, Elapsed: 18500 * time.Microsecond,
			Detail: balancer.NoFillSlot},
		nil,
		nil,
		balancer.ClientAborted{ID: 36},
		balancer.ResponseStarted{ID: 36, Endpoint: 5},
		balancer.Timer{Token: 77},
		nil,
	}
	if len(b.Events) != len(want) {
		t.Fatalf("%d events, want %d", len(b.Events), len(want))
	}
	for i, w := range want {
		if !reflect.DeepEqual(b.Events[i].Event, w) {
			t.Errorf("event %d: %#v, want %#v", i, b.Events[i].Event, w)
		}
	}
}

func TestReadBatchRejectsMalformedInput(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"missing CLOCK line":      {"END\n", "line 1"},
		"malformed time":          {"CLOCK\tsimTimeUs=x\nEND\n", "line 1"},
		"truncated input":         {"CLOCK\tsimTimeUs=1\n", "unexpected EOF"},
		"unknown event":           {"CLOCK\tsimTimeUs=1\nWHAT\ti=director-1\nEND\n", "line 2: WHAT: unknown event"},
		"missing field":           {"CLOCK\tsimTimeUs=1\nGONE\ti=director-1\nEND\n", "line 2: GONE: field id is missing"},
		"missing instance":        {"CLOCK\tsimTimeUs=1\nHALT\nEND\n", "field i is missing"},
		"request id over 52 bits": {"CLOCK\tsimTimeUs=1\nGONE\ti=d\tid=4503599627370496\nEND\n", "field id"},
		"field without a value":   {"CLOCK\tsimTimeUs=1\nGONE\ti=d\tid\nEND\n", "not a name=value pair"},
		"repeated field":          {"CLOCK\tsimTimeUs=1\nGONE\ti=d\tid=1\tid=2\nEND\n", "is given twice"},
		"unknown outcome":         {"CLOCK\tsimTimeUs=1\nRESOLVED\ti=d\tid=1\tnode=1\thow=999\nEND\n", "unknown outcome"},
		"unknown endpoint list":   {"CLOCK\tsimTimeUs=1\nREGISTRY\ti=d\tform=FULL\trosterId=4\nEND\n", "was not sent before"},
		"truncated endpoint list": {"CLOCK\tsimTimeUs=1\nSHEET\trosterId=0\tlines=1\nEND\n", "line 3: expected line ITEM"},
		"unknown state":           {"CLOCK\tsimTimeUs=1\nSHEET\trosterId=0\tlines=1\nITEM\tnode=1\tstate=odd\nEND\n", "unknown state"},
		"malformed settings":      {"CLOCK\tsimTimeUs=1\nCREATE\ti=d\tnonce64=1\tconf={\nEND\n", "conf"},
		"malformed base64":        {"CLOCK\tsimTimeUs=1\nNOTE_FROM\ti=d\toriginPeer=1\tcontent=*\nEND\n", "content"},
		"not a number":            {"CLOCK\tsimTimeUs=1\nNEW_REQUEST\ti=d\tid=1\tgrade=a\tremainingUs=1\tkbytes=NaN\nEND\n", "not a number"},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := readBatch(t, c.text); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("error %v, want one that contains %q", err, c.want)
			}
		})
	}
	if _, err := readBatch(t, ""); err != io.EOF {
		t.Errorf("empty input: error %v, want EOF", err)
	}
}

func TestAppendActionWritesLine(t *testing.T) {
	for want, a := range map[string]balancer.Action{
		"LOOK_AND_FILL\ti=d\tid=36\tnode=5\tallowForUs=900000\tfromWhere=7\tadmit=2\tageSpanUs=1500000\tmanner=9\n": balancer.SendAttempt{
			ID: 36, Endpoint: 5, Timeout: 900 * time.Millisecond, Source: 7, CachePriority: 2, MaxAge: 1500 * time.Millisecond,
			Coalesce: true, Revalidate: true},
		"SAY_NO\ti=d\tid=1\n":                  balancer.Reject{ID: 1},
		"END_FAILED\ti=d\tid=1\n":              balancer.Fail{ID: 1},
		"ABANDON\ti=d\tid=1\tcopy=0\n":         balancer.CancelAttempt{ID: 1},
		"OBSERVE\ti=d\twant=1\n":               balancer.WatchEndpoints{},
		"SCHEDULE\ti=d\tcookie=77\tspanUs=0\n": balancer.SetTimer{Token: 77},
	} {
		if got := string(AppendAction(nil, "d", a)); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}

func FuzzReadBatch(f *testing.F) {
	f.Add("CLOCK\tsimTimeUs=1\nGONE\ti=d\tid=1\nEND\n")
	f.Add("CLOCK\tsimTimeUs=1\nCREATE\ti=d\tnonce64=1\tconf=" + sampleSettings + "\nEND\n")
	f.Add("CLOCK\tsimTimeUs=1\nSHEET\trosterId=0\tlines=4294967295\nEND\n")
	f.Add("CLOCK\tsimTimeUs=-9223372036854775808\nEND\n")
	f.Fuzz(func(t *testing.T, text string) {
		b, err := NewReader(strings.NewReader(text)).ReadBatch()
		if (b == nil) == (err == nil) {
			t.Fatalf("batch %v with error %v", b, err)
		}
	})
}
