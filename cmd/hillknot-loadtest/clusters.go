package main

import (
	"time"

	"github.com/spf13/cobra"

	"hillknot/loadtest"
)

// addClusterFlags adds the flags that all measurements of a cluster have. faultLength is the default length of each fault.
func addClusterFlags(c *cobra.Command, settings *loadtest.ClusterSettings, faultLength time.Duration) {
	c.Flags().StringVar(&settings.Program, "router", "bin/hillknot-cluster", "the router `PROGRAM`, built with the tag cluster")
	c.Flags().IntVar(&settings.Routers, "routers", 7, "number of routers")
	c.Flags().DurationVar(&settings.FaultLength, "each", faultLength, "how long each fault lasts")
	c.Flags().Uint64Var(&settings.Seed, "seed", 1, "seed of the faults and the load")
}

// budgetsCommand returns the command that measures budgets shared by routers.
func budgetsCommand() *cobra.Command {
	var settings loadtest.ClusterSettings
	c := &cobra.Command{
		Use: "together", Short: "Run routers that share budgets through faults between them, in about two minutes", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return loadtest.MeasureBudgets(settings, cmd.OutOrStdout())
		},
	}
	addClusterFlags(c, &settings, 8*time.Second)
	return c
}

// failoverCommand returns the command that measures routers which take over each other's orders.
func failoverCommand() *cobra.Command {
	var settings loadtest.ClusterSettings
	var kills int
	c := &cobra.Command{
		Use: "outlive", Short: "Kill, stop and partition routers that take over each other's orders", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return loadtest.MeasureFailover(settings, kills, cmd.OutOrStdout())
		},
	}
	addClusterFlags(c, &settings, 8*time.Second)
	c.Flags().IntVar(&kills, "kills", 1000, "number of kills, one after the other")
	return c
}

// creditCommand returns the command that measures prepaid balances shared by routers.
func creditCommand() *cobra.Command {
	var settings loadtest.ClusterSettings
	c := &cobra.Command{
		Use: "credit", Short: "Run routers that share prepaid balances through faults", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return loadtest.MeasureCredit(settings, cmd.OutOrStdout())
		},
	}
	addClusterFlags(c, &settings, 4*time.Second)
	return c
}
