// Command hillknot-lab measures the product on loopback: real routers, stand-ins for all that they talk to.
package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"hillknot/lab"
)

func main() {
	root := &cobra.Command{Use: "hillknot-lab", Short: "Measure hillknot on loopback", SilenceUsage: true}
	var bin, talker, only string
	var quick bool
	clients := &cobra.Command{
		Use: "clients", Short: "Compare the client library with a plain client, in some five minutes", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return lab.Clients(bin, quick, only, cmd.OutOrStdout()) },
	}
	clients.Flags().StringVar(&bin, "router", "bin/hillknot", "the router `PROGRAM`")
	clients.Flags().BoolVar(&quick, "quick", false, "in a fifth of the time, to see that it runs")
	clients.Flags().StringVar(&only, "only", "", "one `PART` of "+strings.Join(lab.Parts, ", "))
	var routers int
	var each time.Duration
	var seed uint64
	together := &cobra.Command{
		Use: "together", Short: "Run routers that share budgets through faults between them, in some two minutes", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return lab.Together(talker, routers, each, seed, cmd.OutOrStdout())
		},
	}
	together.Flags().StringVar(&talker, "router", "bin/hillknot-talk", "the router `PROGRAM`, built with talk")
	together.Flags().IntVar(&routers, "routers", 7, "how many")
	together.Flags().DurationVar(&each, "each", 8*time.Second, "how long each fault lasts")
	together.Flags().Uint64Var(&seed, "seed", 1, "of the faults and the load")
	var kills int
	outlive := &cobra.Command{
		Use: "outlive", Short: "Kill, stop and cut off routers that keep each other's orders", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return lab.Outlive(talker, routers, kills, each, seed, cmd.OutOrStdout())
		},
	}
	outlive.Flags().StringVar(&talker, "router", "bin/hillknot-talk", "the router `PROGRAM`, built with talk")
	outlive.Flags().IntVar(&routers, "routers", 7, "how many")
	outlive.Flags().IntVar(&kills, "kills", 1000, "how many, one after the other")
	outlive.Flags().DurationVar(&each, "each", 8*time.Second, "how long each fault lasts")
	outlive.Flags().Uint64Var(&seed, "seed", 1, "of the faults and the load")
	pay := &cobra.Command{
		Use: "credit", Short: "Run routers that share prepaid balances through faults", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return lab.Credit(talker, routers, each, seed, cmd.OutOrStdout())
		},
	}
	pay.Flags().StringVar(&talker, "router", "bin/hillknot-talk", "the router `PROGRAM`, built with talk")
	pay.Flags().IntVar(&routers, "routers", 7, "how many")
	pay.Flags().DurationVar(&each, "each", 4*time.Second, "how long each fault lasts")
	pay.Flags().Uint64Var(&seed, "seed", 1, "of the load")
	root.AddCommand(clients, together, outlive, pay)
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
