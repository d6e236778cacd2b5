package msgrpc

import (
	"bytes"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"hillknot/internal/parsetest"
)

// appendCall builds a client's call with the encoders of the answers.
func appendCall(id uint64, method string, fields map[string]string, body []byte) []byte {
	b := appendText(appendUint([]byte{0x94, callKind}, id), method)
	b = append(b, 0x92, 0xde, 0, byte(len(fields)))
	for k, v := range fields {
		b = appendText(appendText(b, k), v)
	}
	return append(appendBinHead(b, len(body)), body...)
}

func TestParse(t *testing.T) {
	text := rapid.StringN(0, 40, 90)
	parsetest.Run(t, func(t *rapid.T) []byte {
		if rapid.Bool().Draw(t, "cancel") {
			return append(appendText([]byte{0x93, noticeKind}, "cancel"), 0x92, 7, 0xcd, 1, 0)
		}
		fields := map[string]string{"txn": text.Draw(t, "txn"), "new": text.Draw(t, "new")}
		return appendCall(rapid.Uint64Max(1<<32-1).Draw(t, "id"), text.Draw(t, "method"), fields,
			rapid.SliceOfN(rapid.Byte(), 0, 400).Draw(t, "body"))
	}, func(buf []byte) (int, int, error) {
		_, n, want, err := parse(buf, 1<<16)
		return n, want, err
	})
	m, _, _, err := parse(appendCall(7, "part-page", map[string]string{"item": "0a", "got": "x"}, []byte("abc")), 1<<16)
	if err != nil || m.id != 7 || string(m.method) != "part-page" || string(m.fields.item) != "0a" ||
		string(m.fields.got) != "x" || string(m.body) != "abc" {
		t.Errorf("message %+v, error %v", m, err)
	}
}

// A message over the limit must end the connection, not fill the memory.
func TestParseTooLong(t *testing.T) {
	head := appendCall(7, "a", nil, nil)
	for _, buf := range [][]byte{
		append(head[:len(head)-2], 0xc6, 0x7f, 0xff, 0xff, 0xff),
		append(head[:len(head)-2], 0xc6, 0xff, 0xff, 0xff, 0xff),
		bytes.Repeat([]byte{0x91}, 100),
	} {
		if _, _, _, err := parse(buf, 99); err == nil {
			t.Errorf("%x: no error", buf)
		}
	}
}

func TestSkipDepth(t *testing.T) {
	deep := append(appendText([]byte{0x93, noticeKind}, "x"), []byte("\x91"+strings.Repeat("\x91", 100)+"\x01")...)
	if _, _, _, err := parse(deep, 1<<16); err == nil {
		t.Error("lists nested too deep were taken")
	}
}
