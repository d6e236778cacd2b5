package admin

import (
	"bytes"
	"errors"
	"strconv"
)

var (
	errMalformed = errors.New("malformed call")
	errTooLong   = errors.New("call over the limit")
)

// request is the request line of an HTTP call. Its slices are of the buffer that it was read from.
type request struct{ method, path []byte }

// progress tells how much of a buffer the parser has used.
type progress struct {
	consumed int // bytes of the complete request with its body; 0: it is not complete yet
	needed   int // bytes that the buffer must hold before the next attempt, as far as known; 0: any more
}

const headerEnd = "\r\n\r\n"

// parseRequest reads the request at the start of buf.
func parseRequest(buf []byte, maxHead, maxBody int) (request, progress, error) {
	end := bytes.Index(buf, []byte(headerEnd))
	if end > maxHead || end < 0 && len(buf) > maxHead {
		return request{}, progress{}, errTooLong
	}
	if end < 0 {
		return request{}, progress{}, nil
	}
	line, head, _ := bytes.Cut(buf[:end], []byte("\r\n"))
	words := bytes.Split(line, []byte(" "))
	if len(words) != 3 || !isToken(words[0]) || len(words[1]) == 0 || words[1][0] != '/' || !bytes.HasPrefix(words[2], []byte("HTTP/1.")) {
		return request{}, progress{}, errMalformed
	}
	path, _, _ := bytes.Cut(words[1], []byte("?"))
	size, err := bodySize(head)
	if err != nil {
		return request{}, progress{}, err
	}
	if size > maxBody {
		return request{}, progress{}, errTooLong
	}
	length := end + len(headerEnd) + size
	if len(buf) < length {
		return request{}, progress{needed: length}, nil
	}
	return request{method: words[0], path: path}, progress{consumed: length}, nil
}

// bodySize reads the length of the body from the headers. Chunked bodies are not supported: no call here needs one.
func bodySize(head []byte) (size int, err error) {
	for more := len(head) > 0; more; {
		var line []byte
		line, head, more = bytes.Cut(head, []byte("\r\n"))
		name, value, ok := bytes.Cut(line, []byte(":"))
		switch {
		case !ok || !isToken(name) || bytes.EqualFold(name, []byte("Transfer-Encoding")):
			return 0, errMalformed
		case bytes.EqualFold(name, []byte("Content-Length")):
			n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 31)
			if err != nil {
				return 0, errMalformed
			}
			size = int(n)
		}
	}
	return size, nil
}

// isToken tells whether a method or the name of a header is well formed.
func isToken(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return len(b) > 0
}
