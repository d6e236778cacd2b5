package core

import (
	"time"

	"hillknot/internal/logging"
	"hillknot/internal/operatorhint"
)

// Reservation is the amount that Credit has set aside for a request; nil: nothing.
type Reservation any

// Credit charges requests to prepaid accounts. Its methods are called on the core's goroutine, and none but
// Close may block.
type Credit interface {
	// Reserve sets aside the most that a request may cost. After an error the request is rejected, and does not run.
	Reserve(q *Request) (Reservation, error)
	// Charge settles the reservation of a request that was served with a body of the given size, or that may have run.
	Charge(r Reservation, bytes int)
	// Release returns the reservation of a request that surely never ran.
	Release(r Reservation)
	// RetryAfter returns the wait and the reason that the client gets after an error of Reserve.
	RetryAfter(err error) (wait time.Duration, reason string)
	// Flush starts to write and send the data that is ready. It is called at the end of each iteration of the loop.
	Flush()
	// Metrics returns the figures of prepaid credit for operators.
	Metrics() []Metric
	// Close returns the unspent credit as the router ends.
	Close()
}

// SetCredit sets the extension that charges requests to accounts. It is called once.
func (c *Core) SetCredit(credit Credit) { c.extensions.credit = credit }

// CloseCredit returns the unspent credit. It is called once nothing is open any more.
func (c *Core) CloseCredit() {
	if c.extensions.credit != nil {
		c.extensions.credit.Close()
		c.extensions.credit = nil
	}
}

// reserveCredit sets aside the most that a request may cost, and reports whether the request goes on. A request that
// can't be paid for is rejected at once.
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

// settleCredit settles the reservation of a request. The request is charged if it may have run.
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
