package main

import (
	"testing"
	"time"

	"hillknot/loadtest"
)

// Routers that share budgets together spend no more than these budgets, lose no request and run no order twice, while some
// routers are cut off, cut off in one direction, killed and stopped.
func TestSharedBudgetsHoldUnderFaults(t *testing.T) {
	inParallel(t)
	settings := loadtest.ClusterSettings{Program: program(t), Routers: 5, FaultLength: 3 * time.Second, Seed: 1}
	results, err := loadtest.BudgetFaults(settings, []string{
		"two cut off from the rest",
		"one hears, is not heard",
		"kill and restart",
		"pause (SIGSTOP)",
		"keys rotated",
		"drawn from the seed",
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, result := range results {
		if result.Broken() || result.Sent < 300 || result.SlowStart.Attempts+result.Retries.Attempts == 0 {
			t.Errorf("%+v", result)
		}
	}
}

// Routers of a cluster agree whether an endpoint is ejected or has recovered, and how often it failed.
func TestClusterAgreesOnEndpointHealth(t *testing.T) {
	inParallel(t)
	if err := loadtest.CheckOutlierAgreement(loadtest.ClusterSettings{Program: program(t), Routers: 5, Seed: 1}); err != nil {
		t.Error(err)
	}
}
