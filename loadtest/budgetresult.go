package loadtest

import (
	"fmt"
	"io"
	"slices"
	"time"
)

// BudgetResult holds what was measured while one fault was applied to a cluster that shares budgets.
type BudgetResult struct {
	Fault              string
	SlowStart, Retries Peak
	Sent, Answered     int // requests, and those of them that got a final answer
	Disconnected       int // requests in flight on connections that a kill closed
	Unanswered         int
	AnsweredTwice      int
	OrdersRunTwice     int
	PacketRate         float64 // packets a second that each router sent to the others
}

// Broken reports whether a budget was overspent, a request lost or answered twice, or an order run twice.
func (r BudgetResult) Broken() bool {
	return r.SlowStart.Utilization > 1 || r.Retries.Utilization > 1 || r.Unanswered+r.AnsweredTwice+r.OrdersRunTwice > 0
}

// Peak is the highest utilization of a budget in any window of time.
type Peak struct {
	Utilization float64 // Count as a fraction of Bound
	Count       int     // attempts in that window
	Bound       float64 // attempts that the budget allows in that window
	Window      time.Duration
	Attempts    int // in total
}

const (
	// clockDrift is the fraction by which the clocks of routers may differ in speed.
	clockDrift = 0.02
	// arrivalJitter is how much closer together attempts may arrive than they were sent.
	arrivalJitter = 50 * time.Millisecond
)

// findPeak returns the highest utilization of a budget by attempts, over windows of three lengths.
func findPeak(attempts []time.Time, b budget) (peak Peak) {
	slices.SortFunc(attempts, time.Time.Compare)
	peak.Attempts = len(attempts)
	for _, window := range []time.Duration{250 * time.Millisecond, time.Second, 4 * time.Second} {
		bound := b.burst + b.rate*(window+arrivalJitter).Seconds()*(1+clockDrift)
		first := 0
		for last := range attempts {
			for attempts[last].Sub(attempts[first]) >= window {
				first++
			}
			count := last - first + 1
			if utilization := float64(count) / bound; utilization > peak.Utilization {
				peak.Utilization, peak.Count, peak.Bound, peak.Window = utilization, count, bound, window
			}
		}
	}
	return peak
}

// MeasureBudgets runs a cluster that shares budgets through all faults, and writes a table. It then counts the attempts at a
// page cache that fails all requests, first by routers that share no state, then by a cluster.
func MeasureBudgets(settings ClusterSettings, out io.Writer) error {
	results, err := BudgetFaults(settings, nil)
	if err != nil {
		return err
	}
	writeBudgetTable(results, out)
	for _, shared := range []bool{false, true} {
		attempts, err := countOutlierAttempts(settings, shared)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(out, "\nAttempts at a page cache that fails all, in %v, %d routers, talk %v: %d\n", settings.FaultLength,
			settings.Routers, shared, attempts)
	}
	return nil
}

// writeBudgetTable writes results as a table.
func writeBudgetTable(results []BudgetResult, out io.Writer) {
	_, _ = fmt.Fprintf(out, "| fault | attempts at the new page cache, most in a window | of the bound | repeats, most in a window "+
		"| of the bound | requests | answered once | cut by a kill | lost | orders twice | packets a second, a router |\n"+
		"|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, r := range results {
		_, _ = fmt.Fprintf(out, "| %s | %s | %s | %d | %d | %d | %d | %d | %.0f |\n", r.Fault, r.SlowStart.cells(), r.Retries.cells(),
			r.Sent, r.Answered, r.Disconnected, r.Unanswered+r.AnsweredTwice, r.OrdersRunTwice, r.PacketRate)
	}
}

// cells formats a peak as two cells of a table.
func (p Peak) cells() string {
	return fmt.Sprintf("%d in %v (bound %.1f) | %.2f", p.Count, p.Window, p.Bound, p.Utilization)
}
