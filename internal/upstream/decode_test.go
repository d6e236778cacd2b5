package upstream

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hillknot/balancer"
	"hillknot/internal/core"
	"hillknot/internal/testutil/parsertest"
)

func TestParseResponse(t *testing.T) {
	word := rapid.StringMatching(`[a-zA-Z0-9=,._-]{1,12}`)
	parsertest.Run(t, func(t *rapid.T) []byte {
		body := rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "body")
		return fmt.Appendf(nil, "%s %s %s %d\r\n%s\r\n", word.Draw(t, "id"), word.Draw(t, "status"), word.Draw(t, "fields"),
			len(body), body)
	}, func(buf []byte) (int, int, error) {
		_, progress, err := parseResponse(buf, 100, 300)
		return progress.consumed, progress.needed, err
	})
	for _, text := range []string{"a DONE - 301\r\n", "a DONE - -1\r\n", "a DONE 3\r\n", "a DONE - 1 \r\n", "a  - 1\r\n",
		"a DONE - 1\nx\r\n", "a DONE - 1\r\nxyz"} {
		if _, progress, err := parseResponse([]byte(text), 100, 300); err == nil {
			t.Errorf("%q: consumed %d bytes, want an error", text, progress.consumed)
		}
	}
}

// Each status word has one meaning. A response with an unknown status word is malformed.
func TestResultOfEachStatus(t *testing.T) {
	for text, want := range map[string]core.AttemptResult{
		"a DONE res=past_fresh,took=1.5,version=x 2\r\nhi\r\n": {Status: balancer.OK, Detail: balancer.Stale,
			SourceWait: 1500 * time.Microsecond, Body: []byte("hi")},
		"a KEEP version=x,res=cached 0\r\n\r\n": {Status: balancer.OK, Detail: balancer.Hit, NotModified: true, ETag: "x"},
		"a LACK res=up_empty 0\r\n\r\n":         {Status: balancer.Miss, Detail: balancer.SourceMiss},
		"a WAIT - 0\r\n\r\n":                    {Status: balancer.Rejected},
		"a BROKE res=up_lost 0\r\n\r\n":         {Status: balancer.Error, Detail: balancer.SourceUnreachable},
		"a PAST took=-3,res=what 0\r\n\r\n":     {Status: balancer.NotSent},
	} {
		r, _, err := parseResponse([]byte(text), 100, 100)
		if err != nil {
			t.Fatalf("%q: %v", text, err)
		}
		if e, err := r.result(); err != nil || fmt.Sprint(e) != fmt.Sprint(want) {
			t.Errorf("%q: %+v, %v; want %+v", text, e, err, want)
		}
	}
	unknown := response{status: []byte("FIT")}
	if _, err := unknown.result(); err == nil {
		t.Error("a response with an unknown status was accepted")
	}
}
