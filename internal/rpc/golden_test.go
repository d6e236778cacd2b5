package rpc

import (
	"reflect"
	"strings"
	"testing"

	"hillknot/internal/testutil/golden"
)

// Clients of any age speak this with routers of any release. The files of testdata/golden were written at commit 86ccf0f.
//
// What reaches the bytes: no name of a type or field, but the texts of Fields.slot, AppendRequest and AppendThrottledResponse ("txn", "limit",
// "item", "nth", "batch", "got", "second", "unique", "resumes", "account", "reason", "ok304", "later"), the methods "cancel" and
// "health", the error words of the constants Throttled, BadRequest and NoSuchMethod, and the numbers of Call, Answer and Notice.
// The word "Failed" and the classes' names come from the callers; the name of a class is a call's method.

var goldenRequest = Request{Method: "order", Txn: 0x00000000000000a1, TimeoutMillis: 1500, Retry: true, Item: 0xfedcba9876543210, Nth: 1 << 63, Batch: 200,
	Account: "acme", ResumedTxn: 0x00000000000000a0, CachedTag: "v7", Body: []byte("two seats")}

// goldenFields are those of goldenRequest, as a router reads them.
func goldenFields() Fields {
	return Fields{Txn: []byte("00000000000000a1"), Timeout: []byte("1500"), Item: []byte("fedcba9876543210"), Nth: []byte("9223372036854775808"),
		Batch: []byte("200"), Retry: []byte("1"), Account: []byte("acme"), ResumedTxn: []byte("00000000000000a0"), CachedTag: []byte("v7")}
}

// What a client sends, the claim of an order whose router was lost among it.
func TestGoldenCalls(t *testing.T) {
	golden.Nonzero(t, goldenRequest)
	plain := goldenRequest
	plain.Retry, plain.Account, plain.ResumedTxn, plain.CachedTag, plain.Body = false, "", 0, "", nil
	retry, claim, named, holds := plain, plain, plain, plain
	retry.Retry, claim.ResumedTxn, named.Account, holds.CachedTag = true, 0xa0, strings.Repeat("a long name ", 5), "v7"
	claim.Body = []byte(strings.Repeat("a long body ", 25))
	base := goldenFields()
	base.Retry, base.Account, base.ResumedTxn, base.CachedTag = nil, nil, nil, nil
	with := func(set func(*Fields)) Fields { f := base; set(&f); return f }
	for name, c := range map[string]struct {
		id     uint64
		q      Request
		fields Fields
	}{
		"call.hex":          {1<<32 - 1, goldenRequest, goldenFields()},
		"call-plain.hex":    {7, plain, base},
		"call-retry.hex":    {200, retry, with(func(f *Fields) { f.Retry = []byte("1") })},
		"call-claim.hex":    {300, claim, with(func(f *Fields) { f.ResumedTxn = []byte("00000000000000a0") })},
		"call-account.hex":  {70000, named, with(func(f *Fields) { f.Account = []byte(named.Account) })},
		"call-has-copy.hex": {8, holds, with(func(f *Fields) { f.CachedTag = []byte("v7") })},
	} {
		t.Run(name, func(t *testing.T) {
			golden.Same(t, name, AppendRequest(nil, c.id, &c.q))
			text := golden.Read(t, name)
			m, progress, err := ParseMessage(text, 1<<16)
			want := Message{Kind: KindRequest, ID: c.id, Method: []byte("order"), ParamCount: 2, Fields: c.fields, Body: c.q.Body}
			if m.Body != nil && len(m.Body) == 0 {
				m.Body = nil
			}
			if err != nil || progress.Consumed != len(text) || !reflect.DeepEqual(m, want) {
				t.Errorf("read as %+v, %d bytes, %v; want %+v", m, progress.Consumed, err, want)
			}
		})
	}
	for name, c := range map[string]struct {
		text []byte
		want Message
	}{
		"cancel.hex": {AppendCancel(nil, 70000), Message{Kind: KindNotification, Method: []byte("cancel"), ParamCount: 1, IDs: []uint64{70000}}},
		"health.hex": {AppendHealthRequest(nil, 9), Message{Kind: KindRequest, ID: 9, Method: []byte("health"), ParamCount: 1}},
	} {
		golden.Same(t, name, c.text)
		if m, progress, err := ParseMessage(golden.Read(t, name), 1<<16); err != nil || progress.Consumed != len(c.text) || !reflect.DeepEqual(m, c.want) {
			t.Errorf("%s: read as %+v, %d bytes, %v; want %+v", name, m, progress.Consumed, err, c.want)
		}
	}
}

