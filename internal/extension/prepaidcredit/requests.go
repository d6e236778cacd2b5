package prepaidcredit

import (
	"errors"
	"time"

	"hillknot/internal/core"
	"hillknot/internal/credit"
)

// Reasons of rejected requests, which are sent to clients and must not change.
const (
	reasonExhausted      = "funds-out"
	reasonPaced          = "funds-low"
	reasonPending        = "funds-moving"
	reasonUnknownAccount = "no-account"
	reasonFault          = "credit"
)

// retryAfterFault is how long clients are asked to wait while the ledger cannot be used.
const retryAfterFault = time.Second

// Reserve implements core.Credit: it sets aside credit for a request. A request without an account is free if the
// settings allow it; its reservation is nil.
func (e *Extension) Reserve(q *core.Request) (core.Reservation, error) {
	if q.Account == "" && e.settings.AllowUnnamed {
		return nil, nil
	}
	reservation, err := e.ledger.Reserve(e.core.LoopTime(), q.Account, q.Class)
	if err != nil {
		return nil, err
	}
	return reservation, nil
}

// Charge implements core.Credit: it charges a request for a response of the given size in bytes.
func (e *Extension) Charge(r core.Reservation, bytes int) {
	if reservation, ok := r.(credit.Reservation); ok { // otherwise the request was free
		e.ledger.Charge(reservation, bytes)
	}
}

// Release implements core.Credit: it charges nothing for a request.
func (e *Extension) Release(r core.Reservation) {
	if reservation, ok := r.(credit.Reservation); ok { // otherwise the request was free
		e.ledger.Release(reservation)
	}
}

// RetryAfter implements core.Credit: it returns how long the client of a rejected request is asked to wait, and the
// reason that is sent to the client.
func (e *Extension) RetryAfter(err error) (wait time.Duration, reason string) {
	var (
		exhausted credit.FundsExhaustedError
		paced     credit.FundsPacedError
		pending   credit.TransferPendingError
		unknown   credit.UnknownAccountError
	)
	switch {
	case errors.As(err, &exhausted):
		return exhausted.RetryAfter, reasonExhausted
	case errors.As(err, &paced):
		return paced.RetryAfter, reasonPaced
	case errors.As(err, &pending):
		return pending.RetryAfter, reasonPending
	case errors.As(err, &unknown):
		return 0, reasonUnknownAccount
	}
	return retryAfterFault, reasonFault
}
