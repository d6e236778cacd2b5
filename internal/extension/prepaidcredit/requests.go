package prepaidcredit

import (
	"errors"
	"time"

	"hillknot/internal/core"
	"hillknot/internal/credit"
)

// Reasons of rejected requests, as clients read them.
const (
	reasonExhausted      = "funds-out"
	reasonPaced          = "funds-low"
	reasonPending        = "funds-moving"
	reasonUnknownAccount = "no-account"
	reasonFault          = "credit"
)

// retryAfterFault is what clients wait while the ledger can't be used.
const retryAfterFault = time.Second

// Reserve implements core.Credit.
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

// Charge implements core.Credit.
func (e *Extension) Charge(r core.Reservation, bytes int) {
	if reservation, ok := r.(credit.Reservation); ok { // else it was free
		e.ledger.Charge(reservation, bytes)
	}
}

// Release implements core.Credit.
func (e *Extension) Release(r core.Reservation) {
	if reservation, ok := r.(credit.Reservation); ok { // else it was free
		e.ledger.Release(reservation)
	}
}

// RetryAfter implements core.Credit: it returns what the client of a rejected request is told.
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
