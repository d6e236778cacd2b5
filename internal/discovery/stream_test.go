package discovery

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hillknot/balancer"
	"hillknot/internal/clock"
	"hillknot/internal/testutil/parsertest"
)

// collect feeds the chunks as a connection would: what is not used up comes again with what follows.
func collect(chunks [][]byte) string {
	var found strings.Builder
	s := &stream{max: 200, event: func(id, data []byte) error {
		fmt.Fprintf(&found, "%s=%q;", id, data)
		return nil
	}}
	var buf []byte
	for _, c := range chunks {
		buf = append(buf, c...)
		n, err := s.take(buf)
		if err != nil {
			return found.String() + " failed"
		}
		buf = buf[n:]
	}
	return found.String()
}

const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"

func TestStream(t *testing.T) {
	value := rapid.StringMatching(`[a-z:{} ]{0,9}`)
	gen := func(t *rapid.T) []byte {
		body := ""
		for i := range rapid.IntRange(1, 5).Draw(t, "events") {
			body += fmt.Sprintf(": hi\r\nid: %d\ndata: %s\ndata:%s\n\n", i, value.Draw(t, "a"), value.Draw(t, "b"))
		}
		if !rapid.Bool().Draw(t, "chunked") {
			return []byte(head + "\r\n" + body)
		}
		out := head + "Transfer-Encoding: chunked\r\n\r\n"
		for len(body) > 0 {
			n := rapid.IntRange(1, len(body)).Draw(t, "chunk")
			out, body = out+fmt.Sprintf("%x\r\n%s\r\n", n, body[:n]), body[n:]
		}
		return []byte(out)
	}
	parsertest.Chunks(t, gen, collect)
	if got := collect([][]byte{[]byte(head + "transfer-encoding: Chunked\r\n\r\n9;x=1\r\nid: 4\ndat\r\n9\r\na: {}\r\n\r\n\r\n1\r\n\n\r\n")}); got != `4="{}";` {
		t.Errorf("got %q", got)
	}
	for _, bad := range []string{"HTTP/1.1 404 Not Found\r\n\r\n", "what\r\n\r\n", head + "\r\ndata:" + strings.Repeat("x", 300)} {
		if got := collect([][]byte{[]byte(bad)}); !strings.HasSuffix(got, "failed") {
			t.Errorf("%q: got %q, want a failure", bad, got)
		}
	}
}

func TestParseEvent(t *testing.T) {
	e, err := new(parser).parse([]byte(`{"pos":41,"hosts":{"generation":7,"reset":true,"instances":[{"instanceId":"s-00c41f7a",
		"hostPort":"10.1.0.9:7001","zone":"east","machineType":"std","cell":2,"lifecycle":"draining","weight":4,"startedAtMs":5}]}}`))
	if err != nil || !e.Full || len(e.Hosts) != 1 {
		t.Fatalf("event %+v, error %v", e, err)
	}
	if h := e.Hosts[0]; h.ID != "s-00c41f7a" || h.State != balancer.Draining || h.StartStamp != clock.Stamp(5*time.Millisecond) || h.Cell != 2 {
		t.Errorf("host %+v", h)
	}
	e, err = new(parser).parse([]byte(`{"pos":43,"expire":{"set":17,"stamp":1764576000480}}`))
	if err != nil || !e.Purge || !e.ByGroup || e.Group != 17 || e.Stamp != clock.Stamp(1764576000480*time.Millisecond) {
		t.Errorf("event %+v, error %v", e, err)
	}
	for text, want := range map[string]string{
		`{"pos":1,"hosts":{"instances":[{"instanceId":"a","lifecycle":"odd"}]}}`: "hosts.instances[0].lifecycle",
		`{"pos":1,"expire":{"name":"xyz","stamp":1}}`:                            "expire.name",
		`{"pos":1,"expire":{"set":1}}`:                                           "expire.stamp",
		`{"pos":"x"}`:                                                            "pos",
	} {
		if _, err := new(parser).parse([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v, want %q named", text, err, want)
		}
	}
}
