package main

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"hillknot/internal/config"
	"hillknot/internal/core"
	"hillknot/internal/resources"
)

// The monitor logs the usage once in usageLogInterval, and a warning as often while most of a limit is in use.
func TestResourceMonitorWarnsOfHighUse(t *testing.T) {
	var out bytes.Buffer
	before := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&out, nil)))
	defer slog.SetDefault(before)
	m := &resourceMonitor{limits: config.Limits{MemoryMB: 64, Sockets: 400}, buffered: func() int64 { return 7 },
		snapshot: func() *core.Snapshot { return &core.Snapshot{OpenRequests: 5, Queue: core.QueueUsage{Length: 3}} }}
	for _, step := range []struct {
		name       string
		usage      resources.Usage
		info, warn int // lines of ten samples
	}{
		{"low", resources.Usage{ResidentBytes: 40 << 20, Descriptors: 200}, 1, 0},
		{"memory", resources.Usage{ResidentBytes: 48 << 20, Descriptors: 200}, 1, 1},
		{"descriptors", resources.Usage{ResidentBytes: 40 << 20, Descriptors: 300}, 1, 1},
	} {
		out.Reset()
		m.nextUsage, m.nextWarning = 0, 0
		for range 10 {
			m.sample(step.usage)
		}
		info, warn := strings.Count(out.String(), "msg=\"resource use\""), strings.Count(out.String(), "msg=\"resource use high\"")
		if info != step.info || warn != step.warn {
			t.Errorf("%s: %d lines and %d warnings, want %d and %d:\n%s", step.name, info, warn, step.info, step.warn, out.String())
		}
	}
	for _, attribute := range []string{"descriptors=300", "buffered_bytes=7", "open_requests=5", "waiting_calls=3"} {
		if !strings.Contains(out.String(), attribute) {
			t.Errorf("no %s in %s", attribute, out.String())
		}
	}
}
