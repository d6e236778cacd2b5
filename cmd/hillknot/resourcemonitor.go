package main

import (
	"time"

	"hillknot/internal/config"
	"hillknot/internal/core"
	"hillknot/internal/logging"
	"hillknot/internal/netio"
	"hillknot/internal/resources"
)

const (
	monitorInterval  = time.Second
	usageLogInterval = 10 * time.Second // between two lines of the same kind

	highUseNumerator   = 3 // use of at least highUseNumerator / highUseDenominator of a limit is logged as a warning
	highUseDenominator = 4
)

// resourceMonitor logs what the process uses: regularly, and with a warning while it uses most of its memory or of its
// descriptors. The last of these lines show how a process that was killed had fared.
type resourceMonitor struct {
	limits   config.Limits
	snapshot func() *core.Snapshot
	buffered func() int64

	nextUsage, nextWarning int // ticks of the monitor until the next line may be written
}

// run samples until stop is closed.
func (m *resourceMonitor) run(stop <-chan struct{}) {
	ticker := time.NewTicker(monitorInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			m.sample(resources.Read())
		}
	}
}

// sample logs one reading, if a line is due.
func (m *resourceMonitor) sample(usage resources.Usage) {
	const ticksBetweenLines = int(usageLogInterval / monitorInterval)
	m.nextUsage, m.nextWarning = m.nextUsage-1, m.nextWarning-1
	switch {
	case m.isHigh(usage) && m.nextWarning <= 0:
		log.Warn("resource use high", m.attributes(usage)...)
		m.nextWarning = ticksBetweenLines
	case m.nextUsage <= 0:
		log.Info("resource use", m.attributes(usage)...)
		m.nextUsage = ticksBetweenLines
	}
}

// isHigh reports whether most of the memory or of the descriptors is in use.
func (m *resourceMonitor) isHigh(usage resources.Usage) bool {
	memory := int64(m.limits.MemoryMB) << 20
	return usage.ResidentBytes >= memory/highUseDenominator*highUseNumerator ||
		usage.Descriptors >= m.limits.Sockets/highUseDenominator*highUseNumerator
}

// attributes returns the attributes of a log line on the state of the process.
func (m *resourceMonitor) attributes(usage resources.Usage) []any {
	snapshot := m.snapshot()
	return append(usageAttributes(usage), "buffered_bytes", m.buffered(), "open_requests", snapshot.OpenRequests,
		"waiting_calls", snapshot.Queue.Length, "stalls", snapshot.Stalls.Count,
		"handler_panics", netio.HandlerPanics(), "log_lines_dropped", logging.Stderr().Dropped())
}

// usageAttributes returns the attributes of a log line that report a usage.
func usageAttributes(usage resources.Usage) []any {
	return []any{"resident_bytes", usage.ResidentBytes, "peak_bytes", usage.PeakBytes, "heap_bytes", usage.HeapBytes,
		"goroutines", usage.Goroutines, "descriptors", usage.Descriptors}
}
