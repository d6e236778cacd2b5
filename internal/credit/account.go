package credit

import (
	"math"
	"time"
)

// account is what this router holds of one customer's balance. Amounts are millionths of a credit.
//
// A right goes from the record to withdrawing (the record that it was withdrawn is being written), then to available,
// then to reserved, and is then charged or becomes available again. What is available, reserved or withdrawing is
// lost if the process is killed, as the record no longer has it.
type account struct {
	name   string
	record accountRecord

	unwritten   int64 // the part of record.Rights that is not durable yet: it can neither be withdrawn nor transferred
	withdrawing int64
	available   int64
	reserved    int64
	charged     int64 // since the start of the process

	spentSinceTick    int64
	spendingRate      float64 // a second; smoothed
	rejectedSinceTick bool    // a request was, as too little was available or its class was paced
	pacer             pacer

	requestedAt time.Duration // when rights were requested from another router last
}

// spendable returns what this router may still spend of the account.
func (a *account) spendable() int64 { return max(a.record.Rights, 0) + a.available + a.withdrawing }

// durableRights returns the rights that can be withdrawn or transferred.
func (a *account) durableRights() int64 { return a.record.Rights - a.unwritten }

// spentWithin returns how much is spent in a time at the present rate, times a factor, rounded up.
func (a *account) spentWithin(window time.Duration, factor float64) int64 {
	return int64(math.Ceil(factor * a.spendingRate * window.Seconds()))
}

// spendingRateDecay is the time in which the weight of older spending falls to 1/e.
const spendingRateDecay = 2 * time.Second

// negligibleRate is the spending rate, in millionths of a credit a second, below which an account counts as unused.
const negligibleRate = 1e-3

// updateRate moves the smoothed spending rate towards that of the latest interval between two ticks.
func (a *account) updateRate(interval time.Duration) {
	keep := math.Exp(-interval.Seconds() / spendingRateDecay.Seconds())
	a.spendingRate = a.spendingRate*keep + float64(max(a.spentSinceTick, 0))/interval.Seconds()*(1-keep)
	if a.spendingRate < negligibleRate {
		a.spendingRate = 0
	}
	a.spentSinceTick = 0
}

// account returns the account of a name, and adds it if the ledger has none.
func (l *Ledger) account(name string) *account {
	a := l.accounts[name]
	if a == nil {
		a = &account{name: name}
		l.accounts[name] = a
	}
	return a
}

// addRights adds rights to an account's record; a negative amount takes them away. Rights that are added can be spent
// once the record is durable; rights that are taken away are gone at once. The records of the other keys are written
// together with that of the account.
func (l *Ledger) addRights(a *account, amount int64, keys ...string) {
	added := max(amount, 0)
	a.record.Rights += amount
	a.unwritten += added
	l.writes.change(func(time.Duration) { a.unwritten -= added }, append(keys, accountKey(a.name))...)
}

// withdraw moves rights from the record to memory, where requests are paid from: as much as is spent in the withdrawal
// window, and at least what is needed.
func (l *Ledger) withdraw(a *account, needed int64) {
	wanted := max(a.spentWithin(l.settings.WithdrawalWindow, 1), needed, 1) - a.available - a.withdrawing
	amount := min(wanted, a.durableRights())
	if amount <= 0 || l.identity.state == identityStale || l.writes.err != nil {
		return
	}
	a.record.Rights -= amount
	a.record.Withdrawn += amount
	a.withdrawing += amount
	l.writes.change(func(time.Duration) {
		a.withdrawing -= amount
		a.available += amount
	}, accountKey(a.name))
}

// returnAvailable moves what is available, but for what is to be kept, back to the record.
func (l *Ledger) returnAvailable(a *account, keep int64) {
	amount := a.available - keep
	if amount <= 0 {
		return
	}
	a.available -= amount
	a.record.Withdrawn -= amount
	l.addRights(a, amount)
}

// standby returns how much is withdrawn even of an account that nobody uses: enough for the next two requests, so
// that these need not wait for the disk.
func (l *Ledger) standby(a *account) int64 {
	dearest := int64(0)
	for _, price := range l.settings.Prices {
		dearest = max(dearest, price.Cost(l.settings.MaxResponseBytes))
	}
	return min(2*dearest, max(a.durableRights(), 0)+a.available+a.withdrawing)
}

// rebalance withdraws or returns rights by how fast an account is spent, and requests some from another router if
// those of this router don't last.
func (l *Ledger) rebalance(now time.Duration, a *account) {
	needed := a.spentWithin(l.settings.WithdrawalWindow, 1)
	standby := l.standby(a)
	if a.available+a.withdrawing < max(needed/2, standby) || a.rejectedSinceTick {
		l.withdraw(a, max(needed, standby))
	}
	if a.available > 4*max(needed, standby) && a.spendingRate == 0 {
		l.returnAvailable(a, standby)
	}
	if a.spendable() < 2*needed || a.rejectedSinceTick && a.durableRights() <= 0 {
		l.requestTransfer(now, a)
	}
}
