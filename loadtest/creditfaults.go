package loadtest

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// The accounts of the measurement: the funds of one run out in each fault, those of the other never.
const (
	poorAccount = "poor"
	richAccount = "rich"
	richClients = 4
)

// CreditResult is what a fault did to balances.
type CreditResult struct {
	Fault            string
	Funded, Spent    float64 // of the account that ran out, since the start; spent is the price of what clients were served
	MaxSpentRatio    float64 // the highest of spent over funded, of any account
	Served, Rejected int
	OrdersRunTwice   int
	ServedAfterEmpty int     // served in a second after half a second without any
	Stranded         float64 // the fraction of what was funded that nobody could spend in the end
	FundedRatio      float64 // what the account with funds was served, over what it was before the other ran out
}

// Broken reports whether more was spent than was funded, or an order ran twice.
func (r CreditResult) Broken() bool { return r.MaxSpentRatio > 1 || r.OrdersRunTwice > 0 }

// creditFault is a fault that a cluster which shares balances goes through, after a top-up.
type creditFault struct {
	name    string
	readers []int // the routers that read the top-up
	apply   func() error
}

// creditFaults returns the faults, in the order in which they are applied.
func (c *CreditCluster) creditFaults(length time.Duration) []creditFault {
	all := make([]int, len(c.Routers))
	for i := range all {
		all[i] = i
	}
	change := func(apply func()) func() error {
		return func() error {
			apply()
			return nil
		}
	}
	return []creditFault{
		{"none", all, change(func() {})},
		{"two cut off from the rest", all, change(func() { c.Network.Partition([]int{0, 1}) })},
		{"one isolated", all, change(func() { c.Network.Partition([]int{0}) })},
		{"one not heard", all, change(func() { c.Network.Block([]int{0}, all) })},
		{"a third of the packets lost, others late", all, change(func() { c.Network.Impair(0.33, 100*time.Millisecond) })},
		{"top-up read by half of the fleet", all[:len(all)/2], change(func() {})},
		{"stopped (SIGSTOP)", all, change(func() { c.Routers[0].stopFor(length / 4) })},
		{"killed again and again", all, func() error { return c.killRepeatedly(length) }},
		{"rolling restart (SIGTERM)", all, c.rollingRestart},
	}
}

// killRepeatedly restarts two routers in turn.
func (c *CreditCluster) killRepeatedly(length time.Duration) error {
	for i := range 6 {
		if err := c.Routers[i%2].restart(); err != nil {
			return err
		}
		time.Sleep(length / 12)
	}
	return nil
}

// RunCreditFaults runs the cluster under load through the faults that are named, or all. Before each, the account that runs
// out is topped up by an amount.
func (c *CreditCluster) RunCreditFaults(length time.Duration, clients int, amount float64, only []string) (
	[]CreditResult, error) {
	var results []CreditResult
	for _, fault := range c.creditFaults(length) {
		if only != nil && !slices.Contains(only, fault.name) {
			continue
		}
		if err := c.TopUp("for "+fault.name, poorAccount, amount, fault.readers); err != nil {
			return results, err
		}
		result, err := c.runCreditFault(fault, clients, length)
		if err != nil {
			return results, fmt.Errorf("%s: %w", fault.name, err)
		}
		results = append(results, result)
	}
	return results, nil
}

// runCreditFault runs clients of both accounts during a fault, until the funds of one have run out. The network is healed
// before that.
func (c *CreditCluster) runCreditFault(fault creditFault, clients int, length time.Duration) (CreditResult, error) {
	result := CreditResult{Fault: fault.name}
	load := newPayingClients()
	err := c.startCreditLoad(load, clients)
	if err == nil {
		err = c.measureCreditFault(fault, load, length, &result)
	}
	load.finish()
	c.judgeCredit(load, &result)
	return result, err
}

// startCreditLoad starts the clients of both accounts. One in three sends orders.
func (c *CreditCluster) startCreditLoad(load *payingClients, poorClients int) error {
	for i := range poorClients + richClients {
		account := poorAccount
		if i >= poorClients {
			account = richAccount
		}
		w, err := c.newPayingClient(payingClientOptions{account: account, seed: c.nextClientSeed(), claims: true, orders: i%3 == 0})
		if err != nil {
			return err
		}
		load.start(account, w, creditPause)
	}
	return nil
}

// measureCreditFault applies a fault, and measures what is served before it and after the funds have run out.
func (c *CreditCluster) measureCreditFault(fault creditFault, load *payingClients, length time.Duration,
	result *CreditResult) error {
	if err := load.awaitFirstServed(); err != nil {
		return err
	}
	before := load.servedWithin(richAccount, length/4)
	if err := fault.apply(); err != nil {
		return err
	}
	time.Sleep(length / 2)
	c.Network.Heal()
	for range 40 {
		if load.servedWithin(poorAccount, 500*time.Millisecond) == 0 {
			break
		}
	}
	result.ServedAfterEmpty = load.servedWithin(poorAccount, time.Second)
	after := load.servedWithin(richAccount, length/4)
	result.FundedRatio = float64(after) / math.Max(float64(before), 1)
	return nil
}

// judgeCredit compares what clients were served with what was funded.
func (c *CreditCluster) judgeCredit(load *payingClients, result *CreditResult) {
	for account, clients := range load.byAccount {
		for _, w := range clients {
			c.spent[account] += w.spent
			result.Served += w.served
			result.Rejected += w.rejected
		}
		result.MaxSpentRatio = math.Max(result.MaxSpentRatio, c.spent[account]/c.funded[account])
	}
	result.OrdersRunTwice = c.orders.runTwice()
	result.Funded, result.Spent = c.funded[poorAccount], c.spent[poorAccount]
	result.Stranded = 1 - result.Spent/result.Funded
}
