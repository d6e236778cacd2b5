// Command hillknot-loadtest runs load and fault tests: real routers on loopback, with fakes of the services that they use.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{Use: "hillknot-loadtest", Short: "Run load and fault tests of hillknot on loopback", SilenceUsage: true}
	root.AddCommand(clientsCommand(), budgetsCommand(), failoverCommand(), creditCommand(), scaleCommand(), soakCommand(),
		floodsCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
