package orderfailover

import (
	"time"

	"hillknot/balancer"
	"hillknot/internal/core"
)

// Replicate implements core.OrderFailover.
func (e *Extension) Replicate(q *core.Request, timeLeft time.Duration) error {
	return e.coordinator.Replicate(e.core.LoopTime(), failoverOrder(q, q.Txn, timeLeft))
}

// Claim implements core.OrderFailover.
func (e *Extension) Claim(id balancer.RequestID, q *core.Request, timeLeft time.Duration) {
	e.coordinator.Claim(e.core.LoopTime(), uint64(id), failoverOrder(q, q.ResumesTxn, timeLeft))
	e.carryOutActions()
}

// CancelClaim implements core.OrderFailover.
func (e *Extension) CancelClaim(id balancer.RequestID) { e.coordinator.CancelClaim(uint64(id)) }

// RequestSendPermission implements core.OrderFailover.
func (e *Extension) RequestSendPermission(txn string) {
	e.coordinator.RequestSendPermission(e.core.LoopTime(), txn)
	e.carryOutActions()
}

// UseSendPermission implements core.OrderFailover. It reads the clock again instead of using the loop time, because the
// order is written immediately afterwards.
func (e *Extension) UseSendPermission(txn string) bool {
	allowed := e.coordinator.UseSendPermission(e.core.CurrentTime(), txn)
	e.reportSteps()
	return allowed
}

// Finish implements core.OrderFailover. It sends the outcome to the replica before the client gets it.
func (e *Extension) Finish(txn string, a core.Answer, mayHaveRun bool) (hold bool) {
	hold = e.coordinator.Finish(e.core.LoopTime(), txn, failoverOutcome(a, mayHaveRun))
	e.Flush()
	return hold
}

// StopWaiting implements core.OrderFailover.
func (e *Extension) StopWaiting(txn string) { e.coordinator.StopWaiting(e.core.LoopTime(), txn) }

// Cancel implements core.OrderFailover.
func (e *Extension) Cancel(txn string, mayHaveRun bool) {
	e.coordinator.Cancel(e.core.LoopTime(), txn, mayHaveRun)
}

// Metrics implements core.OrderFailover.
func (e *Extension) Metrics() []core.Metric { return e.metrics }
