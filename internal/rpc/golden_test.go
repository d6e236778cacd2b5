package rpc

import (
	"reflect"
	"strings"
	"testing"

	"hillknot/internal/testutil/golden"
)

// Clients and routers of any release exchange these messages. The files of testdata/golden were written at commit
// 86ccf0f.
//
// The encoding does not depend on the names of Go types or fields. It depends on the names of fields in message.go ("txn",
// "limit", "item", "nth", "batch", "got", "second", "unique", "resumes", "account", "reason", "ok304", "later"), the
// methods "cancel" and "health", the error codes CodeThrottled, CodeBadRequest and CodeNoSuchMethod, and the numbers of
// the kinds of messages. Callers supply the code "Failed" and the names of classes; the method of a request is the name
// of its class.

var goldenRequest = Request{
	Method:        "order",
	Txn:           0x00000000000000a1,
	TimeoutMillis: 1500,
	Retry:         true,
	Item:          0xfedcba9876543210,
	Nth:           1 << 63,
	Batch:         200,
	Account:       "acme",
	ResumedTxn:    0x00000000000000a0,
	CachedTag:     "v7",
	Body:          []byte("two seats"),
}

// goldenFields returns the fields of goldenRequest, as a router reads them.
func goldenFields() Fields {
	return Fields{
		Txn:        []byte("00000000000000a1"),
		Timeout:    []byte("1500"),
		Item:       []byte("fedcba9876543210"),
		Nth:        []byte("9223372036854775808"),
		Batch:      []byte("200"),
		Retry:      []byte("1"),
		Account:    []byte("acme"),
		ResumedTxn: []byte("00000000000000a0"),
		CachedTag:  []byte("v7"),
	}
}

// Covers the messages that a client sends, with the claim of an order whose router was lost.
func TestGoldenRequests(t *testing.T) {
	golden.Nonzero(t, goldenRequest)
	plain := goldenRequest
	plain.Retry, plain.Account, plain.ResumedTxn, plain.CachedTag, plain.Body = false, "", 0, "", nil
	retry, claim, withAccount, withCopy := plain, plain, plain, plain
	retry.Retry, claim.ResumedTxn, withAccount.Account, withCopy.CachedTag = true, 0xa0, strings.Repeat("a long name ", 5), "v7"
	claim.Body = []byte(strings.Repeat("a long body ", 25))
	base := goldenFields()
	base.Retry, base.Account, base.ResumedTxn, base.CachedTag = nil, nil, nil, nil
	withField := func(set func(*Fields)) Fields { f := base; set(&f); return f }
	for name, c := range map[string]struct {
		id      uint64
		request Request
		fields  Fields
	}{
		"call.hex":          {1<<32 - 1, goldenRequest, goldenFields()},
		"call-plain.hex":    {7, plain, base},
		"call-retry.hex":    {200, retry, withField(func(f *Fields) { f.Retry = []byte("1") })},
		"call-claim.hex":    {300, claim, withField(func(f *Fields) { f.ResumedTxn = []byte("00000000000000a0") })},
		"call-account.hex":  {70000, withAccount, withField(func(f *Fields) { f.Account = []byte(withAccount.Account) })},
		"call-has-copy.hex": {8, withCopy, withField(func(f *Fields) { f.CachedTag = []byte("v7") })},
	} {
		t.Run(name, func(t *testing.T) {
			golden.Same(t, name, AppendRequest(nil, c.id, &c.request))
			encoded := golden.Read(t, name)
			m, progress, err := ParseMessage(encoded, 1<<16)
			want := Message{Kind: KindRequest, ID: c.id, Method: []byte("order"), ParamCount: 2, Fields: c.fields, Body: c.request.Body}
			if m.Body != nil && len(m.Body) == 0 {
				m.Body = nil
			}
			if err != nil || progress.Consumed != len(encoded) || !reflect.DeepEqual(m, want) {
				t.Errorf("read as %+v, %d bytes, %v; want %+v", m, progress.Consumed, err, want)
			}
		})
	}
	for name, c := range map[string]struct {
		encoded []byte
		want    Message
	}{
		"cancel.hex": {
			AppendCancel(nil, 70000),
			Message{Kind: KindNotification, Method: []byte("cancel"), ParamCount: 1, IDs: []uint64{70000}},
		},
		"health.hex": {
			AppendHealthRequest(nil, 9),
			Message{Kind: KindRequest, ID: 9, Method: []byte("health"), ParamCount: 1},
		},
	} {
		golden.Same(t, name, c.encoded)
		m, progress, err := ParseMessage(golden.Read(t, name), 1<<16)
		if err != nil || progress.Consumed != len(c.encoded) || !reflect.DeepEqual(m, c.want) {
			t.Errorf("%s: read as %+v, %d bytes, %v; want %+v", name, m, progress.Consumed, err, c.want)
		}
	}
}

