package rpcwire

import (
	"reflect"
	"strings"
	"testing"

	"hillknot/internal/golden"
)

// Clients of any age speak this with routers of any release. The files of testdata/golden were written at commit 86ccf0f.
//
// What reaches the bytes: no name of a type or field, but the texts of Fields.slot, AppendCall and AppendRefused ("txn", "limit",
// "item", "nth", "batch", "got", "second", "unique", "resumes", "account", "reason", "ok304", "later"), the methods "cancel" and
// "health", the error words of the constants Throttled, BadRequest and NoSuchMethod, and the numbers of Call, Answer and Notice.
// The word "Failed" and the classes' names come from the callers; the name of a class is a call's method.

var goldenRequest = Request{Method: "order", Txn: 0x00000000000000a1, Limit: 1500, Second: true, Item: 0xfedcba9876543210, Nth: 1 << 63, Batch: 200,
	Account: "acme", Resumes: 0x00000000000000a0, Got: "v7", Body: []byte("two seats")}

// goldenFields are those of goldenRequest, as a router reads them.
func goldenFields() Fields {
	return Fields{Txn: []byte("00000000000000a1"), Limit: []byte("1500"), Item: []byte("fedcba9876543210"), Nth: []byte("9223372036854775808"),
		Batch: []byte("200"), Second: []byte("1"), Account: []byte("acme"), Resumes: []byte("00000000000000a0"), Got: []byte("v7")}
}

