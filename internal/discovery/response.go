package discovery

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

var (
	errMalformedResponse = errors.New("malformed HTTP response")
	errLineTooLong       = errors.New("line exceeds the size limit")
)

// statusError is an HTTP status other than 200.
type statusError string

func (e statusError) Error() string { return fmt.Sprintf("HTTP status %q", string(e)) }

// response parses an HTTP/1.1 response whose body is an event stream. The body is chunked, or extends to the end of the
// connection. The input may be split at any byte.
type response struct {
	maxLine        int // bytes; the maximum of the status line with the headers, and of a line of the body
	state          responseState
	chunkRemaining int // bytes left of the current chunk, including its final line end; 0: a chunk size follows
	events         eventStream
}

// responseState is the part of the response that comes next.
type responseState uint8

const (
	readingHeader responseState = iota
	readingPlainBody
	readingChunks
)

const (
	crlf = "\r\n"

	maxChunkHeader = 64 // bytes of the line with a chunk size and its extensions
	maxChunkBits   = 30 // bits of a chunk size
)

// newResponse returns a parser that calls receive with each event. maxLine is in bytes.
func newResponse(maxLine int, receive func(id, data []byte) error) response {
	return response{maxLine: maxLine, events: eventStream{maxLine: maxLine, receive: receive}}
}

// consume parses as much of the input as is complete, and returns the number of bytes used. An error ends the response.
func (r *response) consume(buf []byte) (int, error) {
	used := 0
	if r.state == readingHeader {
		n, err := r.readHeader(buf)
		if err != nil || n == 0 {
			return 0, err
		}
		used = n
	}
	if r.state == readingPlainBody {
		return len(buf), r.events.feed(buf[used:])
	}
	for used < len(buf) {
		n, err := r.readChunkPart(buf[used:])
		used += n
		if err != nil || n == 0 {
			return used, err
		}
	}
	return used, nil
}

// readHeader parses the status line and the headers, and returns their length in bytes; 0 if they are not complete yet.
func (r *response) readHeader(buf []byte) (int, error) {
	end := bytes.Index(buf, []byte(crlf+crlf))
	if end < 0 {
		if len(buf) > r.maxLine {
			return 0, errLineTooLong
		}
		return 0, nil
	}
	status, headers, _ := bytes.Cut(buf[:end], []byte(crlf))
	if err := checkStatus(status); err != nil {
		return 0, err
	}
	r.state = readingPlainBody
	for line := range bytes.SplitSeq(headers, []byte(crlf)) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		if !bytes.EqualFold(name, []byte("Transfer-Encoding")) {
			continue
		}
		r.state = readingPlainBody
		if bytes.EqualFold(bytes.TrimSpace(value), []byte("chunked")) {
			r.state = readingChunks
		}
	}
	return end + len(crlf+crlf), nil
}

// checkStatus returns an error unless the status line is that of a successful response.
func checkStatus(line []byte) error {
	fields := bytes.Fields(line)
	if len(fields) < 2 || !bytes.HasPrefix(fields[0], []byte("HTTP/1.")) {
		return errMalformedResponse
	}
	if string(fields[1]) != "200" {
		return statusError(fields[1])
	}
	return nil
}

// readChunkPart parses the size of a chunk, or the available part of its data, and returns the number of bytes used; 0 if
// the line with the size is not complete yet.
func (r *response) readChunkPart(buf []byte) (int, error) {
	if r.chunkRemaining == 0 {
		return r.readChunkSize(buf)
	}
	n := min(len(buf), r.chunkRemaining)
	r.chunkRemaining -= n
	data := buf[:n]
	if r.chunkRemaining < len(crlf) { // buf reaches into the line end that follows the data
		data = data[:max(n-(len(crlf)-r.chunkRemaining), 0)]
	}
	return n, r.events.feed(data)
}

// readChunkSize parses the line with the size of a chunk, and returns its length in bytes; 0 if it is not complete yet.
func (r *response) readChunkSize(buf []byte) (int, error) {
	end := bytes.IndexByte(buf, '\n')
	if end < 0 {
		if len(buf) > maxChunkHeader {
			return 0, errMalformedResponse
		}
		return 0, nil
	}
	digits, _, _ := bytes.Cut(bytes.TrimSpace(buf[:end]), []byte(";"))
	size, err := strconv.ParseUint(string(digits), 16, maxChunkBits)
	if err != nil || size == 0 { // size 0 ends the response: the watcher must connect again
		return 0, errMalformedResponse
	}
	r.chunkRemaining = int(size) + len(crlf)
	return end + 1, nil
}
