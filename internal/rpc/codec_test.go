package rpc

import (
	"bytes"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"hillknot/internal/testutil/parsertest"
)

func drawRequest(t *rapid.T) *Request {
	text := rapid.StringN(0, 40, 90)
	return &Request{Method: text.Draw(t, "method"), Txn: rapid.Uint64().Draw(t, "txn"), TimeoutMillis: rapid.Int64().Draw(t, "limit"),
		Retry: rapid.Bool().Draw(t, "second"), Nth: rapid.Uint64().Draw(t, "nth"), CachedTag: text.Draw(t, "got"),
		Body: rapid.SliceOfN(rapid.Byte(), 0, 400).Draw(t, "body")}
}

func TestParse(t *testing.T) {
	parsertest.Run(t, func(t *rapid.T) []byte {
		if rapid.Bool().Draw(t, "cancel") {
			return append(appendText([]byte{0x93, byte(KindNotification)}, "cancel"), 0x92, 7, 0xcd, 1, 0)
		}
		return AppendRequest(nil, rapid.Uint64Max(1<<32-1).Draw(t, "id"), drawRequest(t))
	}, func(buf []byte) (int, int, error) {
		_, progress, err := ParseMessage(buf, 1<<16)
		return progress.Consumed, progress.Needed, err
	})
	m, _, err := ParseMessage(AppendRequest(nil, 7, &Request{Method: "part-page", Txn: 1, TimeoutMillis: 1500, Item: 10, Nth: 3, Batch: 255, CachedTag: "x",
		Body: []byte("abc")}), 1<<16)
	if f := m.Fields; err != nil || m.ID != 7 || string(m.Method) != "part-page" || string(f.Item) != "000000000000000a" ||
		string(f.CachedTag) != "x" || string(f.Timeout) != "1500" || string(f.Nth) != "3" || string(f.Batch) != "255" || string(m.Body) != "abc" {
		t.Errorf("message %+v, error %v", m, err)
	}
}

// A message over the limit must end the connection, not fill the memory.
func TestParseTooLong(t *testing.T) {
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

func TestSkipDepth(t *testing.T) {
	deep := append(appendText([]byte{0x93, byte(KindNotification)}, "x"), []byte("\x91"+strings.Repeat("\x91", 100)+"\x01")...)
	if _, _, err := ParseMessage(deep, 1<<16); err == nil {
		t.Error("lists nested too deep were taken")
	}
}

// Answers as a client reads them: the head up to the body, and the tail behind it.
func TestParseHead(t *testing.T) {
	parsertest.Run(t, func(t *rapid.T) []byte {
		id := rapid.Uint64Max(1<<32-1).Draw(t, "id")
		switch rapid.IntRange(0, 2).Draw(t, "what") {
		case 0:
			return AppendHealthResponse(nil, id, rapid.Bool().Draw(t, "ready"))
		case 1:
			return AppendErrorResponse(nil, id, rapid.StringN(0, 40, 90).Draw(t, "word"), Field{Name: FieldRetryAfter, Value: "500"})
		}
		size := 1 << rapid.IntRange(0, 16).Draw(t, "size")
		all := AppendBodyResponse(nil, id, make([]byte, size))
		return all[:len(all)-size-1] // the tail is an empty map
	}, func(buf []byte) (int, int, error) {
		_, progress, err := ParseResponseHeader(buf, 1<<10, 1<<16)
		return progress.Consumed, progress.Needed, err
	})
	parsertest.Run(t, func(t *rapid.T) []byte {
		return appendFields(nil, []Field{{rapid.StringN(0, 40, 90).Draw(t, "name"), rapid.StringN(0, 300, 900).Draw(t, "value")}})
	}, func(buf []byte) (int, int, error) {
		_, progress, err := ParseResponseTrailer(buf, 1<<10)
		return progress.Consumed, progress.Needed, err
	})
	all := AppendBodyResponse(nil, 9, []byte("abc"), Field{Name: FieldNotModified, Value: "1"})
	h, progress, err := ParseResponseHeader(all, 1<<10, 3)
	if err != nil || h.ID != 9 || h.Kind != ResponseBody || h.BodySize != 3 {
		t.Errorf("head %+v, error %v", h, err)
	}
	if f, _, err := ParseResponseTrailer(all[progress.Consumed+3:], 1<<10); err != nil || !f.IsNotModified() || f.RetryAfterMillis() != 0 {
		t.Errorf("tail %+v, error %v", f, err)
	}
	if _, _, err := ParseResponseHeader(all, 1<<10, 2); err == nil {
		t.Error("a body over the limit was taken")
	}
	h, _, err = ParseResponseHeader(AppendErrorResponse(nil, 9, CodeThrottled, Field{Name: FieldRetryAfter, Value: "250"}), 1<<10, 3)
	if err != nil || h.Kind != ResponseError || string(h.Code) != CodeThrottled || h.Fields.RetryAfterMillis() != 250 {
		t.Errorf("refusal %+v, error %v", h, err)
	}
}
