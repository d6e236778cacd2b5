// Package admin is the front for operators: HTTP/1.1 on an address of its own, one call to a connection. It tells
// how the router is, shows its figures, and empties it.
//
// It reads what the core's loop has published, and so waits for nobody; only what changes the router's state
// goes through the loop.
package admin

import (
	"fmt"
	"log/slog"
	"strconv"

	"hillknot/internal/config"
	"hillknot/internal/core"
	"hillknot/internal/netio"
)

// Core is what operators see and steer. Standby and Active are called on the core's goroutine.
type Core interface {
	Post(f func())
	Snapshot() *core.Snapshot
	EnterStandby()
	LeaveStandby() bool
}

// Front answers operators on one address.
type Front struct {
	*netio.Server
	core Core
	lim  config.Limits
}

// Listen opens the listener. Its connections have places of their own: no load of clients takes them, and
// callers that say nothing give way to new ones.
func Listen(addr string, c Core, lim config.Limits) (*Front, error) {
	f := &Front{core: c, lim: lim}
	budget := netio.NewBudget(lim.OpsConns * (lim.OpsHead + lim.OpsBody + lim.Ops.Pending))
	var err error
	f.Server, err = netio.Listen(addr, lim.OpsConns, lim.Ops, budget, func(nc *netio.Conn) netio.Handler { return &conn{f: f, nc: nc} })
	if err != nil {
		return nil, err
	}
	return f, nil
}

type conn struct {
	f        *Front
	nc       *netio.Conn
	answered bool
}

// Consume implements netio.Handler. A connection is answered once; what follows is of no matter.
func (c *conn) Consume(buf []byte) (used, want int, err error) {
	if c.answered {
		return len(buf), 0, nil
	}
	m, n, want, err := parse(buf, c.f.lim.OpsHead, c.f.lim.OpsBody)
	if err == nil && n == 0 {
		return 0, want, nil
	}
	c.answered = true
	if err != nil {
		slog.Debug("operator's call not understood", "remote", c.nc.RemoteAddr(), "err", err)
		c.answer(false, "400 Bad Request", err.Error()+"\n", "")
		return len(buf), 0, nil
	}
	c.serve(string(m.method), string(m.path))
	return len(buf), 0, nil
}

// Closed implements netio.Handler.
func (c *conn) Closed() {}

func (c *conn) serve(method, path string) {
	reads, ok := map[string]bool{"/status": true, "/status/metrics": true, "/standby": false, "/active": false}[path]
	head := method == "HEAD"
	switch {
	case !ok:
		c.answer(head, "404 Not Found", "no such page\n", "")
	case reads && method != "GET" && !head:
		c.answer(false, "405 Method Not Allowed", "GET or HEAD\n", "Allow: GET, HEAD\r\n")
	case !reads && method != "POST":
		c.answer(head, "405 Method Not Allowed", "POST\n", "Allow: POST\r\n")
	case path == "/status":
		c.status(head, c.f.core.Snapshot().Phase)
	case path == "/status/metrics":
		c.answer(head, "200 OK", string(appendFigures(nil, c.f.core.Snapshot())), "")
	default:
		c.steer(path == "/standby")
	}
}

// status says yes while clients are taken.
func (c *conn) status(head bool, p core.Phase) {
	code := "503 Service Unavailable"
	if p == core.Serving {
		code = "200 OK"
	}
	c.answer(head, code, p.String()+"\n", "")
}

// steer empties the router, or has it take clients again, and says yes once that holds.
func (c *conn) steer(standby bool) {
	c.f.core.Post(func() {
		if standby {
			c.f.core.EnterStandby()
		} else if !c.f.core.LeaveStandby() {
			c.answer(false, "409 Conflict", core.ShuttingDown.String()+"\n", "")
			return
		}
		slog.Info("operators' call", "standby", standby)
		c.answer(false, "200 OK", "done\n", "")
	})
}

func (c *conn) answer(head bool, status, body, extra string) {
	b := fmt.Appendf(nil, "HTTP/1.1 %s\r\nContent-Type: text/plain; version=0.0.4; charset=utf-8\r\nCache-Control: no-store\r\nConnection: close\r\n%sContent-Length: %d\r\n\r\n",
		status, extra, len(body))
	if !head {
		b = append(b, body...)
	}
	c.nc.SendAndClose(b)
}

