package logging

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
)

// A panic is logged with its stack, and goes on; a goroutine that ends well logs nothing.
func TestReportPanicLogsAndGoesOn(t *testing.T) {
	var out bytes.Buffer
	log := slog.New(slog.NewTextHandler(&out, nil))
	run := func(f func()) (cause any) {
		defer func() { cause = recover() }()
		defer ReportPanic(log)
		f()
		return nil
	}
	if cause := run(func() {}); cause != nil || out.Len() > 0 {
		t.Errorf("without a panic: recovered %v, logged %q", cause, out.String())
	}
	if cause := run(func() { panic("bad state") }); cause != "bad state" {
		t.Errorf("recovered %v, want the panic", cause)
	}
	for _, part := range []string{"goroutine panicked", "bad state", "TestReportPanicLogsAndGoesOn"} {
		if !strings.Contains(out.String(), part) {
			t.Errorf("no %q in %s", part, out.String())
		}
	}
}
