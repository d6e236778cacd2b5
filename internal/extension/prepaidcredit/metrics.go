package prepaidcredit

import (
	"hillknot/internal/core"
	"hillknot/internal/credit"
)

// Metrics implements core.Credit: it returns the metrics as of the latest tick.
func (e *Extension) Metrics() []core.Metric { return e.metrics }

// ledgerMetrics returns the metrics of a ledger. Amounts are in millionths of a credit.
func ledgerMetrics(totals credit.Totals, accounts []credit.AccountStatus) []core.Metric {
	counter := func(name, help string, value uint64) core.Metric {
		return core.Metric{Name: name, Help: help, Value: value, Counter: true}
	}
	gauge := func(name, help string, value uint64) core.Metric {
		return core.Metric{Name: name, Help: help, Value: value}
	}
	metrics := []core.Metric{
		counter("credit_charged", "Charged by this router, in millionths.", uint64(totals.Charged)),
		counter("credit_given", "Rights given to other routers, in millionths.", uint64(totals.TransferredOut)),
		counter("credit_taken", "Rights taken from other routers, in millionths.", uint64(totals.TransferredIn)),
		counter("credit_refused_out", "Requests refused as funds are out.", totals.RejectedExhausted),
		counter("credit_refused_low", "Requests refused as funds are low and paced.", totals.RejectedPaced),
		counter("credit_refused_moving", "Requests refused as rights were on their way.", totals.RejectedPending),
	}
	byLevel, held := map[credit.Level]uint64{}, int64(0)
	for _, account := range accounts {
		byLevel[account.Level]++
		held += max(account.Rights, 0) + account.Available + account.Reserved
	}
	for level := credit.LevelAmple; level <= credit.LevelExhausted; level++ {
		name := "credit_accounts_" + level.String()
		metrics = append(metrics, gauge(name, "Accounts that stand so with this router.", byLevel[level]))
	}
	return append(metrics, gauge("credit_held", "Rights that this router holds, in millionths.", uint64(held)))
}
