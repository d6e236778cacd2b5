// Package rpc is the MessagePack-RPC that clients and routers speak: what a router reads and answers, and what a
// client asks and reads. It holds no state and does no I/O; what it returns are slices of the buffer that it read.
package rpc

import (
	"encoding/binary"
	"errors"
	"math"
	"strconv"
)

// errShort says that the message is not whole yet; every other error, that it never will be a message.
var (
	errShort = errors.New("message is cut")
	// ErrMalformed says that the bytes are no message and never will be one.
	ErrMalformed = errors.New("malformed message")
)

// MessageKind is the first element of each message.
type MessageKind uint64

// The kinds of messages.
const (
	KindRequest      MessageKind = 0
	KindResponse     MessageKind = 1
	KindNotification MessageKind = 2
)

const maxDepth = 8 // of what is skipped

// Message is a call or a notification. Its slices are of the buffer that it was read from.
type Message struct {
	Kind   MessageKind
	ID     uint64
	Method []byte
	Params int // how many there are
	Fields Fields
	Body   []byte
	IDs    []uint64 // whole numbers among the parameters
}

// Fields are the known fields of a call and, the last two, of an answer.
type Fields struct {
	Txn, Timeout, Item, Nth, Batch, CachedTag, Retry, IdempotencyKey, ResumedTxn, Account, NotModified, RetryAfter, Reason []byte
}

// The names of the fields of responses.
const (
	FieldNotModified = "ok304"  // "1": the copy that the client holds is current
	FieldRetryAfter  = "later"  // milliseconds for which a rejected client is to wait
	FieldReason      = "reason" // why a request was rejected; none: load
)

func (f *Fields) slot(name []byte) *[]byte {
	switch string(name) {
	case "txn":
		return &f.Txn
	case "limit":
		return &f.Timeout
	case "item":
		return &f.Item
	case "nth":
		return &f.Nth
	case "batch":
		return &f.Batch
	case "got":
		return &f.CachedTag
	case "second":
		return &f.Retry
	case "unique":
		return &f.IdempotencyKey
	case "resumes":
		return &f.ResumedTxn
	case "account":
		return &f.Account
	case FieldReason:
		return &f.Reason
	case FieldNotModified:
		return &f.NotModified
	case FieldRetryAfter:
		return &f.RetryAfter
	}
	return nil
}

// ParseMessage reads the message at the start of buf. It returns its length, or 0 where it is not whole yet, with
// the length that is needed, as far as that is known.
func ParseMessage(buf []byte, max int) (Message, Progress, error) {
	d := decoder{b: buf}
	var m Message
	progress, err := d.end(max, d.message(&m))
	if progress.Consumed == 0 {
		m = Message{}
	}
	return m, progress, err
}

// Progress tells how much of a buffer a parser has used.
type Progress struct {
	Consumed int // bytes of the complete value; 0: the value is not complete yet
	Needed   int // bytes that the buffer must hold before the next attempt, as far as known; 0: any more
}

// decoder reads MessagePack from a buffer that may end anywhere.
type decoder struct {
	b    []byte
	i    int
	want int
}

func (d *decoder) message(m *Message) error {
	n, err := d.list()
	if err != nil {
		return err
	}
	kind, err := d.uint()
	if err != nil {
		return err
	}
	m.Kind = MessageKind(kind)
	switch {
	case m.Kind == KindRequest && n == 4:
		if m.ID, err = d.uint(); err == nil && m.ID > math.MaxUint32 {
			err = ErrMalformed
		}
		if err != nil {
			return err
		}
	case m.Kind == KindNotification && n == 3:
	default:
		return ErrMalformed
	}
	if m.Method, err = d.bytes(); err != nil {
		return err
	}
	if m.Params, err = d.list(); err != nil {
		return err
	}
	for range m.Params {
		if err := d.param(m); err != nil {
			return err
		}
	}
	return nil
}

// param reads one parameter: a map holds fields, bytes are the body.
func (d *decoder) param(m *Message) error {
	c, err := d.peek()
	switch {
	case err != nil:
		return err
	case c&0xf0 == 0x80, c == 0xde, c == 0xdf:
		return d.fields(&m.Fields)
	case c&0xe0 == 0xa0, c >= 0xc4 && c <= 0xc6, c >= 0xd9 && c <= 0xdb:
		m.Body, err = d.bytes()
		return err
	case c < 0x80, c >= 0xcc && c <= 0xcf:
		id, err := d.uint()
		m.IDs = append(m.IDs, id)
		return err
	}
	return d.skip(maxDepth)
}

