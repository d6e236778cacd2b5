package core

import (
	"time"

	"hillknot/internal/logging"
	"hillknot/internal/operatorhint"
)

// Reservation is what Credit has set aside for a request; nil: nothing.
type Reservation any

// Credit has requests paid for by prepaid accounts. Its methods are called on the core's goroutine, and none but
// Close may block.
type Credit interface {
	// Reserve sets aside what a request may cost. After an error the request is rejected, and does not run.
	Reserve(q *Request) (Reservation, error)
	// Charge settles a reservation of a request that was served with a number of bytes, or may have run.
	Charge(r Reservation, bytes int)
	// Release returns a reservation of a request that surely never ran.
	Release(r Reservation)
	// RetryAfter returns what the client is told of an error of Reserve.
	RetryAfter(err error) (wait time.Duration, reason string)
	// Flush starts to write and send what is ready. It is called at the end of each iteration of the loop.
	Flush()
	// Metrics returns figures for operators.
	Metrics() []Metric
	// Close returns what is not spent, as the router ends.
	Close()
}

// SetCredit has requests paid for. It is called once.
func (c *Core) SetCredit(credit Credit) { c.extensions.credit = credit }

// CloseCredit returns what is not spent. It is called once nothing is open any more.
func (c *Core) CloseCredit() {
	if c.extensions.credit != nil {
		c.extensions.credit.Close()
		c.extensions.credit = nil
	}
}

// reserveCredit sets aside what a request may cost, and reports whether it goes on. A request that can't be paid
// for is rejected at once.
func (c *Core) reserveCredit(r *request) bool {
	if c.extensions.credit == nil {
		return true
	}
	reservation, err := c.extensions.credit.Reserve(&r.Request)
	if err != nil {
		wait, reason := c.extensions.credit.RetryAfter(err)
		log.Debug("request rejected", logging.KeyRequestID, r.Txn, logging.KeyClass, r.Class,
			logging.KeyReason, "no credit", logging.KeyAccount, r.Account, operatorhint.Attr(err))
		c.answer(r, Answer{Verdict: Rejected, RetryAfter: wait, Reason: reason})
		return false
	}
	r.reservation = reservation
	return true
}

// settleCredit settles what was set aside for a request. What may have run is charged.
func (c *Core) settleCredit(r *request, mayHaveRun bool, bytes int) {
	if r.reservation == nil || c.extensions.credit == nil {
		return
	}
	if mayHaveRun {
		c.extensions.credit.Charge(r.reservation, bytes)
	} else {
		c.extensions.credit.Release(r.reservation)
	}
	r.reservation = nil
}
