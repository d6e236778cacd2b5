package client

import (
	"errors"
	"io"

	"hillknot/internal/rpc"
)

const (
	maxHeaderBytes  = 4 << 10  // bytes of a response besides its body
	readBufferBytes = 16 << 10 // bytes read at a time
)

// responseReader reads the responses of one connection. It belongs to the connection's goroutine.
type responseReader struct {
	conn   *routerConn
	buffer []byte
	unread []byte // the part of buffer that has come and was not used yet
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

// fill reads once into the buffer, behind what is unread. As for io.Reader, bytes may come with an error.
func (r *responseReader) fill() (n int, err error) {
	kept := copy(r.buffer, r.unread)
	n, err = r.conn.netConn.Read(r.buffer[kept:])
	r.unread = r.buffer[:kept+n]
	return n, err
}

// parseBuffered handles the responses that are in the buffer; it reads on only to complete one with a body.
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

// readBody reads the body of a response, and the fields behind it into its header.
func (r *responseReader) readBody(header *rpc.ResponseHeader) ([]byte, error) {
	call, err := r.conn.beginResponse(header.ID)
	if err != nil {
		return nil, err
	}
	body := make([]byte, header.BodySize) // at most Config.MaxAnswer: ParseHead has checked it
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

// readTrailer reads the fields behind a body.
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

// unexpectedEOF is the error of a connection that ends inside a response.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
