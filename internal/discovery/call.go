package discovery

import (
	"strconv"

	"hillknot/internal/clock"
	"hillknot/internal/logging"
	"hillknot/internal/netio"
)

// connection is one connection to the discovery service. It implements netio.Handler.
type connection struct {
	watcher  *Watcher
	conn     *netio.Conn
	response response
	parser   eventParser
	received chan struct{} // holds a value once bytes have arrived since the channel was last read
	closed   chan struct{} // closed when the connection ends

	// caughtUp is set once everything that the service had sent over this connection was read. Watcher.mu guards it.
	caughtUp bool
}

// connect opens a connection to the service at an address. The request is not sent yet.
func (w *Watcher) connect(address string) (*connection, error) {
	c := &connection{
		watcher:  w,
		received: make(chan struct{}, 1),
		closed:   make(chan struct{}),
	}
	c.response = newResponse(w.limits.DiscoveryLineBytes, c.receive)
	budget := netio.NewBudget(2 * w.limits.DiscoveryLineBytes)
	_, err := netio.Dial(address, w.limits.ConnectTimeout, w.limits.Discovery, budget, func(conn *netio.Conn) netio.Handler {
		c.conn = conn
		return c
	})
	if err != nil {
		return nil, err
	}
	return c, nil
}

// appendWatchRequest appends the HTTP request for the events after a position.
func appendWatchRequest(b []byte, address string, position int64) []byte {
	b = append(b, "GET /journal HTTP/1.1\r\nHost: "...)
	b = append(b, address...)
	b = append(b, "\r\nAccept: text/event-stream\r\nConnection: close\r\nLast-Event-ID: "...)
	b = strconv.AppendInt(b, position, 10)
	return append(b, "\r\n\r\n"...)
}

// Consume implements netio.Handler.
func (c *connection) Consume(buf []byte) (used, needed int, err error) {
	select {
	case c.received <- struct{}{}:
	default: // watch has not taken the previous value yet
	}
	readAt := clock.Now()
	complete := !c.conn.HasUnreadInput()
	used, err = c.response.consume(buf)
	c.watcher.queue.flushPaced()
	if err != nil {
		log.Warn("discovery stream unreadable", logging.KeyError, err)
	}
	if complete && used == len(buf) && c.response.events.atBoundary() {
		c.watcher.noteCaughtUp(c, readAt)
	}
	return used, 0, err
}

// Closed implements netio.Handler.
func (c *connection) Closed() { close(c.closed) }

// receive parses an event and hands it to the watcher. The id of a server-sent event is its position.
func (c *connection) receive(id, data []byte) error {
	e, parseErr := c.parser.parse(data)
	if position, err := strconv.ParseInt(string(id), 10, 64); err == nil {
		e.position = position
	}
	return c.watcher.receive(e, parseErr)
}
