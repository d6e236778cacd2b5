package admin

import (
	"fmt"
	"strconv"

	"hillknot/internal/core"
)

// appendMetrics appends the metrics in the text format of Prometheus. The names and help texts must not change, as
// dashboards use them.
func appendMetrics(b []byte, snapshot *core.Snapshot, process processState) []byte {
	for _, f := range []struct {
		name, help string
		count      func(core.ClassCounts) uint64
	}{
		{"success", "Requests served.", func(counts core.ClassCounts) uint64 { return counts.Success }},
		{"overload", "Requests refused.", func(counts core.ClassCounts) uint64 { return counts.Overload }},
		{"error", "Requests failed.", func(counts core.ClassCounts) uint64 { return counts.Error }},
	} {
		b = appendHeader(b, f.name, f.help, "counter")
		for _, counts := range snapshot.ByClass {
			b = fmt.Appendf(b, "app_%s{type=%s} %d\n", f.name, strconv.Quote(counts.Class), f.count(counts))
		}
	}
	for _, f := range []struct {
		name, help, kind string
		value            uint64
	}{
		{"dispatches", "Attempts written whole to page caches.", "counter", snapshot.AttemptsWritten},
		{"violations", "Rules that did not hold, as the router checks them; 0 in a router that is well.", "counter", snapshot.RuleViolations},
		{"concurrent", "Requests taken and not ended.", "gauge", uint64(snapshot.OpenRequests)},
		{"targets", "Page caches on the list.", "gauge", uint64(snapshot.PageCaches)},
		{"targets_disabled", "Page caches on the list that the router avoids.", "gauge", uint64(snapshot.AvoidedPageCaches)},
	} {
		b = fmt.Appendf(appendHeader(b, f.name, f.help, f.kind), "app_%s %d\n", f.name, f.value)
	}
	b = appendResourceMetrics(b, snapshot, process)
	if snapshot.Cluster != nil {
		b = appendClusterMetrics(b, snapshot.Cluster)
	}
	for _, f := range snapshot.ExtensionMetrics {
		kind := "gauge"
		if f.Counter {
			kind = "counter"
		}
		b = fmt.Appendf(appendHeader(b, f.Name, f.Help, kind), "app_%s %d\n", f.Name, f.Value)
	}
	return b
}

// appendClusterMetrics appends the metrics of the state that the routers of a cluster share.
func appendClusterMetrics(b []byte, m *core.ClusterMetrics) []byte {
	b = fmt.Appendf(appendHeader(b, "fleet_others", "Routers alive beside this one.", "gauge"), "app_fleet_others %d\n", m.Peers)
	b = fmt.Appendf(appendHeader(b, "fleet_lost", "Letters to other routers dropped, as too many waited.", "counter"), "app_fleet_lost %d\n", m.DroppedMessages)
	b = fmt.Appendf(appendHeader(b, "fleet_verdicts", "Verdicts on page caches so far.", "counter"), "app_fleet_verdicts %d\n", m.Ejections)
	b = appendHeader(b, "fleet_sick", "Page caches that the routers agree to be sick.", "gauge")
	for _, endpoint := range m.Ejected {
		b = fmt.Appendf(b, "app_fleet_sick{cache=%s} 1\n", strconv.Quote(endpoint))
	}
	b = appendHeader(b, "fleet_spent", "Spent of shared budgets by this router.", "counter")
	for _, budget := range m.Budgets {
		b = fmt.Appendf(b, "app_fleet_spent{budget=%s} %d\n", strconv.Quote(budget.Key), budget.Spent)
	}
	b = appendHeader(b, "fleet_shares", "Shares of budgets: of its own, lent, borrowed, and what a budget is cut into.", "gauge")
	for _, budget := range m.Budgets {
		for _, v := range []struct {
			which  string
			shares int
		}{{"own", budget.OwnedShares}, {"lent", budget.LentShares}, {"borrowed", budget.BorrowedShares}, {"whole", budget.TotalShares}} {
			b = fmt.Appendf(b, "app_fleet_shares{budget=%s,which=%q} %d\n", strconv.Quote(budget.Key), v.which, v.shares)
		}
	}
	b = appendHeader(b, "fleet_count", "Ends of attempts at page caches, over all routers as far as heard.", "counter")
	for _, c := range m.Counters {
		b = fmt.Appendf(b, "app_fleet_count{of=%s} %d\n", strconv.Quote(c.Key), c.Total)
	}
	return b
}

// appendHeader appends the comment lines that precede the values of a metric.
func appendHeader(b []byte, name, help, kind string) []byte {
	return fmt.Appendf(b, "# HELP app_%s %s\n# TYPE app_%s %s\n", name, help, name, kind)
}
