package discovery

import "bytes"

// eventStream reads server-sent events. It is fed what comes in, cut anywhere.
type eventStream struct {
	maxLine int // bytes of a line, and of an event's data
	receive func(id, data []byte) error
	partial []byte // start of a line whose end has not come
	eventID []byte // of the latest event
	data    []byte
	hasData bool // the event has data
	started bool // an event has begun that is not complete yet
}

// maxRetainedBuffer is how large a buffer may be, in bytes, to be used again. One that grew for a complete list of a
// large cluster is released.
const maxRetainedBuffer = 16 << 10

// atBoundary returns whether all that was fed is complete: no line and no event is cut.
func (s *eventStream) atBoundary() bool { return !s.started && len(s.partial) == 0 }

// feed splits into lines. Only a line that is cut is copied.
func (s *eventStream) feed(buf []byte) error {
	for len(buf) > 0 {
		line, rest, complete := bytes.Cut(buf, []byte("\n"))
		if len(s.partial)+len(line) > s.maxLine {
			return errLineTooLong
		}
		if !complete {
			s.partial = append(s.partial, line...)
			return nil
		}
		if len(s.partial) > 0 {
			s.partial = append(s.partial, line...)
			line = s.partial
		}
		if err := s.line(bytes.TrimSuffix(line, []byte("\r"))); err != nil {
			return err
		}
		s.partial, buf = reusable(s.partial), rest
	}
	return nil
}

// line reads a line: a field of an event, a comment, or the empty line that ends an event.
func (s *eventStream) line(line []byte) error {
	if len(line) == 0 {
		return s.endEvent()
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	s.started = s.started || len(name) > 0 // a line without a name is a comment
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		s.eventID = append(s.eventID[:0], value...)
	case "data":
		return s.addData(value)
	}
	return nil
}

// endEvent hands the event on, if it has data.
func (s *eventStream) endEvent() error {
	id, data, hasData := s.eventID, s.data, s.hasData
	s.data, s.hasData, s.started = reusable(s.data), false, false
	if !hasData {
		return nil
	}
	return s.receive(id, data)
}

// addData adds a line of data to the event. A long one that is the event's first is taken over with the buffer that it
// was gathered in, and not copied.
func (s *eventStream) addData(value []byte) error {
	if s.hasData {
		s.data = append(s.data, '\n')
	}
	gathered := len(s.partial) >= len(value)
	if gathered && !s.hasData && len(value) > maxRetainedBuffer {
		s.data, s.partial = value, nil
	} else {
		s.data = append(s.data, value...)
	}
	s.hasData = true
	if len(s.data) > s.maxLine {
		return errLineTooLong
	}
	return nil
}

// reusable returns a buffer emptied, or nil where it is too large to be kept.
func reusable(buf []byte) []byte {
	if cap(buf) > maxRetainedBuffer {
		return nil
	}
	return buf[:0]
}
