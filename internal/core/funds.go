package core

import (
	"log/slog"
	"time"

	"hillknot/internal/operatorhint"
)

// Reservation is what is set aside for a request, as Funds knows it; nil: nothing.
type Reservation any

// Credit says what a request's account allows. Its methods are called on the core's goroutine; none may block but Close.
type Credit interface {
	Reserve(q *Request) (Reservation, error)                  // an error: it is refused, and never ran
	Charge(r Reservation, bytes int)                          // it was served with so many bytes, or may have run
	Release(r Reservation)                                    // it surely never ran
	RetryAfter(err error) (wait time.Duration, reason string) // what a refused client is told
	Flush()                                                   // what is to be written and said goes out
	Metrics() []Metric                                        // for operators
	Close()                                                   // the router ends
}

// SetCredit has requests paid for. It is called once, on the core's goroutine.
func (c *Core) SetCredit(f Credit) { c.funds = f }

// CloseCredit brings back what is not spent. It is called once nothing is open any more.
func (c *Core) CloseCredit() {
	if c.funds != nil {
		c.funds.Close()
		c.funds = nil
	}
}

// pay sets aside what a request may cost, and tells whether it goes on. One that can't be paid for is refused at once.
func (c *Core) pay(r *request) bool {
	if c.funds == nil {
		return true
	}
	p, err := c.funds.Reserve(&r.Request)
	if err != nil {
		wait, reason := c.funds.RetryAfter(err)
		slog.Debug("request not paid for", "txn", r.Txn, "account", r.Account, operatorhint.Attr(err))
		c.answer(r, Answer{Verdict: Rejected, RetryAfter: wait, Reason: reason})
		return false
	}
	r.paid = p
	return true
}

// settled settles what was set aside for a request. What may have run is paid for.
func (c *Core) settled(r *request, ran bool, bytes int) {
	if r.paid == nil || c.funds == nil {
		return
	}
	if ran {
		c.funds.Charge(r.paid, bytes)
	} else {
		c.funds.Release(r.paid)
	}
	r.paid = nil
}
