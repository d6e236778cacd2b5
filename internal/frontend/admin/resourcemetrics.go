package admin

import (
	"fmt"
	"strconv"

	"hillknot/internal/core"
	"hillknot/internal/logging"
	"hillknot/internal/netio"
	"hillknot/internal/resources"
)

// processState holds what the metrics report of the process as a whole.
type processState struct {
	usage         resources.Usage
	bufferedBytes int64
	closes        []netio.CloseCount
}

// processState reads the state of the process.
func (s *Server) processState() processState {
	return processState{usage: resources.Read(), bufferedBytes: s.buffered.Used(), closes: netio.CloseCounts()}
}

// appendResourceMetrics appends the metrics of resources and queues, and those that say why requests were refused, retried
// and closed.
func appendResourceMetrics(b []byte, snapshot *core.Snapshot, process processState) []byte {
	for _, metric := range []struct {
		name, help, kind string
		value            int64
	}{
		{"process_resident_bytes", "Memory in use.", "gauge", process.usage.ResidentBytes},
		{"process_peak_bytes", "The most memory that was in use.", "gauge", process.usage.PeakBytes},
		{"process_heap_bytes", "Go objects in memory.", "gauge", process.usage.HeapBytes},
		{"process_goroutines", "Goroutines.", "gauge", int64(process.usage.Goroutines)},
		{"process_descriptors", "Open file descriptors.", "gauge", int64(process.usage.Descriptors)},
		{"buffered_bytes", "Bytes of messages and requests that count against their budget.", "gauge", process.bufferedBytes},
		{"queue_length", "Calls that wait for the event loop.", "gauge", int64(snapshot.Queue.Length)},
		{"queue_peak", "The most calls that waited for the event loop.", "gauge", int64(snapshot.Queue.Peak)},
		{"stalls", "Stalls of the event loop.", "counter", int64(snapshot.Stalls.Count)},
		{"stall_longest_ms", "The longest stall of the event loop, in milliseconds.", "gauge", snapshot.Stalls.Longest.Milliseconds()},
		{"handler_panics", "Panics of connection handlers; each ended one connection.", "counter", int64(netio.HandlerPanics())},
		{"log_lines_dropped", "Log lines that could not be written.", "counter", int64(logging.Stderr().Dropped())},
		{"retries", "Attempts after the first one of their request.", "counter", int64(snapshot.RetriesSent)},
	} {
		b = fmt.Appendf(appendHeader(b, metric.name, metric.help, metric.kind), "app_%s %d\n", metric.name, metric.value)
	}
	b = appendLabelled(b, "attempts_ended", "Attempts by how they ended.", "status", snapshot.AttemptsEnded)
	b = appendLabelled(b, "refusals", "Requests refused, by reason.", "reason", snapshot.Refusals)
	closes := make([]core.LabelledCount, len(process.closes))
	for i, closed := range process.closes {
		closes[i] = core.LabelledCount{Label: closed.Reason.String(), Count: closed.Count}
	}
	return appendLabelled(b, "closes", "Connections that the router closed, by reason.", "reason", closes)
}

// appendLabelled appends a counter with one label.
func appendLabelled(b []byte, name, help, label string, counts []core.LabelledCount) []byte {
	b = appendHeader(b, name, help, "counter")
	for _, c := range counts {
		b = fmt.Appendf(b, "app_%s{%s=%s} %d\n", name, label, strconv.Quote(c.Label), c.Count)
	}
	return b
}
