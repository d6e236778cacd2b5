package loadtest

import (
	"fmt"
	"io"
	"strings"
	"time"
)

const (
	creditRateClients  = 64
	creditFaultClients = 12
	creditTopUp        = 1500 // credits before each fault
)

// MeasureCredit compares how many pages a second are served without and with balances, runs a cluster that shares balances
// through all faults, and writes a table of the results.
func MeasureCredit(settings ClusterSettings, out io.Writer) error {
	freeRate, err := freePageRate(settings)
	if err != nil {
		return err
	}
	paidRate, err := paidPageRate(settings)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(out, "pages a second of %d clients, one after the other: %.0f free, %.0f paid for, %.3f\n", creditRateClients,
		freeRate, paidRate, paidRate/freeRate)
	c, err := StartCreditCluster(settings, map[string]float64{depletedAccount: 100, ampleAccount: 1e6})
	if err != nil {
		return err
	}
	defer c.Close()
	results, err := c.RunCreditFaults(settings.FaultLength, creditFaultClients, creditTopUp, nil)
	writeCreditTable(results, out)
	return err
}

// writeCreditTable writes results as a table.
func writeCreditTable(results []CreditResult, out io.Writer) {
	_, _ = fmt.Fprintf(out, "| fault | funded so far | spent so far | most of spent over funded | stranded "+
		"| served in a second after half a second of none | the other account, over before | served | refused | orders twice |\n|%s\n",
		strings.Repeat("---|", 10))
	for _, r := range results {
		_, _ = fmt.Fprintf(out, "| %s | %.0f | %.0f | %.4f | %.4f | %d | %.2f | %d | %d | %d |\n", r.Fault, r.Funded, r.Spent,
			r.MaxSpentRatio, r.Stranded, r.ServedAfterEmpty, r.FundedRatio, r.Served, r.Rejected, r.OrdersRunTwice)
	}
}

// freePageRate measures how many pages a second independent routers serve.
func freePageRate(settings ClusterSettings) (float64, error) {
	c, err := startWithoutFailover(settings)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	return c.pageRate("", settings.FaultLength)
}

// paidPageRate measures how many pages a second a cluster serves on an account with funds.
func paidPageRate(settings ClusterSettings) (float64, error) {
	c, err := StartCreditCluster(settings, map[string]float64{ampleAccount: 1e9})
	if err != nil {
		return 0, err
	}
	defer c.Close()
	time.Sleep(time.Second) // until every router has a share of the balance
	return c.pageRate(ampleAccount, settings.FaultLength)
}

// pageRate measures how many pages a second are served to clients that each send one request after another.
func (c *FailoverCluster) pageRate(account string, length time.Duration) (float64, error) {
	c.orders.answerPagesQuickly()
	load := newPayingClients()
	defer load.finish()
	for i := range creditRateClients {
		paying, err := c.newPayingClient(payingClientOptions{account: account, seed: uint64(i) + 1})
		if err != nil {
			return 0, err
		}
		load.start(account, paying, 0)
	}
	time.Sleep(length / 4)
	return float64(load.servedWithin(account, length)) / length.Seconds(), nil
}
