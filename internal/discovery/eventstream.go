package discovery

import "bytes"

// eventStream parses server-sent events. Its input may be split at any byte.
type eventStream struct {
	maxLine int                         // bytes; the maximum of a line, and of an event's data
	receive func(id, data []byte) error // is called with each event that has data
	partial []byte                      // start of a line whose end was not fed yet
	eventID []byte                      // the latest id; an event without an id has that of the previous event
	data    []byte                      // of the current event
	hasData bool                        // the current event has a data line, which may be empty
	started bool                        // the current event has begun, and is not complete yet
	hasLine bool                        // at least one line was complete
}

// maxRetainedBuffer is the largest capacity, in bytes, of a buffer that is used again. A buffer that grew for the complete
// endpoint list of a large installation is released.
const maxRetainedBuffer = 16 << 10

// atBoundary reports whether the input so far ends between two events, with no incomplete line or event.
func (s *eventStream) atBoundary() bool { return !s.started && len(s.partial) == 0 }

// feed splits the input into lines and parses them. Only a line that is split over several calls is copied. It returns
// errLineTooLong, or the error of receive.
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
		s.hasLine = true
		if err := s.parseLine(bytes.TrimSuffix(line, []byte("\r"))); err != nil {
			return err
		}
		s.partial, buf = reusable(s.partial), rest
	}
	return nil
}

// parseLine parses a line without its end: a field of an event, a comment, or the empty line that ends an event.
func (s *eventStream) parseLine(line []byte) error {
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

// endEvent passes the current event to receive if it has data, and starts the next one.
func (s *eventStream) endEvent() error {
	id, data, hasData := s.eventID, s.data, s.hasData
	s.data, s.hasData, s.started = reusable(s.data), false, false
	if !hasData {
		return nil
	}
	return s.receive(id, data)
}

// addData appends a data line to the current event. If the first data line of an event is long and was collected in
// s.partial, the event takes over that buffer, which saves a copy.
func (s *eventStream) addData(value []byte) error {
	if s.hasData {
		s.data = append(s.data, '\n')
	}
	collected := len(s.partial) >= len(value)
	if collected && !s.hasData && len(value) > maxRetainedBuffer {
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

// reusable returns the buffer with length 0, or nil if it is too large to be kept.
func reusable(buf []byte) []byte {
	if cap(buf) > maxRetainedBuffer {
		return nil
	}
	return buf[:0]
}