// What a client sends, the claim of an order whose router was lost among it.
func TestGoldenCalls(t *testing.T) {
	golden.Nonzero(t, goldenRequest)
	plain := goldenRequest
	plain.Second, plain.Account, plain.Resumes, plain.Got, plain.Body = false, "", 0, "", nil
	retry, claim, named, holds := plain, plain, plain, plain
	retry.Second, claim.Resumes, named.Account, holds.Got = true, 0xa0, strings.Repeat("a long name ", 5), "v7"
	claim.Body = []byte(strings.Repeat("a long body ", 25))
	base := goldenFields()
	base.Second, base.Account, base.Resumes, base.Got = nil, nil, nil, nil
	with := func(set func(*Fields)) Fields { f := base; set(&f); return f }
	for name, c := range map[string]struct {
		id     uint64
		q      Request
		fields Fields
	}{
		"call.hex":          {1<<32 - 1, goldenRequest, goldenFields()},
		"call-plain.hex":    {7, plain, base},
		"call-retry.hex":    {200, retry, with(func(f *Fields) { f.Second = []byte("1") })},
		"call-claim.hex":    {300, claim, with(func(f *Fields) { f.Resumes = []byte("00000000000000a0") })},
		"call-account.hex":  {70000, named, with(func(f *Fields) { f.Account = []byte(named.Account) })},
		"call-has-copy.hex": {8, holds, with(func(f *Fields) { f.Got = []byte("v7") })},
	} {
		t.Run(name, func(t *testing.T) {
			golden.Same(t, name, AppendCall(nil, c.id, &c.q))
			text := golden.Read(t, name)
			m, n, _, err := Parse(text, 1<<16)
			want := Message{Kind: Call, ID: c.id, Method: []byte("order"), Params: 2, Fields: c.fields, Body: c.q.Body}
			if m.Body != nil && len(m.Body) == 0 {
				m.Body = nil
			}
			if err != nil || n != len(text) || !reflect.DeepEqual(m, want) {
				t.Errorf("read as %+v, %d bytes, %v; want %+v", m, n, err, want)
			}
		})
	}
	for name, c := range map[string]struct {
		text []byte
		want Message
	}{
		"cancel.hex": {AppendCancel(nil, 70000), Message{Kind: Notice, Method: []byte("cancel"), Params: 1, IDs: []uint64{70000}}},
		"health.hex": {AppendHealthCall(nil, 9), Message{Kind: Call, ID: 9, Method: []byte("health"), Params: 1}},
	} {
		golden.Same(t, name, c.text)
		if m, n, _, err := Parse(golden.Read(t, name), 1<<16); err != nil || n != len(c.text) || !reflect.DeepEqual(m, c.want) {
			t.Errorf("%s: read as %+v, %d bytes, %v; want %+v", name, m, n, err, c.want)
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
	m, n, _, err := Parse(text, 1<<16)
	want := Message{Kind: Call, ID: 5, Method: []byte("page"), Params: 3, Fields: f, Body: []byte("body"), IDs: []uint64{3}}
	if err != nil || n != len(text) || !reflect.DeepEqual(m, want) {
		t.Errorf("read as %+v, %d bytes, %v; want %+v", m, n, err, want)
	}
}

// What a router answers.
func TestGoldenAnswers(t *testing.T) {
	long := []byte(strings.Repeat("a page ", 50))
	for name, c := range map[string]struct {
		text []byte
		want Head // without its body
		body string
		tail Fields
	}{
		"served.hex":        {AppendServed(nil, 7, []byte("a page"), "", ""), Head{ID: 7, What: Bytes, Body: 6}, "a page", Fields{}},
		"served-long.hex":   {AppendServed(nil, 300, long, "", ""), Head{ID: 300, What: Bytes, Body: len(long)}, string(long), Fields{}},
		"served-has.hex":    {AppendServed(nil, 200, nil, "ok304", "1"), Head{ID: 200, What: Bytes}, "", Fields{OK304: []byte("1")}},
		"failed.hex":        {AppendError(nil, 70000, "Failed", "", ""), Head{ID: 70000, What: Error, Word: []byte("Failed")}, "", Fields{}},
		"bad-request.hex":   {AppendError(nil, 7, BadRequest, "", ""), Head{ID: 7, What: Error, Word: []byte("BadRequest")}, "", Fields{}},
		"no-method.hex":     {AppendError(nil, 7, NoSuchMethod, "", ""), Head{ID: 7, What: Error, Word: []byte("NoSuchMethod")}, "", Fields{}},
		"error-field.hex":   {AppendError(nil, 7, Throttled, "later", "250"), Head{ID: 7, What: Error, Word: []byte("Throttled"), Fields: Fields{Later: []byte("250")}}, "", Fields{}},
		"refused.hex":       {AppendRefused(nil, 7, 0, ""), Head{ID: 7, What: Error, Word: []byte("Throttled")}, "", Fields{}},
		"refused-later.hex": {AppendRefused(nil, 7, 250, ""), Head{ID: 7, What: Error, Word: []byte("Throttled"), Fields: Fields{Later: []byte("250")}}, "", Fields{}},
		"refused-why.hex": {AppendRefused(nil, 7, 1000, "funds-out"),
			Head{ID: 7, What: Error, Word: []byte("Throttled"), Fields: Fields{Later: []byte("1000"), Reason: []byte("funds-out")}}, "", Fields{}},
		"well.hex":      {AppendHealth(nil, 9, true), Head{ID: 9, What: Health, Ready: true}, "", Fields{}},
		"not-ready.hex": {AppendHealth(nil, 9, false), Head{ID: 9, What: Health}, "", Fields{}},
	} {
		t.Run(name, func(t *testing.T) {
			golden.Same(t, name, c.text)
			text := golden.Read(t, name)
			h, n, _, err := ParseHead(text, 1<<10, 1<<16)
			if err != nil || !reflect.DeepEqual(h, c.want) || string(text[n:n+h.Body]) != c.body {
				t.Fatalf("read as %+v, %v; want %+v", h, err, c.want)
			}
			if n += h.Body; c.want.What == Bytes {
				f, tail, _, err := ParseTail(text[n:], 1<<10)
				if n += tail; err != nil || !reflect.DeepEqual(f, c.tail) {
					t.Errorf("tail %+v, %v; want %+v", f, err, c.tail)
				}
			}
			if n != len(text) {
				t.Errorf("%d of %d bytes read", n, len(text))
			}
		})
	}
}
