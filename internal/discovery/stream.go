package discovery

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

var (
	errGarbled = errors.New("garbled answer")
	errTooLong = errors.New("line over the limit")
)

// stream reads an HTTP answer that carries server-sent events, in chunks or up to the end of the
// connection. It is fed what comes in, cut anywhere.
type stream struct {
	max     int // bytes of a line
	event   func(id, data []byte) error
	body    bool
	chunked bool
	chunk   int    // bytes left of this chunk, with its line end; 0: a size follows
	cut     []byte // start of a line whose end has not come
	id      []byte
	data    []byte
	some    bool // the event has data
	begun   bool // an event has begun that is not whole yet
}

// between tells whether all that was taken is whole: no line and no event is cut.
func (s *stream) between() bool { return !s.begun && len(s.cut) == 0 }

// take uses up what it can and returns how much that was.
func (s *stream) take(buf []byte) (used int, err error) {
	if !s.body {
		n, err := s.head(buf)
		if err != nil || n == 0 {
			return 0, err
		}
		used, s.body = n, true
	}
	if !s.chunked {
		return len(buf), s.feed(buf[used:])
	}
	for used < len(buf) {
		if s.chunk == 0 {
			n := bytes.IndexByte(buf[used:], '\n')
			if n < 0 {
				if len(buf)-used > 64 {
					return used, errGarbled
				}
				return used, nil
			}
			size, _, _ := bytes.Cut(bytes.TrimSpace(buf[used:used+n]), []byte(";"))
			v, err := strconv.ParseUint(string(size), 16, 30)
			if err != nil || v == 0 { // 0 ends the answer: it must be asked for anew
				return used, errGarbled
			}
			used, s.chunk = used+n+1, int(v)+2
		}
		n := min(len(buf)-used, s.chunk)
		data := buf[used : used+n]
		if over := s.chunk - n; over < 2 { // the last two are the chunk's line end
			data = data[:max(n-(2-over), 0)]
		}
		used, s.chunk = used+n, s.chunk-n
		if err := s.feed(data); err != nil {
			return used, err
		}
	}
	return used, nil
}

// head reads the status line and the headers.
func (s *stream) head(buf []byte) (int, error) {
	end := bytes.Index(buf, []byte("\r\n\r\n"))
	if end < 0 {
		if len(buf) > s.max {
			return 0, errTooLong
		}
		return 0, nil
	}
	status, rest, _ := bytes.Cut(buf[:end], []byte("\r\n"))
	f := bytes.Fields(status)
	if len(f) < 2 || !bytes.HasPrefix(f[0], []byte("HTTP/1.")) {
		return 0, errGarbled
	}
	if string(f[1]) != "200" {
		return 0, fmt.Errorf("status %q", f[1])
	}
	for line := range bytes.SplitSeq(rest, []byte("\r\n")) {
		k, v, _ := bytes.Cut(line, []byte(":"))
		if bytes.EqualFold(k, []byte("Transfer-Encoding")) {
			s.chunked = bytes.EqualFold(bytes.TrimSpace(v), []byte("chunked"))
		}
	}
	return end + 4, nil
}

// feed splits into lines. Only a line that is cut is copied.
func (s *stream) feed(b []byte) error {
	for len(b) > 0 {
		line, rest, whole := bytes.Cut(b, []byte("\n"))
		if len(s.cut)+len(line) > s.max {
			return errTooLong
		}
		if !whole {
			s.cut = append(s.cut, line...)
			return nil
		}
		if len(s.cut) > 0 {
			s.cut = append(s.cut, line...)
			line = s.cut
		}
		if err := s.line(bytes.TrimSuffix(line, []byte("\r"))); err != nil {
			return err
		}
		s.cut, b = emptied(s.cut), rest
	}
	return nil
}

// takeData adds a line of data to the event. A long one that is an event's first is taken over with the buffer that it was
// gathered in, and not copied.
func (s *stream) takeData(value []byte) {
	if gathered := len(s.cut) >= len(value); gathered && !s.some && len(value) > keptBuffer {
		s.data, s.cut = value, nil
	} else {
		s.data = append(s.data, value...)
	}
	s.some = true
}

// emptied returns a buffer to be used again. One that grew for a whole list of a large fleet is not kept.
func emptied(buf []byte) []byte {
	if cap(buf) > keptBuffer {
		return nil
	}
	return buf[:0]
}

const keptBuffer = 16 << 10

func (s *stream) line(l []byte) error {
	if len(l) == 0 {
		id, data, some := s.id, s.data, s.some
		s.data, s.some, s.begun = emptied(s.data), false, false
		if !some {
			return nil
		}
		return s.event(id, data)
	}
	name, value, _ := bytes.Cut(l, []byte(":"))
	s.begun = s.begun || len(name) > 0 // a line without a name is a comment
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		s.id = append(s.id[:0], value...)
	case "data":
		if s.some {
			s.data = append(s.data, '\n')
		}
		s.takeData(value)
		if len(s.data) > s.max {
			return errTooLong
		}
	}
	return nil
}
