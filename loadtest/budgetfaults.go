package loadtest

import (
	"fmt"
	"slices"
	"time"

	"hillknot/internal/testutil/faultnet"
)

// budgetFault is a fault that is applied to a cluster which shares budgets.
type budgetFault struct {
	name      string
	converges bool // after the fault, every router has to see every other again
	apply     func(*BudgetCluster) error
}

// budgetFaults returns the faults, in the order in which they are applied. A fault of the network lasts until a later one
// heals the network.
func budgetFaults(settings ClusterSettings) []budgetFault {
	return []budgetFault{
		{"none", true, func(*BudgetCluster) error { return nil }},
		{"two cut off from the rest", false, func(c *BudgetCluster) error { c.Network.Partition([]int{0, 1}); return nil }},
		{"heal", true, func(c *BudgetCluster) error { c.Network.Heal(); return nil }},
		{"one isolated", false, func(c *BudgetCluster) error { c.Network.Partition([]int{0}); return nil }},
		{"one hears, is not heard", false, (*BudgetCluster).blockOutbound},
		{"a third of the packets lost, others late", false, func(c *BudgetCluster) error {
			c.Network.Heal()
			c.Network.Impair(0.33, 300*time.Millisecond)
			return nil
		}},
		{"kill and restart", true, (*BudgetCluster).restartTwo},
		{"pause (SIGSTOP)", true, func(c *BudgetCluster) error { c.Routers[1].stopFor(settings.FaultLength / 3); return nil }},
		{"keys rotated", true, func(c *BudgetCluster) error { return c.rotateKeys() }},
		{"drawn from the seed", true, func(c *BudgetCluster) error {
			return c.runSchedule(faultnet.Schedule(settings.Seed, settings.Routers, 2*settings.FaultLength, settings.FaultLength/8))
		}},
	}
}

// blockOutbound blocks what the first router sends to the others. It still receives what they send.
func (c *BudgetCluster) blockOutbound() error {
	c.Network.Heal()
	c.Network.Block([]int{0}, c.others(0))
	return nil
}

// restartTwo kills two routers, one after the other, and starts each again at once.
func (c *BudgetCluster) restartTwo() error {
	c.Network.Heal()
	for _, r := range c.Routers[:2] {
		if err := r.restart(); err != nil {
			return err
		}
	}
	return nil
}

// BudgetFaults runs a cluster that shares budgets through the faults named in only, or through all if only is nil.
func BudgetFaults(settings ClusterSettings, only []string) ([]BudgetResult, error) {
	faults := budgetFaults(settings)
	c, err := startBudgetCluster(settings, len(faults))
	if err != nil {
		return nil, err
	}
	defer c.Close()
	var results []BudgetResult
	for i, fault := range faults {
		if only != nil && !slices.Contains(only, fault.name) {
			continue
		}
		result, err := c.runFault(fault, i, settings.FaultLength)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", fault.name, err)
		}
		if fault.converges {
			if err := c.waitForMembership(); err != nil {
				return nil, fmt.Errorf("after %s: %w", fault.name, err)
			}
		}
		results = append(results, result)
	}
	return results, nil
}

// runFault applies one fault under load while a newly listed page cache warms up, and compares the attempts with the budgets.
// The first router has twice the load of the others, so that it needs more than its share.
func (c *BudgetCluster) runFault(fault budgetFault, unlisted int, length time.Duration) (BudgetResult, error) {
	c.recorder.startWarmUp(clusterCaches + 1 + unlisted)
	packets, began := c.packets(), time.Now()
	c.startLoads(func(router int) float64 {
		if router == 0 {
			return 2 * budgetLoadRate
		}
		return budgetLoadRate
	}, c.seed+uint64(unlisted)*100)
	c.publishEndpoints(endpoint{ID: unlistedCacheName(unlisted - 1), State: stateGone})
	c.listCache(unlisted, unlistedCacheName(unlisted))
	time.Sleep(length / 4)
	if err := fault.apply(c); err != nil {
		return BudgetResult{}, err
	}
	time.Sleep(length / 4 * 3)
	load := c.stopLoads()
	packetRate := float64(c.packets()-packets) / time.Since(began).Seconds() / float64(len(c.Routers))
	return c.compareWithBudgets(fault.name, load, packetRate), nil
}

func unlistedCacheName(unlisted int) string { return fmt.Sprintf("s-new-%d", unlisted) }

// packets returns how many packets the routers have sent each other so far, dropped ones included.
func (c *BudgetCluster) packets() uint64 {
	return c.Network.PacketsForwarded.Load() + c.Network.PacketsDropped.Load()
}

// compareWithBudgets compares the attempts that page caches received during a fault with the budgets.
func (c *BudgetCluster) compareWithBudgets(fault string, load PipelinedResult, packetRate float64) BudgetResult {
	c.recorder.mu.Lock()
	defer c.recorder.mu.Unlock()
	result := BudgetResult{
		Fault:         fault,
		SlowStart:     findPeak(c.recorder.slowStartAttempts, slowStartBudget.forRouters(len(c.Routers))),
		Retries:       findPeak(c.recorder.retryAttempts, retryBudget.forRouters(len(c.Routers))),
		Sent:          load.Sent,
		Answered:      load.Answered(),
		Disconnected:  load.Disconnected,
		Unanswered:    load.Unanswered,
		AnsweredTwice: load.AnsweredTwice,
		PacketRate:    packetRate,
	}
	for _, runs := range c.recorder.orderRuns {
		if runs > 1 {
			result.OrdersRunTwice++
		}
	}
	return result
}
