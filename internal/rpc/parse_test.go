package rpc

import (
	"bytes"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"hillknot/internal/testutil/parsertest"
)

// Limits of the parsers under test, in bytes.
const (
	messageLimit = 1 << 16
	headerLimit  = 1 << 10
)

func drawRequest(t *rapid.T) *Request {
	text := rapid.StringN(0, 40, 90)
	return &Request{
		Method:        text.Draw(t, "method"),
		Txn:           rapid.Uint64().Draw(t, "txn"),
		TimeoutMillis: rapid.Int64().Draw(t, "timeout"),
		Retry:         rapid.Bool().Draw(t, "retry"),
		Nth:           rapid.Uint64().Draw(t, "nth"),
		CachedTag:     text.Draw(t, "cached tag"),
		Body:          rapid.SliceOfN(rapid.Byte(), 0, 400).Draw(t, "body"),
	}
}

func drawID(t *rapid.T) uint64 { return rapid.Uint64Max(1<<32-1).Draw(t, "id") }

func drawMessage(t *rapid.T) []byte {
	if rapid.Bool().Draw(t, "cancel") {
		return append(appendString([]byte{0x93, byte(KindNotification)}, "cancel"), 0x92, 7, 0xcd, 1, 0)
	}
	return AppendRequest(nil, drawID(t), drawRequest(t))
}

func TestParseMessage(t *testing.T) {
	parsertest.Run(t, drawMessage, func(buf []byte) (int, int, error) {
		_, progress, err := ParseMessage(buf, messageLimit)
		return progress.Consumed, progress.Needed, err
	})
	request := &Request{
		Method: "part-page", Txn: 1, TimeoutMillis: 1500, Item: 10, Nth: 3, Batch: 255, CachedTag: "x", Body: []byte("abc"),
	}
	m, _, err := ParseMessage(AppendRequest(nil, 7, request), messageLimit)
	if f := m.Fields; err != nil || m.ID != 7 || string(m.Method) != "part-page" || string(f.Item) != "000000000000000a" ||
		string(f.CachedTag) != "x" || string(f.Timeout) != "1500" || string(f.Nth) != "3" || string(f.Batch) != "255" ||
		string(m.Body) != "abc" {
		t.Errorf("message %+v, error %v", m, err)
	}
}

// A message over the limit is malformed, which ends the connection. The parser must not ask the caller to buffer it, as
// it could fill the memory.
func TestParseMessageOverLimit(t *testing.T) {
	head := AppendRequest(nil, 7, &Request{Method: "a"})
	for _, buf := range [][]byte{
		append(head[:len(head)-2], 0xc6, 0x7f, 0xff, 0xff, 0xff),
		append(head[:len(head)-2], 0xc6, 0xff, 0xff, 0xff, 0xff),
		bytes.Repeat([]byte{0x91}, 100),
	} {
		if _, _, err := ParseMessage(buf, 99); err == nil {
			t.Errorf("%x: no error", buf)
		}
	}
}

func TestParseMessageRejectsDeepNesting(t *testing.T) {
	notification := appendString([]byte{0x93, byte(KindNotification)}, "x")
	deep := append(notification, []byte("\x91"+strings.Repeat("\x91", 100)+"\x01")...)
	if _, _, err := ParseMessage(deep, messageLimit); err == nil {
		t.Error("arrays nested too deeply were accepted")
	}
}

// drawResponseHeader draws a response up to its body.
func drawResponseHeader(t *rapid.T) []byte {
	id := drawID(t)
	switch rapid.IntRange(0, 2).Draw(t, "kind") {
	case 0:
		return AppendHealthResponse(nil, id, rapid.Bool().Draw(t, "ready"))
	case 1:
		code := rapid.StringN(0, 40, 90).Draw(t, "code")
		return AppendErrorResponse(nil, id, code, Field{Name: FieldRetryAfter, Value: "500"})
	}
	size := 1 << rapid.IntRange(0, 16).Draw(t, "size")
	response := AppendBodyResponse(nil, id, make([]byte, size))
	return response[:len(response)-size-1] // the trailer is an empty map
}

func drawResponseTrailer(t *rapid.T) []byte {
	return appendFields(nil, []Field{{
		Name:  rapid.StringN(0, 40, 90).Draw(t, "name"),
		Value: rapid.StringN(0, 300, 900).Draw(t, "value"),
	}})
}

// A client reads a response in two steps: the header up to the body, and the trailer after the body.
func TestParseResponse(t *testing.T) {
	parsertest.Run(t, drawResponseHeader, func(buf []byte) (int, int, error) {
		_, progress, err := ParseResponseHeader(buf, headerLimit, 1<<16)
		return progress.Consumed, progress.Needed, err
	})
	parsertest.Run(t, drawResponseTrailer, func(buf []byte) (int, int, error) {
		_, progress, err := ParseResponseTrailer(buf, headerLimit)
		return progress.Consumed, progress.Needed, err
	})

	response := AppendBodyResponse(nil, 9, []byte("abc"), Field{Name: FieldNotModified, Value: "1"})
	h, progress, err := ParseResponseHeader(response, headerLimit, 3)
	if err != nil || h.ID != 9 || h.Kind != ResponseBody || h.BodySize != 3 {
		t.Errorf("header %+v, error %v", h, err)
	}
	f, _, err := ParseResponseTrailer(response[progress.Consumed+3:], headerLimit)
	if err != nil || !f.IsNotModified() || f.RetryAfterMillis() != 0 {
		t.Errorf("trailer %+v, error %v", f, err)
	}
	if _, _, err := ParseResponseHeader(response, headerLimit, 2); err == nil {
		t.Error("a body over the limit was accepted")
	}

	rejection := AppendErrorResponse(nil, 9, CodeThrottled, Field{Name: FieldRetryAfter, Value: "250"})
	h, _, err = ParseResponseHeader(rejection, headerLimit, 3)
	if err != nil || h.Kind != ResponseError || string(h.Code) != CodeThrottled || h.Fields.RetryAfterMillis() != 250 {
		t.Errorf("rejection %+v, error %v", h, err)
	}
}