// Covers a request that only other client libraries send: it has all known fields and an unknown one, strings encoded as
// binary data, and integers that are not in their shortest form.
func TestGoldenForeignRequest(t *testing.T) {
	var f Fields
	names := []string{"txn", "limit", "item", "nth", "batch", "got", "second", "unique", "resumes", "account", "ok304", "later", "reason"}
	for i, name := range names {
		slot := f.slot([]byte(name))
		if slot == nil {
			t.Fatalf("field %q is unknown", name)
		}
		*slot = []byte{'0' + byte(i), 'x'}
	}
	golden.Nonzero(t, f)
	encoded := golden.Read(t, "foreign.hex")
	m, progress, err := ParseMessage(encoded, 1<<16)
	want := Message{Kind: KindRequest, ID: 5, Method: []byte("page"), ParamCount: 3, Fields: f, Body: []byte("body"), IDs: []uint64{3}}
	if err != nil || progress.Consumed != len(encoded) || !reflect.DeepEqual(m, want) {
		t.Errorf("read as %+v, %d bytes, %v; want %+v", m, progress.Consumed, err, want)
	}
}

// Covers the responses of a router.
func TestGoldenResponses(t *testing.T) {
	long := []byte(strings.Repeat("a page ", 50))
	for name, c := range map[string]struct {
		encoded []byte
		want    ResponseHeader // without the body
		body    string
		trailer Fields
	}{
		"served.hex": {
			encoded: AppendBodyResponse(nil, 7, []byte("a page")),
			want:    ResponseHeader{ID: 7, Kind: ResponseBody, BodySize: 6},
			body:    "a page",
		},
		"served-long.hex": {
			encoded: AppendBodyResponse(nil, 300, long),
			want:    ResponseHeader{ID: 300, Kind: ResponseBody, BodySize: len(long)},
			body:    string(long),
		},
		"served-has.hex": {
			encoded: AppendBodyResponse(nil, 200, nil, Field{"ok304", "1"}),
			want:    ResponseHeader{ID: 200, Kind: ResponseBody},
			trailer: Fields{NotModified: []byte("1")},
		},
		"failed.hex": {
			encoded: AppendErrorResponse(nil, 70000, "Failed"),
			want:    ResponseHeader{ID: 70000, Kind: ResponseError, Code: []byte("Failed")},
		},
		"bad-request.hex": {
			encoded: AppendErrorResponse(nil, 7, CodeBadRequest),
			want:    ResponseHeader{ID: 7, Kind: ResponseError, Code: []byte("BadRequest")},
		},
		"no-method.hex": {
			encoded: AppendErrorResponse(nil, 7, CodeNoSuchMethod),
			want:    ResponseHeader{ID: 7, Kind: ResponseError, Code: []byte("NoSuchMethod")},
		},
		"error-field.hex": {
			encoded: AppendErrorResponse(nil, 7, CodeThrottled, Field{"later", "250"}),
			want:    ResponseHeader{ID: 7, Kind: ResponseError, Code: []byte("Throttled"), Fields: Fields{RetryAfter: []byte("250")}},
		},
		"refused.hex": {
			encoded: AppendThrottledResponse(nil, 7, 0, ""),
			want:    ResponseHeader{ID: 7, Kind: ResponseError, Code: []byte("Throttled")},
		},
		"refused-later.hex": {
			encoded: AppendThrottledResponse(nil, 7, 250, ""),
			want:    ResponseHeader{ID: 7, Kind: ResponseError, Code: []byte("Throttled"), Fields: Fields{RetryAfter: []byte("250")}},
		},
		"refused-why.hex": {
			encoded: AppendThrottledResponse(nil, 7, 1000, "funds-out"),
			want: ResponseHeader{ID: 7, Kind: ResponseError, Code: []byte("Throttled"),
				Fields: Fields{RetryAfter: []byte("1000"), Reason: []byte("funds-out")}},
		},
		"well.hex": {
			encoded: AppendHealthResponse(nil, 9, true),
			want:    ResponseHeader{ID: 9, Kind: ResponseHealth, Ready: true},
		},
		"not-ready.hex": {
			encoded: AppendHealthResponse(nil, 9, false),
			want:    ResponseHeader{ID: 9, Kind: ResponseHealth},
		},
	} {
		t.Run(name, func(t *testing.T) {
			golden.Same(t, name, c.encoded)
			encoded := golden.Read(t, name)
			header, progress, err := ParseResponseHeader(encoded, 1<<10, 1<<16)
			n := progress.Consumed
			if err != nil || !reflect.DeepEqual(header, c.want) || string(encoded[n:n+header.BodySize]) != c.body {
				t.Fatalf("read as %+v, %v; want %+v", header, err, c.want)
			}
			if n += header.BodySize; c.want.Kind == ResponseBody {
				trailer, trailerProgress, err := ParseResponseTrailer(encoded[n:], 1<<10)
				if n += trailerProgress.Consumed; err != nil || !reflect.DeepEqual(trailer, c.trailer) {
					t.Errorf("trailer %+v, %v; want %+v", trailer, err, c.trailer)
				}
			}
			if n != len(encoded) {
				t.Errorf("read %d of %d bytes", n, len(encoded))
			}
		})
	}
}
