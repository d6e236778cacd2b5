package client

import (
	"errors"
	"io"

	"hillknot/internal/rpc"
)

const (
	maxHeaderBytes  = 4 << 10  // maximum size of a response without its body
	readBufferBytes = 16 << 10 // size of the read buffer
)

// responseReader reads the responses of one connection. It belongs to the connection's goroutine.
type responseReader struct {
	conn   *routerConn
	buffer []byte
	unread []byte // part of buffer that was read from the connection but not parsed yet
}

// run reads responses until the connection ends, and returns why.
func (r *responseReader) run() error {
	for {
		if err := r.parseBuffered(); err != nil {
			return err
		}
		n, err := r.fill()
		if n > 0 {
			r.conn.reportBytesReceived()
		} else if err != nil {
			return err
		}
	}
}

// fill reads once into the buffer, after the unread bytes. As with io.Reader, bytes may come with an error.
func (r *responseReader) fill() (n int, err error) {
	kept := copy(r.buffer, r.unread)
	n, err = r.conn.netConn.Read(r.buffer[kept:])
	r.unread = r.buffer[:kept+n]
	return n, err
}

// parseBuffered handles the responses in the buffer. It reads from the connection only to complete a response with a
// body.
func (r *responseReader) parseBuffered() error {
	for len(r.unread) > 0 {
		header, progress, err := rpc.ParseResponseHeader(r.unread, maxHeaderBytes, r.conn.client.config.MaxAnswer)
		if err != nil {
			return err
		}
		if progress.Consumed == 0 {
			return nil
		}
		r.unread = r.unread[progress.Consumed:]
		var body []byte
		if header.Kind == rpc.ResponseBody {
			if body, err = r.readBody(&header); err != nil {
				return err
			}
		}
		if err := r.conn.handleResponse(header, body); err != nil {
			return err
		}
	}
	return nil
}

// readBody reads the body of a response, and stores the fields that follow the body in the header.
func (r *responseReader) readBody(header *rpc.ResponseHeader) ([]byte, error) {
	call, err := r.conn.beginResponse(header.ID)
	if err != nil {
		return nil, err
	}
	body := make([]byte, header.BodySize) // at most Config.MaxAnswer, as ParseResponseHeader has checked
	received := copy(body, r.unread)
	r.unread = r.unread[received:]
	r.conn.publishProgress(call, body, received)
	for received < len(body) {
		n, err := r.conn.netConn.Read(body[received:])
		received += n
		if n > 0 {
			r.conn.reportBytesReceived()
			r.conn.publishProgress(call, body, received)
		} else if err != nil {
			return nil, unexpectedEOF(err)
		}
	}
	header.Fields, err = r.readTrailer()
	return body, err
}

// readTrailer reads the fields that follow a body.
func (r *responseReader) readTrailer() (rpc.Fields, error) {
	for {
		fields, progress, err := rpc.ParseResponseTrailer(r.unread, maxHeaderBytes)
		if err != nil {
			return rpc.Fields{}, err
		}
		if progress.Consumed > 0 {
			r.unread = r.unread[progress.Consumed:]
			return fields, nil
		}
		if n, err := r.fill(); n == 0 && err != nil {
			return rpc.Fields{}, unexpectedEOF(err)
		}
	}
}

// unexpectedEOF returns the error of a connection that ended inside a response, with io.EOF replaced by
// io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
