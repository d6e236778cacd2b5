package main

import (
	"strings"
	"time"

	"github.com/spf13/cobra"

	"hillknot/loadtest"
)

// addRouterFlag adds the flag that names the router program.
func addRouterFlag(c *cobra.Command, program *string) {
	c.Flags().StringVar(program, "router", "bin/hillknot", "the router `PROGRAM`")
}

// clientsCommand returns the command that compares the client library with a plain client.
func clientsCommand() *cobra.Command {
	var settings loadtest.ClientSettings
	c := &cobra.Command{
		Use: "clients", Short: "Compare the client library with a plain client, in about five minutes", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return loadtest.CompareClients(settings, cmd.OutOrStdout())
		},
	}
	addRouterFlag(c, &settings.Program)
	c.Flags().BoolVar(&settings.Quick, "quick", false, "take a fifth of the time, only to check that it runs")
	c.Flags().StringVar(&settings.Only, "only", "", "run only one `PART` of "+strings.Join(loadtest.ClientParts, ", "))
	return c
}

// scaleCommand returns the command that measures one router with increasing numbers of page caches.
func scaleCommand() *cobra.Command {
	var settings loadtest.ScaleSettings
	seeds := []uint{1, 2}
	c := &cobra.Command{
		Use: "scale", Short: "Measure one router with 200, 800 and 3,200 page caches against its bounds", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			for _, seed := range seeds {
				settings.Seeds = append(settings.Seeds, uint64(seed))
			}
			return loadtest.MeasureScale(settings, cmd.OutOrStdout())
		},
	}
	addRouterFlag(c, &settings.Program)
	c.Flags().IntSliceVar(&settings.Sizes, "sizes", []int{200, 800, 3200}, "numbers of page caches; the first is the usual one")
	c.Flags().StringSliceVar(&settings.Days, "days", loadtest.ScaleDays, "kinds of days that are measured")
	c.Flags().DurationVar(&settings.Length, "length", 12*time.Second, "length of a day")
	c.Flags().Float64Var(&settings.Rate, "rate", 5, "requests per second")
	c.Flags().UintSliceVar(&seeds, "seeds", seeds, "seeds of the requests")
	return c
}

// soakCommand returns the command that runs routers through overlapping faults.
func soakCommand() *cobra.Command {
	var settings loadtest.SoakSettings
	firstSeed, count := uint64(1), 50
	c := &cobra.Command{
		Use: "soak", Short: "Run router processes through overlapping faults, judged by invariants", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			for i := range count {
				settings.Seeds = append(settings.Seeds, firstSeed+uint64(i))
			}
			return loadtest.Soak(settings, cmd.OutOrStdout())
		},
	}
	addRouterFlag(c, &settings.Program)
	c.Flags().IntVar(&settings.Routers, "routers", 24, "number of routers")
	c.Flags().IntVar(&settings.Caches, "caches", 6, "number of page caches")
	c.Flags().DurationVar(&settings.Length, "length", 12*time.Second, "length of the run of each seed")
	c.Flags().Uint64Var(&firstSeed, "seed", firstSeed, "first seed")
	c.Flags().IntVar(&count, "seeds", count, "number of seeds")
	return c
}

// floodsCommand returns the command that runs one router under floods and failing peers.
func floodsCommand() *cobra.Command {
	var settings loadtest.FloodSettings
	c := &cobra.Command{
		Use: "floods", Short: "Run a router under floods, judged by its memory, its end and its answers", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return loadtest.MeasureFloods(settings, cmd.OutOrStdout())
		},
	}
	addRouterFlag(c, &settings.Program)
	c.Flags().StringVar(&settings.ClusterProgram, "cluster-router", "bin/hillknot-cluster", "the router `PROGRAM` with the tag cluster")
	c.Flags().StringSliceVar(&settings.Kinds, "kinds", loadtest.FloodKinds(), "kinds of floods")
	c.Flags().DurationVar(&settings.Length, "length", 4*time.Second, "length of each flood")
	return c
}
