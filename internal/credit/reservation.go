package credit

import "time"

// withdrawAheadRequests is the number of requests that a withdrawal for an account in use pays for, at least.
const withdrawAheadRequests = 16

const (
	retryAfterExhausted       = time.Second
	retryAfterPendingTransfer = 50 * time.Millisecond
)

// Reservation is the amount that is set aside for a request. It is settled by one call of Charge or Release.
type Reservation struct {
	Account string
	price   Price // at the time of the reservation
	amount  int64 // in millionths of a credit
}

// Reserve sets aside the highest amount that a request of a class may cost. If the request is rejected, the error is an
// UnknownAccountError, FundsExhaustedError, FundsPacedError, TransferPendingError, LedgerWriteError or
// StaleLedgerError.
func (l *Ledger) Reserve(now time.Duration, accountName, class string) (Reservation, error) {
	a := l.accounts[accountName]
	if a == nil {
		return Reservation{}, UnknownAccountError{accountName}
	}
	price := l.settings.Prices[class]
	amount := price.Cost(l.settings.MaxResponseBytes)
	switch {
	case l.identity.state == identityStale: // rights withdrawn earlier may be spent already, too
		return Reservation{}, l.identity.err
	case amount == 0:
		return Reservation{Account: accountName, price: price}, nil
	case a.available < amount:
		a.rejectedSinceTick = true
		l.withdraw(a, withdrawAheadRequests*amount)
		return Reservation{}, l.rejectUnavailable(now, a, amount)
	case a.pacer.level == LevelLow && !l.takeFromPacer(now, a, price, amount):
		l.Totals.RejectedPaced++
		a.rejectedSinceTick = true
		return Reservation{}, FundsPacedError{accountName, l.settings.TickInterval}
	}
	a.available -= amount
	a.reserved += amount
	a.spentSinceTick += amount
	l.withdrawAhead(a, amount)
	return Reservation{accountName, price, amount}, nil
}

// withdrawAhead withdraws rights for the next requests if few are left in memory, without waiting for the next tick.
func (l *Ledger) withdrawAhead(a *account, amount int64) {
	needed := int64(a.spendingRate * l.settings.WithdrawalWindow.Seconds())
	if a.available+a.withdrawing < max(needed/2, withdrawAheadRequests/2*amount) {
		l.withdraw(a, max(needed, withdrawAheadRequests*amount))
	}
}

// rejectUnavailable returns the error for an amount that is not available now. If too few rights are left at this router
// but others have reported enough to make up for it, it requests a transfer. It counts the rejected request, except if
// the error is a LedgerWriteError.
func (l *Ledger) rejectUnavailable(now time.Duration, a *account, amount int64) error {
	spendable := a.spendable()
	if spendable >= amount && l.writes.err != nil {
		return l.writes.err
	}
	if spendable < amount {
		if spendable+l.peers.balance(now, a.name) < amount {
			l.Totals.RejectedExhausted++
			return FundsExhaustedError{a.name, retryAfterExhausted}
		}
		l.requestTransfer(now, a)
	}
	l.Totals.RejectedPending++
	return TransferPendingError{a.name, retryAfterPendingTransfer}
}

// Charge settles a request that was served, or may have run, and returns the amount charged for a response of
// responseBytes bytes: at most the reserved amount. The rest of the reservation becomes available again.
func (l *Ledger) Charge(r Reservation, responseBytes int) int64 {
	amount := min(r.price.Cost(responseBytes), r.amount)
	l.settle(r, amount)
	return amount
}

// Release settles a request that never ran, or was rejected. Nothing is charged.
func (l *Ledger) Release(r Reservation) { l.settle(r, 0) }

func (l *Ledger) settle(r Reservation, charged int64) {
	a := l.accounts[r.Account]
	if a == nil || r.amount == 0 {
		return
	}
	released := r.amount - charged
	a.reserved -= r.amount
	a.available += released
	a.charged += charged
	a.spentSinceTick -= released
	l.Totals.Charged += charged
	l.Totals.Released += released
}
