// Command hillknot-loadtest measures the product on loopback: real routers, stand-ins for all that they talk to.
package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"hillknot/loadtest"
)

// soakCommand runs routers through troubles that overlap.
func soakCommand() *cobra.Command {
	set := loadtest.SoakSettings{}
	first, count := uint64(1), 20
	c := &cobra.Command{
		Use: "soak", Short: "Run router processes through troubles that overlap, judged by invariants", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			for i := range count {
				set.Seeds = append(set.Seeds, first+uint64(i))
			}
			return loadtest.Soak(set, cmd.OutOrStdout())
		},
	}
	c.Flags().StringVar(&set.Router, "router", "bin/hillknot", "the router `PROGRAM`")
	c.Flags().IntVar(&set.Routers, "routers", 24, "how many")
	c.Flags().IntVar(&set.Caches, "caches", 6, "how many")
	c.Flags().DurationVar(&set.Length, "length", 12*time.Second, "of each seed")
	c.Flags().Uint64Var(&first, "seed", first, "the first")
	c.Flags().IntVar(&count, "seeds", count, "how many")
	return c
}

// scaleCommand measures one router beside more and more page caches.
func scaleCommand() *cobra.Command {
	set := loadtest.ScaleSettings{}
	c := &cobra.Command{
		Use: "scale", Short: "Measure one router beside 200, 800 and 3,200 page caches, and hold it to its bounds", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return loadtest.MeasureScale(set, cmd.OutOrStdout()) },
	}
	c.Flags().StringVar(&set.Router, "router", "bin/hillknot", "the router `PROGRAM`")
	c.Flags().IntSliceVar(&set.Sizes, "sizes", []int{200, 800, 3200}, "page caches on the list; the first is the usual size")
	c.Flags().StringSliceVar(&set.Days, "days", loadtest.ScaleDays, "what is measured")
	c.Flags().DurationVar(&set.Length, "length", 12*time.Second, "of a day")
	c.Flags().Float64Var(&set.Rate, "rate", 5, "requests a second")
	seeds := []uint{1, 2}
	c.Flags().UintSliceVar(&seeds, "seeds", seeds, "of the requests")
	run := c.RunE
	c.RunE = func(cmd *cobra.Command, args []string) error {
		for _, s := range seeds {
			set.Seeds = append(set.Seeds, uint64(s))
		}
		return run(cmd, args)
	}
	return c
}

func main() {
	root := &cobra.Command{Use: "hillknot-loadtest", Short: "Measure hillknot on loopback", SilenceUsage: true}
	var bin, talker, only string
	var quick bool
	clients := &cobra.Command{
		Use: "clients", Short: "Compare the client library with a plain client, in some five minutes", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return loadtest.CompareClients(bin, quick, only, cmd.OutOrStdout())
		},
	}
	clients.Flags().StringVar(&bin, "router", "bin/hillknot", "the router `PROGRAM`")
	clients.Flags().BoolVar(&quick, "quick", false, "in a fifth of the time, to see that it runs")
	clients.Flags().StringVar(&only, "only", "", "one `PART` of "+strings.Join(loadtest.ClientParts, ", "))
	var routers int
	var each time.Duration
	var seed uint64
	together := &cobra.Command{
		Use: "together", Short: "Run routers that share budgets through faults between them, in some two minutes", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return loadtest.MeasureBudgets(talker, routers, each, seed, cmd.OutOrStdout())
		},
	}
	together.Flags().StringVar(&talker, "router", "bin/hillknot-cluster", "the router `PROGRAM`, built with the tag cluster")
	together.Flags().IntVar(&routers, "routers", 7, "how many")
	together.Flags().DurationVar(&each, "each", 8*time.Second, "how long each fault lasts")
	together.Flags().Uint64Var(&seed, "seed", 1, "of the faults and the load")
	var kills int
	outlive := &cobra.Command{
		Use: "outlive", Short: "Kill, stop and cut off routers that keep each other's orders", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return loadtest.MeasureFailover(talker, routers, kills, each, seed, cmd.OutOrStdout())
		},
	}
	outlive.Flags().StringVar(&talker, "router", "bin/hillknot-cluster", "the router `PROGRAM`, built with the tag cluster")
	outlive.Flags().IntVar(&routers, "routers", 7, "how many")
	outlive.Flags().IntVar(&kills, "kills", 1000, "how many, one after the other")
	outlive.Flags().DurationVar(&each, "each", 8*time.Second, "how long each fault lasts")
	outlive.Flags().Uint64Var(&seed, "seed", 1, "of the faults and the load")
	pay := &cobra.Command{
		Use: "credit", Short: "Run routers that share prepaid balances through faults", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return loadtest.MeasureCredit(talker, routers, each, seed, cmd.OutOrStdout())
		},
	}
	pay.Flags().StringVar(&talker, "router", "bin/hillknot-cluster", "the router `PROGRAM`, built with the tag cluster")
	pay.Flags().IntVar(&routers, "routers", 7, "how many")
	pay.Flags().DurationVar(&each, "each", 4*time.Second, "how long each fault lasts")
	pay.Flags().Uint64Var(&seed, "seed", 1, "of the load")
	root.AddCommand(clients, together, outlive, pay, scaleCommand(), soakCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