// What only other clients send: all fields there are, one that nobody knows, texts as bytes, and numbers in long forms.
func TestGoldenForeignCall(t *testing.T) {
	var f Fields
	for i, name := range []string{"txn", "limit", "item", "nth", "batch", "got", "second", "unique", "resumes", "account", "ok304", "later", "reason"} {
		slot := f.slot([]byte(name))
		if slot == nil {
			t.Fatalf("no field %q", name)
		}
		*slot = []byte{'0' + byte(i), 'x'}
	}
	golden.Nonzero(t, f)
	text := golden.Read(t, "foreign.hex")
	m, progress, err := ParseMessage(text, 1<<16)
	want := Message{Kind: KindRequest, ID: 5, Method: []byte("page"), ParamCount: 3, Fields: f, Body: []byte("body"), IDs: []uint64{3}}
	if err != nil || progress.Consumed != len(text) || !reflect.DeepEqual(m, want) {
		t.Errorf("read as %+v, %d bytes, %v; want %+v", m, progress.Consumed, err, want)
	}
}

// What a router answers.
func TestGoldenAnswers(t *testing.T) {
	long := []byte(strings.Repeat("a page ", 50))
	for name, c := range map[string]struct {
		text []byte
		want ResponseHeader // without its body
		body string
		tail Fields
	}{
		"served.hex":        {AppendBodyResponse(nil, 7, []byte("a page")), ResponseHeader{ID: 7, Kind: ResponseBody, BodySize: 6}, "a page", Fields{}},
		"served-long.hex":   {AppendBodyResponse(nil, 300, long), ResponseHeader{ID: 300, Kind: ResponseBody, BodySize: len(long)}, string(long), Fields{}},
		"served-has.hex":    {AppendBodyResponse(nil, 200, nil, Field{"ok304", "1"}), ResponseHeader{ID: 200, Kind: ResponseBody}, "", Fields{NotModified: []byte("1")}},
		"failed.hex":        {AppendErrorResponse(nil, 70000, "Failed"), ResponseHeader{ID: 70000, Kind: ResponseError, Code: []byte("Failed")}, "", Fields{}},
		"bad-request.hex":   {AppendErrorResponse(nil, 7, CodeBadRequest), ResponseHeader{ID: 7, Kind: ResponseError, Code: []byte("BadRequest")}, "", Fields{}},
		"no-method.hex":     {AppendErrorResponse(nil, 7, CodeNoSuchMethod), ResponseHeader{ID: 7, Kind: ResponseError, Code: []byte("NoSuchMethod")}, "", Fields{}},
		"error-field.hex":   {AppendErrorResponse(nil, 7, CodeThrottled, Field{"later", "250"}), ResponseHeader{ID: 7, Kind: ResponseError, Code: []byte("Throttled"), Fields: Fields{RetryAfter: []byte("250")}}, "", Fields{}},
		"refused.hex":       {AppendThrottledResponse(nil, 7, 0, ""), ResponseHeader{ID: 7, Kind: ResponseError, Code: []byte("Throttled")}, "", Fields{}},
		"refused-later.hex": {AppendThrottledResponse(nil, 7, 250, ""), ResponseHeader{ID: 7, Kind: ResponseError, Code: []byte("Throttled"), Fields: Fields{RetryAfter: []byte("250")}}, "", Fields{}},
		"refused-why.hex": {AppendThrottledResponse(nil, 7, 1000, "funds-out"),
			ResponseHeader{ID: 7, Kind: ResponseError, Code: []byte("Throttled"), Fields: Fields{RetryAfter: []byte("1000"), Reason: []byte("funds-out")}}, "", Fields{}},
		"well.hex":      {AppendHealthResponse(nil, 9, true), ResponseHeader{ID: 9, Kind: ResponseHealth, Ready: true}, "", Fields{}},
		"not-ready.hex": {AppendHealthResponse(nil, 9, false), ResponseHeader{ID: 9, Kind: ResponseHealth}, "", Fields{}},
	} {
		t.Run(name, func(t *testing.T) {
			golden.Same(t, name, c.text)
			text := golden.Read(t, name)
			header, progress, err := ParseResponseHeader(text, 1<<10, 1<<16)
			n := progress.Consumed
			if err != nil || !reflect.DeepEqual(header, c.want) || string(text[n:n+header.BodySize]) != c.body {
				t.Fatalf("read as %+v, %v; want %+v", header, err, c.want)
			}
			if n += header.BodySize; c.want.Kind == ResponseBody {
				trailer, tail, err := ParseResponseTrailer(text[n:], 1<<10)
				if n += tail.Consumed; err != nil || !reflect.DeepEqual(trailer, c.tail) {
					t.Errorf("tail %+v, %v; want %+v", trailer, err, c.tail)
				}
			}
			if n != len(text) {
				t.Errorf("%d of %d bytes read", n, len(text))
			}
		})
	}
}
