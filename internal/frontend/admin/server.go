// Package admin is the front end for operators. It serves HTTP/1.1 on an address of its own, with one request per
// connection. It reports the state of the router and its metrics in the text format of Prometheus, and puts the router on
// standby.
//
// Requests that only read are answered from the snapshot that the core's event loop has published, and so at once under
// any load. Only requests that change the router's state run on the event loop.
package admin

import (
	"fmt"
	"sync/atomic"

	"hillknot/internal/config"
	"hillknot/internal/core"
	"hillknot/internal/logging"
	"hillknot/internal/netio"
)

var log = logging.For("admin")

// Core is the part of the core that operators see and control. Post and Snapshot may be called from any goroutine,
// EnterStandby and LeaveStandby only on the core's goroutine.
type Core interface {
	Post(f func())
	Snapshot() *core.Snapshot
	EnterStandby()
	LeaveStandby() bool // false: the router is shutting down, and stays out of service
}

// Server answers operators on one address.
type Server struct {
	*netio.Server
	core     Core
	limits   config.Limits
	buffered *netio.Budget // of clients and page caches, for the metrics

	openOrders atomic.Int64 // requests that change the state, and wait for the core
}

// Listen opens the listener. buffered is the budget of clients and page caches, which the metrics report. The server's connections have a limit of their own, so that clients can't use it up. A connection that
// sends nothing is evicted for a new one.
func Listen(addr string, c Core, limits config.Limits, buffered *netio.Budget) (*Server, error) {
	s := &Server{core: c, limits: limits, buffered: buffered}
	budget := netio.NewBudget(limits.AdminConns * (limits.AdminHeaderBytes + limits.AdminBodyBytes + limits.Admin.MaxPendingBytes))
	var err error
	s.Server, err = netio.Listen(addr, limits.AdminConns, limits.Admin, budget, func(transport *netio.Conn) netio.Handler {
		return &conn{server: s, transport: transport}
	})
	if err != nil {
		return nil, err
	}
	return s, nil
}

// conn is an operator's connection.
type conn struct {
	server    *Server
	transport *netio.Conn
	answered  bool
}

// Consume implements netio.Handler. It answers the first request on the connection, and ignores all later input.
func (c *conn) Consume(buf []byte) (used, needed int, err error) {
	if c.answered {
		return len(buf), 0, nil
	}
	request, progress, err := parseRequest(buf, c.server.limits.AdminHeaderBytes, c.server.limits.AdminBodyBytes)
	if err == nil && progress.consumed == 0 {
		return 0, progress.needed, nil
	}
	c.answered = true
	if err != nil {
		log.Debug("operator's request malformed", logging.KeyClient, c.transport.RemoteAddr(), logging.KeyError, err)
		c.respond(response{status: "400 Bad Request", body: err.Error() + "\n"})
		return len(buf), 0, nil
	}
	c.route(string(request.method), string(request.path))
	return len(buf), 0, nil
}

// Closed implements netio.Handler.
func (c *conn) Closed() {}

// readOnlyByPath holds the path of each page, and whether the page only reads the state of the router.
var readOnlyByPath = map[string]bool{"/status": true, "/status/metrics": true, "/standby": false, "/active": false}

// route answers a request for a page.
func (c *conn) route(method, path string) {
	readOnly, found := readOnlyByPath[path]
	isHead := method == "HEAD"
	switch {
	case !found:
		c.respond(response{status: "404 Not Found", body: "no such page\n", omitBody: isHead})
	case readOnly && method != "GET" && !isHead:
		c.respond(response{status: "405 Method Not Allowed", body: "GET or HEAD\n", allow: "GET, HEAD"})
	case !readOnly && method != "POST":
		c.respond(response{status: "405 Method Not Allowed", body: "POST\n", allow: "POST", omitBody: isHead})
	case path == "/status":
		c.respond(statusResponse(c.server.core.Snapshot().Phase, isHead))
	case path == "/status/metrics":
		c.respond(response{status: statusOK, body: string(appendMetrics(nil, c.server.core.Snapshot(), c.server.processState())), omitBody: isHead})
	case path == "/standby":
		c.order(c.enterStandby)
	default:
		c.order(c.leaveStandby)
	}
}

// order has the core carry out a request that changes the state, unless as many as there may be connections wait for it.
func (c *conn) order(carryOut func()) {
	if c.server.openOrders.Add(1) > int64(c.server.limits.AdminConns) {
		c.server.openOrders.Add(-1)
		c.respond(response{status: "503 Service Unavailable", body: "too many requests wait\n"})
		return
	}
	c.server.core.Post(func() {
		defer c.server.openOrders.Add(-1)
		carryOut()
	})
}

const statusOK = "200 OK"

// statusResponse returns the response that reports the phase. Its status is 200 while the router accepts clients, and 503
// otherwise.
func statusResponse(phase core.Phase, isHead bool) response {
	status := "503 Service Unavailable"
	if phase == core.Serving {
		status = statusOK
	}
	return response{status: status, body: phase.String() + "\n", omitBody: isHead}
}

// enterStandby and leaveStandby run on the core's goroutine, so that they answer after the state has changed.

func (c *conn) enterStandby() {
	c.server.core.EnterStandby()
	c.confirmStandby(true)
}

func (c *conn) leaveStandby() {
	if !c.server.core.LeaveStandby() {
		c.respond(response{status: "409 Conflict", body: core.ShuttingDown.String() + "\n"})
		return
	}
	c.confirmStandby(false)
}

// confirmStandby logs and answers a change of the standby state.
func (c *conn) confirmStandby(standby bool) {
	log.Info("standby changed by operator", "standby", standby)
	c.respond(response{status: statusOK, body: "done\n"})
}

// response is an HTTP response.
type response struct {
	status   string // code and reason
	body     string
	allow    string // methods for the header Allow; empty: no such header
	omitBody bool   // for requests with HEAD
}

// respond sends a response and closes the connection.
func (c *conn) respond(r response) {
	allow := ""
	if r.allow != "" {
		allow = "Allow: " + r.allow + "\r\n"
	}
	b := fmt.Appendf(nil, "HTTP/1.1 %s\r\nContent-Type: text/plain; version=0.0.4; charset=utf-8\r\nCache-Control: no-store\r\n"+
		"Connection: close\r\n%sContent-Length: %d\r\n\r\n", r.status, allow, len(r.body))
	if !r.omitBody {
		b = append(b, r.body...)
	}
	c.transport.SendAndClose(b)
}
