// Package admin is the front end for operators: HTTP/1.1 on an address of its own, one call to a connection. It tells
// the state of the router, shows its metrics in the text format of Prometheus, and puts the router on standby.
//
// It reads the snapshot that the core's loop has published, and so answers at once under any load; only what changes
// the router's state goes through the loop.
package admin

import (
	"fmt"

	"hillknot/internal/config"
	"hillknot/internal/core"
	"hillknot/internal/logging"
	"hillknot/internal/netio"
)

var log = logging.For("admin")

// Core is what operators see and control. Post and Snapshot may be called anywhere, EnterStandby and LeaveStandby on the
// core's goroutine.
type Core interface {
	Post(f func())
	Snapshot() *core.Snapshot
	EnterStandby()
	LeaveStandby() bool // false: the router is shutting down, and does not come back
}

// Server answers operators on one address.
type Server struct {
	*netio.Server
	core   Core
	limits config.Limits
}

// Listen opens the listener. Its connections have places of their own: clients can't take them, and callers that
// send nothing are evicted for new ones.
func Listen(addr string, c Core, limits config.Limits) (*Server, error) {
	s := &Server{core: c, limits: limits}
	budget := netio.NewBudget(limits.AdminConns * (limits.AdminHeaderBytes + limits.AdminBodyBytes + limits.Admin.MaxPendingBytes))
	var err error
	s.Server, err = netio.Listen(addr, limits.AdminConns, limits.Admin, budget, func(nc *netio.Conn) netio.Handler {
		return &conn{server: s, nc: nc}
	})
	if err != nil {
		return nil, err
	}
	return s, nil
}

// conn is an operator's connection.
type conn struct {
	server   *Server
	nc       *netio.Conn
	answered bool
}

// Consume implements netio.Handler. A connection is answered once; what follows is ignored.
func (c *conn) Consume(buf []byte) (used, want int, err error) {
	if c.answered {
		return len(buf), 0, nil
	}
	request, progress, err := parseRequest(buf, c.server.limits.AdminHeaderBytes, c.server.limits.AdminBodyBytes)
	if err == nil && progress.consumed == 0 {
		return 0, progress.needed, nil
	}
	c.answered = true
	if err != nil {
		log.Debug("operator's request malformed", logging.KeyClient, c.nc.RemoteAddr(), logging.KeyError, err)
		c.respond(response{status: "400 Bad Request", body: err.Error() + "\n"})
		return len(buf), 0, nil
	}
	c.route(string(request.method), string(request.path))
	return len(buf), 0, nil
}

// Closed implements netio.Handler.
func (c *conn) Closed() {}

// readOnly holds the pages, and whether a page only reads.
var readOnly = map[string]bool{"/status": true, "/status/metrics": true, "/standby": false, "/active": false}

func (c *conn) route(method, path string) {
	reads, found := readOnly[path]
	isHead := method == "HEAD"
	switch {
	case !found:
		c.respond(response{status: "404 Not Found", body: "no such page\n", omitBody: isHead})
	case reads && method != "GET" && !isHead:
		c.respond(response{status: "405 Method Not Allowed", body: "GET or HEAD\n", allow: "GET, HEAD"})
	case !reads && method != "POST":
		c.respond(response{status: "405 Method Not Allowed", body: "POST\n", allow: "POST", omitBody: isHead})
	case path == "/status":
		c.respond(statusResponse(c.server.core.Snapshot().Phase, isHead))
	case path == "/status/metrics":
		c.respond(response{status: statusOK, body: string(appendMetrics(nil, c.server.core.Snapshot())), omitBody: isHead})
	case path == "/standby":
		c.server.core.Post(c.enterStandby)
	default:
		c.server.core.Post(c.leaveStandby)
	}
}

const statusOK = "200 OK"

// statusResponse is 200 while clients are taken.
func statusResponse(phase core.Phase, isHead bool) response {
	status := "503 Service Unavailable"
	if phase == core.Serving {
		status = statusOK
	}
	return response{status: status, body: phase.String() + "\n", omitBody: isHead}
}

// enterStandby and leaveStandby run on the core's goroutine, so that the answer comes once the new state holds.

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

func (c *conn) confirmStandby(standby bool) {
	log.Info("standby changed by operator", "standby", standby)
	c.respond(response{status: statusOK, body: "done\n"})
}

// response is an answer over HTTP.
type response struct {
	status   string // code and reason
	body     string
	allow    string // methods for the header Allow; empty: no such header
	omitBody bool   // as for HEAD
}

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
	c.nc.SendAndClose(b)
}
