package main

import (
	"syscall"
	"testing"
	"time"
)

// A process that stood still while its successor started was taken for none, and heard nothing of the successor: after SIGTERM it went on to
// accept new clients beside it, and with shared budgets both spent the shares of their router (review, case 10).
func TestStoppedPredecessorHearsOfItsSuccessor(t *testing.T) {
	inParallel(t)
	const (
		handover = 200 * time.Millisecond // for the old process to read what waits for it
		clients  = 60
	)
	r := newTestRouter(t, 2)
	tempDir := "TMPDIR=" + shortTempDir(t)
	r.startProcess(tempDir)
	busy := r.dial()
	busy.request(1, "order", map[string]string{"limit": "3000"}) // keeps the old process up
	attempt := r.nextAttempt()
	old := r.processes[0]
	old.stop()
	r.startSuccessor(tempDir)
	old.resume()
	old.signal(syscall.SIGTERM)
	time.Sleep(handover)
	for range clients {
		r.dial().expectReady(1)
	}
	attempt.serve("x")
	busy.expect(1, "x")
}
