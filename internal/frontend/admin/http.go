package admin

import (
	"bytes"
	"errors"
	"strconv"
)

var (
	errBad     = errors.New("malformed call")
	errTooLong = errors.New("call over the limit")
)

// call is an HTTP call. Its slices are of the buffer that it was read from.
type call struct{ method, path []byte }

// parse reads the call at the start of buf. It returns its length with its body, or 0 where it is not whole yet,
// with the length that is needed, as far as that is known.
func parse(buf []byte, maxHead, maxBody int) (c call, n, want int, err error) {
	end := bytes.Index(buf, []byte("\r\n\r\n"))
	if end > maxHead || end < 0 && len(buf) > maxHead {
		return call{}, 0, 0, errTooLong
	}
	if end < 0 {
		return call{}, 0, 0, nil
	}
	line, head, _ := bytes.Cut(buf[:end], []byte("\r\n"))
	words := bytes.Split(line, []byte(" "))
	if len(words) != 3 || !token(words[0]) || len(words[1]) == 0 || words[1][0] != '/' || !bytes.HasPrefix(words[2], []byte("HTTP/1.")) {
		return call{}, 0, 0, errBad
	}
	c.method = words[0]
	c.path, _, _ = bytes.Cut(words[1], []byte("?"))
	size, err := bodySize(head)
	if err != nil {
		return call{}, 0, 0, err
	}
	if size > maxBody {
		return call{}, 0, 0, errTooLong
	}
	if n = end + 4 + size; len(buf) < n {
		return call{}, 0, n, nil
	}
	return c, n, 0, nil
}

// bodySize reads the headers for the length of the body. A body in chunks is not taken: no call here needs one.
func bodySize(head []byte) (size int, err error) {
	for more := len(head) > 0; more; {
		var line []byte
		line, head, more = bytes.Cut(head, []byte("\r\n"))
		name, value, ok := bytes.Cut(line, []byte(":"))
		switch {
		case !ok || !token(name) || bytes.EqualFold(name, []byte("Transfer-Encoding")):
			return 0, errBad
		case bytes.EqualFold(name, []byte("Content-Length")):
			n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 31)
			if err != nil {
				return 0, errBad
			}
			size = int(n)
		}
	}
	return size, nil
}

// token tells whether a method or the name of a header is well formed.
func token(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return len(b) > 0
}
