package loadtest

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"hillknot/client"
)

// FailoverResult counts the outcomes of orders and reads during a fault. InFlight in the name of a field means that the
// request was in flight on a router when that router was lost.
type FailoverResult struct {
	Fault string
	Kills int // times that one or more routers were lost

	Orders, Served, Rejected, MayHaveRun, OtherErrors int // orders, and their outcomes as clients saw them
	RunTwice                                          int // orders that ran more than once
	Contradictions                                    int // orders whose client was told the opposite of whether they ran

	Reads, ReadsServed                 int
	ReadsInFlight, ReadsInFlightServed int

	UnsentInFlight, UnsentInFlightResolved int // orders that no page cache had received; those answered as run or not run
	UnsentMayHaveRun                       int // those of UnsentInFlight that were answered as may have run
	SentInFlight, SentInFlightServed       int // orders that a page cache had received, and those of them that were served
}

// Broken reports whether an order ran twice, or a client was told a wrong outcome.
func (r FailoverResult) Broken() bool { return r.RunTwice+r.Contradictions > 0 }

// add counts the outcomes of requests. ran returns how often an order ran.
func (r *FailoverResult) add(records []*requestRecord, ran func(item uint64) int) {
	for _, record := range records {
		if record.order {
			r.addOrder(record, ran(record.item))
		} else {
			r.addRead(record)
		}
	}
}

func (r *FailoverResult) addRead(record *requestRecord) {
	served := record.err == nil
	r.Reads++
	r.ReadsServed += countIf(served)
	r.ReadsInFlight += countIf(record.inFlight)
	r.ReadsInFlightServed += countIf(record.inFlight && served)
}

func (r *FailoverResult) addOrder(record *requestRecord, ran int) {
	r.Orders++
	r.RunTwice += countIf(ran > 1)
	served, mayHaveRun := record.err == nil, errors.Is(record.err, client.ErrMayHaveRun)
	switch {
	case served:
		r.Served++
		r.Contradictions += countIf(ran == 0)
	case mayHaveRun:
		r.MayHaveRun++
	default:
		rejected := errors.Is(record.err, client.ErrRefused)
		r.Rejected += countIf(rejected)
		r.OtherErrors += countIf(!rejected)
		r.Contradictions += countIf(ran > 0)
	}
	switch {
	case !record.inFlight:
	case record.sentToBackend:
		r.SentInFlight++
		r.SentInFlightServed += countIf(served)
	default:
		r.UnsentInFlight++
		r.UnsentInFlightResolved += countIf(!mayHaveRun)
		r.UnsentMayHaveRun += countIf(mayHaveRun)
	}
}

// countIf returns 1 if a condition holds, and 0 otherwise.
func countIf(condition bool) int {
	if condition {
		return 1
	}
	return 0
}

// writeFailoverTable writes results as a table.
func writeFailoverTable(results []FailoverResult, out io.Writer) {
	head := []string{"fault", "orders", "served", "refused", "may have run", "other", "run twice", "contradictions", "reads served",
		"losses", "open reads answered", "open orders not sent: answered", "open orders sent: answered"}
	_, _ = fmt.Fprintf(out, "| %s |\n|%s\n", strings.Join(head, " | "), strings.Repeat("---|", len(head)))
	for _, r := range results {
		_, _ = fmt.Fprintf(out, "| %s | %d | %d | %d | %d | %d | %d | %d | %d of %d | %d", r.Fault, r.Orders, r.Served, r.Rejected,
			r.MayHaveRun, r.OtherErrors, r.RunTwice, r.Contradictions, r.ReadsServed, r.Reads, r.Kills)
		_, _ = fmt.Fprintf(out, " | %d of %d | %d of %d (%d may have run) | %d of %d |\n", r.ReadsInFlightServed, r.ReadsInFlight,
			r.UnsentInFlightResolved, r.UnsentInFlight, r.UnsentMayHaveRun, r.SentInFlightServed, r.SentInFlight)
	}
}
