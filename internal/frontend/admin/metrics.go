package admin

import (
	"fmt"
	"strconv"

	"hillknot/internal/core"
)

// appendMetrics appends the metrics in the text format of Prometheus. Their names and helps are kept: dashboards use them.
func appendMetrics(b []byte, s *core.Snapshot) []byte {
	for _, f := range []struct {
		name, help string
		of         func(core.ClassCounts) uint64
	}{
		{"success", "Requests served.", func(t core.ClassCounts) uint64 { return t.Success }},
		{"overload", "Requests refused.", func(t core.ClassCounts) uint64 { return t.Overload }},
		{"error", "Requests failed.", func(t core.ClassCounts) uint64 { return t.Error }},
	} {
		b = appendHeader(b, f.name, f.help, "counter")
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
		{"targets", "Page caches on the list.", "gauge", uint64(s.PageCaches)},
		{"targets_disabled", "Page caches on the list that the router avoids.", "gauge", uint64(s.AvoidedPageCaches)},
	} {
		b = fmt.Appendf(appendHeader(b, f.name, f.help, f.kind), "app_%s %d\n", f.name, f.value)
	}
	if s.Cluster != nil {
		b = appendClusterMetrics(b, s.Cluster)
	}
	for _, f := range s.ExtensionMetrics {
		kind := "gauge"
		if f.Counter {
			kind = "counter"
		}
		b = fmt.Appendf(appendHeader(b, f.Name, f.Help, kind), "app_%s %d\n", f.Name, f.Value)
	}
	return b
}

// appendClusterMetrics appends the metrics of the state that the routers of a cluster share.
func appendClusterMetrics(b []byte, f *core.ClusterMetrics) []byte {
	b = fmt.Appendf(appendHeader(b, "fleet_others", "Routers alive beside this one.", "gauge"), "app_fleet_others %d\n", f.Peers)
	b = fmt.Appendf(appendHeader(b, "fleet_lost", "Letters to other routers dropped, as too many waited.", "counter"), "app_fleet_lost %d\n", f.DroppedMessages)
	b = fmt.Appendf(appendHeader(b, "fleet_verdicts", "Verdicts on page caches so far.", "counter"), "app_fleet_verdicts %d\n", f.Ejections)
	b = appendHeader(b, "fleet_sick", "Page caches that the routers agree to be sick.", "gauge")
	for _, node := range f.Ejected {
		b = fmt.Appendf(b, "app_fleet_sick{cache=%s} 1\n", strconv.Quote(node))
	}
	b = appendHeader(b, "fleet_spent", "Spent of shared budgets by this router.", "counter")
	for _, h := range f.Budgets {
		b = fmt.Appendf(b, "app_fleet_spent{budget=%s} %d\n", strconv.Quote(h.Key), h.Spent)
	}
	b = appendHeader(b, "fleet_shares", "Shares of budgets: of its own, lent, borrowed, and what a budget is cut into.", "gauge")
	for _, h := range f.Budgets {
		for _, v := range []struct {
			what   string
			shares int
		}{{"own", h.OwnedShares}, {"lent", h.LentShares}, {"borrowed", h.BorrowedShares}, {"whole", h.TotalShares}} {
			b = fmt.Appendf(b, "app_fleet_shares{budget=%s,which=%q} %d\n", strconv.Quote(h.Key), v.what, v.shares)
		}
	}
	b = appendHeader(b, "fleet_count", "Ends of attempts at page caches, over all routers as far as heard.", "counter")
	for _, c := range f.Counters {
		b = fmt.Appendf(b, "app_fleet_count{of=%s} %d\n", strconv.Quote(c.Key), c.Total)
	}
	return b
}

// appendHeader appends the comment lines that stand before the values of a metric.
func appendHeader(b []byte, name, help, kind string) []byte {
	return fmt.Appendf(b, "# HELP app_%s %s\n# TYPE app_%s %s\n", name, help, name, kind)
}
