// Command hillknot-lab measures the product on loopback: real routers, stand-ins for all that they talk to.
package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"hillknot/lab"
)

func main() {
	root := &cobra.Command{Use: "hillknot-lab", Short: "Measure hillknot on loopback", SilenceUsage: true}
	var bin, only string
	var quick bool
	clients := &cobra.Command{
		Use: "clients", Short: "Compare the client library with a plain client, in some five minutes", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return lab.Clients(bin, quick, only, cmd.OutOrStdout()) },
	}
	clients.Flags().StringVar(&bin, "router", "bin/hillknot", "the router `PROGRAM`")
	clients.Flags().BoolVar(&quick, "quick", false, "in a fifth of the time, to see that it runs")
	clients.Flags().StringVar(&only, "only", "", "one `PART` of "+strings.Join(lab.Parts, ", "))
	root.AddCommand(clients)
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
