package credit

import (
	"math"
	"time"
)

// account holds this router's part of one customer's balance. Amounts are in millionths of a credit.
//
// A right moves from record.Rights to withdrawing (while the record of the withdrawal is being written), then to
// available, then to reserved. It is then charged or becomes available again. Rights that are withdrawing, available or
// reserved are lost if the process is killed, because the record no longer contains them.
type account struct {
	name   string
	record accountRecord

	unwritten   int64 // part of record.Rights that is not durable yet and so can be neither withdrawn nor transferred
	withdrawing int64
	available   int64
	reserved    int64
	charged     int64 // since the start of the process

	spentSinceTick    int64
	spendingRate      float64 // per second, smoothed
	rejectedSinceTick bool    // a request was rejected because too little was available or the account was paced
	pacer             pacer

	transferRequestedAt time.Duration // time of the latest request for rights from another router
}

// spendable returns the amount that this router may still spend of the account, without what is reserved.
func (a *account) spendable() int64 { return max(a.record.Rights, 0) + a.available + a.withdrawing }

// durableRights returns the rights on record that can be withdrawn or transferred.
func (a *account) durableRights() int64 { return a.record.Rights - a.unwritten }

// projectedSpending returns the amount that is spent within window at the present rate, times factor, rounded up.
func (a *account) projectedSpending(window time.Duration, factor float64) int64 {
	return int64(math.Ceil(factor * a.spendingRate * window.Seconds()))
}

// spendingRateDecay is the time in which the weight of older spending falls to 1/e.
const spendingRateDecay = 2 * time.Second

// negligibleRate is the spending rate, in millionths of a credit per second, below which an account counts as unused.
const negligibleRate = 1e-3

// updateRate moves the smoothed spending rate towards the rate of the latest interval between two ticks.
func (a *account) updateRate(interval time.Duration) {
	decay := math.Exp(-interval.Seconds() / spendingRateDecay.Seconds())
	a.spendingRate = a.spendingRate*decay + float64(max(a.spentSinceTick, 0))/interval.Seconds()*(1-decay)
	if a.spendingRate < negligibleRate {
		a.spendingRate = 0
	}
	a.spentSinceTick = 0
}

// account returns the account with the given name, and adds it if the ledger does not have it.
func (l *Ledger) account(name string) *account {
	a := l.accounts[name]
	if a == nil {
		a = &account{name: name}
		l.accounts[name] = a
	}
	return a
}

// addRights adds rights to an account's record; a negative amount removes rights. Added rights can be spent once the
// record is durable; removed rights are gone at once. The records with the other keys are written in the same group as
// the account's record.
func (l *Ledger) addRights(a *account, amount int64, keys ...string) {
	added := max(amount, 0)
	a.record.Rights += amount
	a.unwritten += added
	l.writes.markChanged(func(time.Duration) { a.unwritten -= added }, append(keys, accountKey(a.name))...)
}

// withdraw moves rights from the record to memory, from which requests are paid. It withdraws until the rights in
// memory cover the spending of one withdrawal window, and at least the needed amount, as far as the durable rights
// suffice. It does nothing while the ledger is stale or its latest write has failed.
func (l *Ledger) withdraw(a *account, needed int64) {
	wanted := max(a.projectedSpending(l.settings.WithdrawalWindow, 1), needed, 1) - a.available - a.withdrawing
	amount := min(wanted, a.durableRights())
	if amount <= 0 || l.identity.state == identityStale || l.writes.err != nil {
		return
	}
	a.record.Rights -= amount
	a.record.Withdrawn += amount
	a.withdrawing += amount
	l.writes.markChanged(func(time.Duration) {
		a.withdrawing -= amount
		a.available += amount
	}, accountKey(a.name))
}

// returnAvailable moves the available rights, except for the amount keep, back to the record.
func (l *Ledger) returnAvailable(a *account, keep int64) {
	amount := a.available - keep
	if amount <= 0 {
		return
	}
	a.available -= amount
	a.record.Withdrawn -= amount
	l.addRights(a, amount)
}

// minAvailable returns the amount that is kept withdrawn even of an unused account: enough for two of the most
// expensive requests, so that the next two requests need not wait for the disk.
func (l *Ledger) minAvailable(a *account) int64 {
	highestCost := int64(0)
	for _, price := range l.settings.Prices {
		highestCost = max(highestCost, price.Cost(l.settings.MaxResponseBytes))
	}
	return min(2*highestCost, max(a.durableRights(), 0)+a.available+a.withdrawing)
}

// rebalance withdraws or returns rights depending on how fast an account is spent, and requests rights from another
// router if this router's rights do not last.
func (l *Ledger) rebalance(now time.Duration, a *account) {
	needed := a.projectedSpending(l.settings.WithdrawalWindow, 1)
	minimum := l.minAvailable(a)
	if a.available+a.withdrawing < max(needed/2, minimum) || a.rejectedSinceTick {
		l.withdraw(a, max(needed, minimum))
	}
	if a.available > 4*max(needed, minimum) && a.spendingRate == 0 {
		l.returnAvailable(a, minimum)
	}
	if a.spendable() < 2*needed || a.rejectedSinceTick && a.durableRights() <= 0 {
		l.requestTransfer(now, a)
	}
}
