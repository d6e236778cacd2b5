package handover

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// version is of the messages and of what is in them. A process that meets another version takes nothing over.
const version = 2

// The kinds of messages.
const (
	kindTake  = "TAKE"  // a successor is starting
	kindAt    = "AT"    // the answer: the predecessor's position in the event log of discovery
	kindReady = "READY" // the successor is about to take clients
	kindState = "STATE" // the answer: the predecessor's State
)

var (
	errMalformed = errors.New("malformed message")
	errTooLong   = errors.New("message over the limit")
)

// message is KIND VERSION LENGTH, a line feed, and a body of so many bytes. Its slices are of the buffer it was
// read from.
type message struct {
	kind    []byte
	version uint64
	body    []byte
}

// progress is how far a parser came: the length of the message that it read, or 0 where that is not complete, and
// then the length that it has, as far as that is known.
type progress struct{ consumed, needed int }

// maxHeader is the most bytes that may stand before the line feed.
const maxHeader = 64

// parseMessage reads the message at the start of buf. A body may have maxBody bytes.
func parseMessage(buf []byte, maxBody int) (message, progress, error) {
	end := bytes.IndexByte(buf, '\n')
	if end > maxHeader || end < 0 && len(buf) > maxHeader {
		return message{}, progress{}, errTooLong
	}
	if end < 0 {
		return message{}, progress{}, nil
	}
	m, size, err := parseHeader(buf[:end])
	if err != nil {
		return message{}, progress{}, err
	}
	if size > uint64(maxBody) {
		return message{}, progress{}, errTooLong
	}
	length := end + 1 + int(size)
	if len(buf) < length {
		return message{}, progress{needed: length}, nil
	}
	m.body = buf[end+1 : length : length]
	return m, progress{consumed: length}, nil
}

// parseHeader reads the line before a body. It returns the message without its body, and the body's length.
func parseHeader(line []byte) (m message, size uint64, err error) {
	fields := bytes.Split(line, []byte(" "))
	if len(fields) != 3 || len(fields[0]) == 0 {
		return message{}, 0, errMalformed
	}
	m.kind = fields[0]
	if m.version, err = strconv.ParseUint(string(fields[1]), 10, 16); err != nil {
		return message{}, 0, errMalformed
	}
	if size, err = strconv.ParseUint(string(fields[2]), 10, 31); err != nil {
		return message{}, 0, errMalformed
	}
	return m, size, nil
}

// appendMessage appends a message of this version to b.
func appendMessage(b []byte, kind string, body []byte) []byte {
	return append(fmt.Appendf(b, "%s %d %d\n", kind, version, len(body)), body...)
}
