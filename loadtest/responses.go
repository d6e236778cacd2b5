package loadtest

import (
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"hillknot/internal/rpc"
)

const (
	maxResponseHeader = 4 << 10   // bytes
	maxResponseBody   = 64 << 10  // bytes
	responseBuffer    = 256 << 10 // bytes, for several responses
	exchangeBuffer    = 64 << 10  // bytes, for one response
)

// readResponses calls handle with the header of each response on a connection, until the connection ends or data arrives that
// is not a response. It returns the error that ended it.
func readResponses(conn net.Conn, handle func(rpc.ResponseHeader)) error {
	buf := make([]byte, 0, responseBuffer)
	for {
		n, err := conn.Read(buf[len(buf):cap(buf)])
		if err != nil {
			return err
		}
		buf = buf[:len(buf)+n]
		for {
			header, size, err := parseResponse(buf)
			if err != nil {
				return err
			}
			if size == 0 {
				break
			}
			handle(header)
			buf = buf[:copy(buf, buf[size:])]
		}
	}
}

// parseResponse parses the response at the start of a buffer. The size is 0 if the response is not complete.
func parseResponse(buf []byte) (header rpc.ResponseHeader, size int, err error) {
	header, progress, err := rpc.ParseResponseHeader(buf, maxResponseHeader, maxResponseBody)
	if err != nil || progress.Consumed == 0 || header.Kind != rpc.ResponseBody {
		return header, progress.Consumed, err
	}
	bodyEnd := progress.Consumed + header.BodySize
	if len(buf) < bodyEnd {
		return header, 0, nil
	}
	_, trailer, err := rpc.ParseResponseTrailer(buf[bodyEnd:], maxResponseHeader)
	if err != nil || trailer.Consumed == 0 {
		return header, 0, err
	}
	return header, bodyEnd + trailer.Consumed, nil
}

// errRejected means that a router rejected a request.
var errRejected = errors.New("rejected")

// errorCode is the error code of a response.
type errorCode string

// Error implements error.
func (c errorCode) Error() string { return "failed: " + string(c) }

// responseError returns the error that a response reports, or nil if it serves its request.
func responseError(header rpc.ResponseHeader) error {
	switch {
	case header.Kind == rpc.ResponseBody:
		return nil
	case string(header.Code) == rpc.CodeThrottled:
		return errRejected
	}
	return errorCode(header.Code)
}

// exchange sends a request on a connection on which nothing else is in flight, and returns the header of the response.
func exchange(conn net.Conn, request *rpc.Request, deadline time.Time) (rpc.ResponseHeader, error) {
	if err := conn.SetDeadline(deadline); err != nil {
		return rpc.ResponseHeader{}, err
	}
	if _, err := conn.Write(rpc.AppendRequest(nil, 1, request)); err != nil {
		return rpc.ResponseHeader{}, err
	}
	buf := make([]byte, 0, exchangeBuffer)
	for len(buf) < cap(buf) {
		n, err := conn.Read(buf[len(buf):cap(buf)])
		if err != nil {
			return rpc.ResponseHeader{}, err
		}
		buf = buf[:len(buf)+n]
		header, size, err := parseResponse(buf)
		if err != nil || size > 0 {
			return header, err
		}
	}
	return rpc.ResponseHeader{}, io.ErrShortBuffer
}

// objectName returns the name under which endpoints know an item.
func objectName(item uint64) string { return fmt.Sprintf("%016x", item) }
