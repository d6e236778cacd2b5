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

// request holds the method and the path of an HTTP request. Its slices point into the buffer that it was read from.
type request struct{ method, path []byte }

// progress reports how much of a buffer the parser has used.
type progress struct {
	consumed int // length of the request with its body in bytes; 0: the request is incomplete
	needed   int // bytes that the buffer must hold before the next attempt, as far as known; 0: at least one more byte
}

// headerEnd ends the headers of a request.
const headerEnd = "\r\n\r\n"

// parseRequest reads the request at the start of buf. The request line and the headers may have maxHead bytes, the body
// maxBody bytes.
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

// bodySize returns the length of the body in bytes, from the headers. Chunked bodies are malformed, as no request to this
// server needs one.
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

// isToken reports whether the name of a method or a header is well formed.
func isToken(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return len(b) > 0
}
