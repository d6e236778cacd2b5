package handover

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// version is the version of the messages and their content. Between processes of different versions, nothing is taken over.
const version = 2

// The kinds of messages.
const (
	kindTake  = "TAKE"  // a successor is starting
	kindAt    = "AT"    // the answer to TAKE: the predecessor's position in the event log of discovery
	kindReady = "READY" // the successor is about to accept clients
	kindState = "STATE" // the answer to READY: the predecessor's State

	// These are sent only if the predecessor's State has RequestIDs, as those of earlier releases have not.
	kindFollow = "FOLLOW" // the successor is to be sent the ids of later requests
	kindSent   = "SENT"   // the predecessor has sent a request, whose id is the body
)

var (
	errMalformed = errors.New("malformed message")
	errTooLong   = errors.New("message over the limit")
)

// message is a message of the form KIND VERSION LENGTH, a line feed, and a body of LENGTH bytes. Its slices point into the
// buffer that it was read from.
type message struct {
	kind    []byte
	version uint64
	body    []byte
}

// progress reports how much of a buffer a parser has used. consumed is the length of the message in bytes, or 0 if the
// message is incomplete. In that case needed is its length, or 0 if that is not known yet.
type progress struct{ consumed, needed int }

// maxHeader is the largest number of bytes before the line feed.
const maxHeader = 64

// parseMessage reads the message at the start of buf. Its body may have at most maxBody bytes.
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

// parseHeader reads the line that precedes a body. It returns the message without its body, and the length of the body in
// bytes.
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
