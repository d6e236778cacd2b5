package logging

import (
	"log/slog"
	"runtime/debug"
	"time"
)

// panicFlushTimeout is the longest time for which a panic waits for the log to be written.
const panicFlushTimeout = 100 * time.Millisecond

// ReportPanic is deferred in a goroutine without which the process can't go on. It logs a panic with its stack, waits until the
// log is written, and lets the panic end the process: lines that wait to be written would be lost otherwise.
func ReportPanic(log *slog.Logger) {
	cause := recover()
	if cause == nil {
		return
	}
	log.Error("goroutine panicked", KeyError, cause, "stack", string(debug.Stack()))
	Stderr().Flush(panicFlushTimeout)
	panic(cause)
}