// appendFigures appends the figures in the text format of Prometheus.
func appendFigures(b []byte, s *core.Snapshot) []byte {
	for _, f := range []struct {
		name, help string
		of         func(core.ClassCounts) uint64
	}{
		{"success", "Requests served.", func(t core.ClassCounts) uint64 { return t.Success }},
		{"overload", "Requests refused.", func(t core.ClassCounts) uint64 { return t.Overload }},
		{"error", "Requests failed.", func(t core.ClassCounts) uint64 { return t.Error }},
	} {
		b = appendKind(b, f.name, f.help, "counter")
		for _, t := range s.ByClass {
			b = fmt.Appendf(b, "app_%s{type=%s} %d\n", f.name, strconv.Quote(t.Class), f.of(t))
		}
	}
	for _, f := range []struct {
		name, help, kind string
		value            uint64
	}{
		{"dispatches", "Attempts written whole to page caches.", "counter", s.AttemptsWritten},
		{"violations", "Rules that did not hold, as the router checks them; 0 in a router that is well.", "counter", s.RuleViolations},
		{"concurrent", "Requests taken and not ended.", "gauge", uint64(s.OpenRequests)},
		{"targets", "Page caches on the list.", "gauge", uint64(s.Endpoints)},
		{"targets_disabled", "Page caches on the list that the router avoids.", "gauge", uint64(s.AvoidedEndpoints)},
	} {
		b = fmt.Appendf(appendKind(b, f.name, f.help, f.kind), "app_%s %d\n", f.name, f.value)
	}
	if s.Cluster != nil {
		b = appendFleet(b, s.Cluster)
	}
	for _, f := range s.ExtensionMetrics {
		kind := "gauge"
		if f.Counter {
			kind = "counter"
		}
		b = fmt.Appendf(appendKind(b, f.Name, f.Help, kind), "app_%s %d\n", f.Name, f.Value)
	}
	return b
}

// appendFleet appends what the router shares with others, where it does.
func appendFleet(b []byte, f *core.ClusterMetrics) []byte {
	b = fmt.Appendf(appendKind(b, "fleet_others", "Routers alive beside this one.", "gauge"), "app_fleet_others %d\n", f.Peers)
	b = fmt.Appendf(appendKind(b, "fleet_lost", "Letters to other routers dropped, as too many waited.", "counter"), "app_fleet_lost %d\n", f.DroppedMessages)
	b = fmt.Appendf(appendKind(b, "fleet_verdicts", "Verdicts on page caches so far.", "counter"), "app_fleet_verdicts %d\n", f.Verdicts)
	b = appendKind(b, "fleet_sick", "Page caches that the routers agree to be sick.", "gauge")
	for _, node := range f.Ejected {
		b = fmt.Appendf(b, "app_fleet_sick{cache=%s} 1\n", strconv.Quote(node))
	}
	b = appendKind(b, "fleet_spent", "Spent of shared budgets by this router.", "counter")
	for _, h := range f.Budgets {
		b = fmt.Appendf(b, "app_fleet_spent{budget=%s} %d\n", strconv.Quote(h.Key), h.Spent)
	}
	b = appendKind(b, "fleet_shares", "Shares of budgets: of its own, lent, borrowed, and what a budget is cut into.", "gauge")
	for _, h := range f.Budgets {
		for _, v := range []struct {
			what   string
			shares int
		}{{"own", h.Own}, {"lent", h.Lent}, {"borrowed", h.Got}, {"whole", h.Whole}} {
			b = fmt.Appendf(b, "app_fleet_shares{budget=%s,which=%q} %d\n", strconv.Quote(h.Key), v.what, v.shares)
		}
	}
	b = appendKind(b, "fleet_count", "Ends of attempts at page caches, over all routers as far as heard.", "counter")
	for _, c := range f.Counters {
		b = fmt.Appendf(b, "app_fleet_count{of=%s} %d\n", strconv.Quote(c.Key), c.Total)
	}
	return b
}

func appendKind(b []byte, name, help, kind string) []byte {
	return fmt.Appendf(b, "# HELP app_%s %s\n# TYPE app_%s %s\n", name, help, name, kind)
}
