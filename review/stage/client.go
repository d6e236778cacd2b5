package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"hillknot/internal/rpc"
)

// answer is what a client got for a request.
type answer struct {
	id     uint64 // of the request; 0: no answer could be read
	kind   string // "served", "Throttled", "Failed" and so on; "lost": the connection ended
	body   string
	reason string        // of a refusal
	later  time.Duration // how long a refused client is to stay away
}

// caller is one connection of a client, with one request at a time.
type caller struct {
	conn   net.Conn
	nextID uint64
	buffer []byte // bytes that were received and not parsed yet
}

func dial(address string) (*caller, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &caller{conn: conn}, nil
}

// ask sends a request and waits for its answer, for half a second longer than the request's time. If another request is open on
// the connection, its answer must not come first.
func (c *caller) ask(request rpc.Request) answer {
	if c.send(request) != nil {
		return answer{kind: "lost"}
	}
	return c.read()
}

// send sends a request. The answer must come within half a second more than the request's time.
func (c *caller) send(request rpc.Request) error {
	c.nextID++
	wait := time.Duration(request.TimeoutMillis)*time.Millisecond + 500*time.Millisecond
	_ = c.conn.SetDeadline(time.Now().Add(wait))
	_, err := c.conn.Write(rpc.AppendRequest(nil, c.nextID, &request))
	return err
}

// read reads one answer.
func (c *caller) read() answer {
	const headerLimit, bodyLimit = 4 << 10, 1 << 20
	for {
		header, progress, err := rpc.ParseResponseHeader(c.buffer, headerLimit, bodyLimit)
		if err != nil {
			return answer{kind: "unreadable"}
		}
		if progress.Consumed > 0 {
			c.buffer = c.buffer[progress.Consumed:]
			if header.Kind == rpc.ResponseError {
				return answer{id: header.ID, kind: string(header.Code), reason: string(header.Fields.Reason),
					later: time.Duration(header.Fields.RetryAfterMillis()) * time.Millisecond}
			}
			return c.readBody(header.ID, header.BodySize)
		}
		if err := c.more(); err != nil {
			return failure(err)
		}
	}
}

// readBody reads a body of the given size and the fields after it.
func (c *caller) readBody(id uint64, size int) answer {
	const trailerLimit = 4 << 10
	for {
		if len(c.buffer) > size {
			if _, progress, err := rpc.ParseResponseTrailer(c.buffer[size:], trailerLimit); err != nil {
				return answer{kind: "unreadable"}
			} else if progress.Consumed > 0 {
				body := string(c.buffer[:size])
				c.buffer = c.buffer[size+progress.Consumed:]
				return answer{id: id, kind: "served", body: body}
			}
		}
		if err := c.more(); err != nil {
			return failure(err)
		}
	}
}

func (c *caller) more() error {
	chunk := make([]byte, 16<<10)
	n, err := c.conn.Read(chunk)
	c.buffer = append(c.buffer, chunk[:n]...)
	if n > 0 {
		return nil
	}
	return err
}

func failure(err error) answer {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return answer{kind: "none"}
	}
	if errors.Is(err, io.EOF) {
		return answer{kind: "lost"}
	}
	return answer{kind: "lost", body: fmt.Sprint(err)}
}

func (c *caller) close() { _ = c.conn.Close() }

// askOnce asks over a connection of its own.
func askOnce(address string, request rpc.Request) answer {
	c, err := dial(address)
	if err != nil {
		return answer{kind: "unreachable"}
	}
	defer c.close()
	return c.ask(request)
}