// fields reads a map and puts the values that have a slot there.
func (d *decoder) fields(f *Fields) error {
	n, err := d.count(0x80, 0x0f, 0xde, 0xdf)
	if err != nil {
		return err
	}
	for range n {
		name, err := d.bytes()
		if err != nil {
			return err
		}
		slot := f.slot(name)
		if slot == nil {
			err = d.skip(maxDepth)
		} else {
			*slot, err = d.bytes()
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (d *decoder) peek() (byte, error) {
	if d.i >= len(d.b) {
		d.want = d.i + 1
		return 0, errShort
	}
	return d.b[d.i], nil
}

func (d *decoder) next(n int) ([]byte, error) {
	if n > len(d.b)-d.i {
		d.want = d.i + n
		return nil, errShort
	}
	d.i += n
	return d.b[d.i-n : d.i : d.i], nil
}

// be reads a number of n bytes, the highest first.
func (d *decoder) be(n int) (uint64, error) {
	b, err := d.next(n)
	if err != nil {
		return 0, err
	}
	var wide [8]byte
	copy(wide[8-n:], b)
	return binary.BigEndian.Uint64(wide[:]), nil
}

func (d *decoder) uint() (uint64, error) {
	c, err := d.peek()
	switch {
	case err != nil:
		return 0, err
	case c < 0x80:
		d.i++
		return uint64(c), nil
	case c >= 0xcc && c <= 0xcf:
		d.i++
		return d.be(1 << (c - 0xcc))
	}
	return 0, ErrMalformed
}

// count reads the head of a list or a map: a short form under a mask, or 2 or 4 bytes.
func (d *decoder) count(short, mask, two, four byte) (int, error) {
	c, err := d.peek()
	if err != nil {
		return 0, err
	}
	d.i++
	n, size := uint64(c&mask), 0
	switch {
	case c == two:
		size = 2
	case c == four:
		size = 4
	case c&^mask != short:
		return 0, ErrMalformed
	}
	return d.length(n, size)
}

// length is n, or where that has bytes of its own what they say, if it can be one.
func (d *decoder) length(n uint64, size int) (_ int, err error) {
	if size > 0 {
		if n, err = d.be(size); err != nil {
			return 0, err
		}
	}
	if n > math.MaxInt32 {
		return 0, ErrMalformed
	}
	return int(n), nil
}

func (d *decoder) list() (int, error) { return d.count(0x90, 0x0f, 0xdc, 0xdd) }

// bytes reads a string or bytes, which clients' libraries don't always tell apart.
func (d *decoder) bytes() ([]byte, error) {
	n, err := d.size()
	if err != nil {
		return nil, err
	}
	return d.next(n)
}

// size reads the head of a string or of bytes.
func (d *decoder) size() (int, error) {
	c, err := d.peek()
	if err != nil {
		return 0, err
	}
	d.i++
	n, size := uint64(c&0x1f), 0
	switch {
	case c&0xe0 == 0xa0:
	case c >= 0xc4 && c <= 0xc6:
		size = 1 << (c - 0xc4)
	case c >= 0xd9 && c <= 0xdb:
		size = 1 << (c - 0xd9)
	default:
		return 0, ErrMalformed
	}
	return d.length(n, size)
}

// skip passes over any value.
func (d *decoder) skip(depth int) error {
	c, err := d.peek()
	if err != nil {
		return err
	}
	if depth == 0 {
		return ErrMalformed
	}
	values, size := 0, 0
	switch {
	case c < 0x80 || c >= 0xe0 || c == 0xc0 || c == 0xc2 || c == 0xc3:
		size = 1
	case c&0xf0 == 0x80, c == 0xde, c == 0xdf:
		values, err = d.count(0x80, 0x0f, 0xde, 0xdf)
		values *= 2
	case c&0xf0 == 0x90, c == 0xdc, c == 0xdd:
		values, err = d.list()
	case c == 0xca, c == 0xcb:
		size = 1 + 4<<(c-0xca)
	case c >= 0xcc && c <= 0xcf:
		size = 1 + 1<<(c-0xcc)
	case c >= 0xd0 && c <= 0xd3:
		size = 1 + 1<<(c-0xd0)
	case c >= 0xd4 && c <= 0xd8:
		size = 2 + 1<<(c-0xd4)
	case c >= 0xc7 && c <= 0xc9:
		d.i++
		var n uint64
		if n, err = d.be(1 << (c - 0xc7)); n > math.MaxInt32 {
			err = ErrMalformed
		}
		size = int(n) + 1
	case c == 0xc1:
		err = ErrMalformed
	default:
		_, err = d.bytes()
	}
	if err == nil && size > 0 {
		_, err = d.next(size)
	}
	for i := 0; i < values && err == nil; i++ {
		err = d.skip(depth - 1)
	}
	return err
}

// ---- Encoding ----

func appendUint(b []byte, v uint64) []byte {
	switch {
	case v < 0x80:
		return append(b, byte(v))
	case v <= math.MaxUint8:
		return append(b, 0xcc, byte(v))
	case v <= math.MaxUint16:
		return binary.BigEndian.AppendUint16(append(b, 0xcd), uint16(v))
	case v <= math.MaxUint32:
		return binary.BigEndian.AppendUint32(append(b, 0xce), uint32(v))
	}
	return binary.BigEndian.AppendUint64(append(b, 0xcf), v)
}

func appendText(b []byte, s string) []byte {
	if len(s) < 32 {
		return append(append(b, 0xa0|byte(len(s))), s...)
	}
	return append(binary.BigEndian.AppendUint16(append(b, 0xda), uint16(len(s))), s...)
}

// appendBinHead appends the head of n bytes, which are to follow.
func appendBinHead(b []byte, n int) []byte {
	switch {
	case n <= math.MaxUint8:
		return append(b, 0xc4, byte(n))
	case n <= math.MaxUint16:
		return binary.BigEndian.AppendUint16(append(b, 0xc5), uint16(n))
	}
	return binary.BigEndian.AppendUint32(append(b, 0xc6), uint32(n))
}

// Field is one named value beside the body or the error code of a response.
type Field struct{ Name, Value string }

// appendFields appends a map of at most 15 fields.
func appendFields(b []byte, fields []Field) []byte {
	b = append(b, 0x80|byte(len(fields)))
	for _, field := range fields {
		b = appendText(appendText(b, field.Name), field.Value)
	}
	return b
}

// appendHead appends the start of an answer up to its id; error and result follow.
func appendHead(b []byte, id uint64) []byte {
	return appendUint(append(b, 0x94, byte(KindResponse)), id)
}

// AppendBodyResponse appends the response to a request that was served: its body, and at most 15 fields.
func AppendBodyResponse(b []byte, id uint64, body []byte, fields ...Field) []byte {
	b = appendBinHead(append(appendHead(b, id), 0xc0, 0x92), len(body))
	return appendFields(append(b, body...), fields)
}

// AppendErrorResponse appends the response to a request that was not served: an error code, and at most 15 fields.
func AppendErrorResponse(b []byte, id uint64, code string, fields ...Field) []byte {
	b = appendFields(appendText(append(appendHead(b, id), 0x92), code), fields)
	return append(b, 0xc0)
}

// AppendThrottledResponse appends the response to a request that was rejected and never ran. The client is to wait for
// retryAfter milliseconds; 0 names no time. An empty reason stands for load.
func AppendThrottledResponse(b []byte, id uint64, retryAfter int64, reason string) []byte {
	var fields [2]Field
	count := 0
	if retryAfter > 0 {
		fields[count] = Field{FieldRetryAfter, strconv.FormatInt(retryAfter, 10)}
		count++
	}
	if reason != "" {
		fields[count] = Field{FieldReason, reason}
		count++
	}
	return AppendErrorResponse(b, id, CodeThrottled, fields[:count]...)
}

// AppendHealthResponse appends the answer to a call for health.
func AppendHealthResponse(b []byte, id uint64, ok bool) []byte {
	b = append(appendHead(b, id), 0xc0, 0x92, 0xc2)
	if ok {
		b[len(b)-1] = 0xc3
	}
	return append(b, 0x80)
}
