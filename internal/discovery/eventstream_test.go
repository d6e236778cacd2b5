package discovery

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"hillknot/internal/testutil/parsertest"
)

// collectEvents feeds the chunks to a response as a connection does: bytes that were not used are fed again, together with
// the next chunk. It returns the events as text, followed by " failed" if the response ended with an error.
func collectEvents(chunks [][]byte) string {
	var found strings.Builder
	r := newResponse(200, func(id, data []byte) error {
		fmt.Fprintf(&found, "%s=%q;", id, data)
		return nil
	})
	var buf []byte
	for _, chunk := range chunks {
		buf = append(buf, chunk...)
		used, err := r.consume(buf)
		if err != nil {
			return found.String() + " failed"
		}
		buf = buf[used:]
	}
	return found.String()
}

// drawResponse draws a response with events, which is chunked or not.
func drawResponse(t *rapid.T) []byte {
	value := rapid.StringMatching(`[a-z:{} ]{0,9}`)
	body := ""
	for i := range rapid.IntRange(1, 5).Draw(t, "events") {
		body += fmt.Sprintf(": hi\r\nid: %d\ndata: %s\ndata:%s\n\n", i, value.Draw(t, "a"), value.Draw(t, "b"))
	}
	if !rapid.Bool().Draw(t, "chunked") {
		return []byte(responseHeader + "\r\n" + body)
	}
	out := responseHeader + "Transfer-Encoding: chunked\r\n\r\n"
	for len(body) > 0 {
		n := rapid.IntRange(1, len(body)).Draw(t, "chunk")
		out, body = out+fmt.Sprintf("%x\r\n%s\r\n", n, body[:n]), body[n:]
	}
	return []byte(out)
}

// A response gives the same events wherever its input is split; a malformed one is an error.
func TestResponseReadsEventsInAnyChunks(t *testing.T) {
	parsertest.Chunks(t, drawResponse, collectEvents)
	chunked := responseHeader + "transfer-encoding: Chunked\r\n\r\n9;x=1\r\nid: 4\ndat\r\n9\r\na: {}\r\n\r\n\r\n1\r\n\n\r\n"
	if got := collectEvents([][]byte{[]byte(chunked)}); got != `4="{}";` {
		t.Errorf("got %q", got)
	}
	for _, bad := range []string{
		"HTTP/1.1 404 Not Found\r\n\r\n",
		"what\r\n\r\n",
		responseHeader + "\r\ndata:" + strings.Repeat("x", 300),
	} {
		if got := collectEvents([][]byte{[]byte(bad)}); !strings.HasSuffix(got, "failed") {
			t.Errorf("%q: got %q, want a failure", bad, got)
		}
	}
}
