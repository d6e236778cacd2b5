package main

import (
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// serveFlags name the files that configure a router.
type serveFlags struct{ configPath, operatorPath string }

func (f *serveFlags) add(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.configPath, "config", os.Getenv("RELAY_CONFIG"), "the configuration `FILE`")
	cmd.Flags().StringVar(&f.operatorPath, "operator", os.Getenv("HILLKNOT_OPERATOR"),
		"a `FILE` with further keys, such as deploy/operator.hcl")
}

// serve runs the router as a command.
func (f *serveFlags) serve(*cobra.Command, []string) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	return runRouter(routerOptions{
		configPath:   f.configPath,
		operatorPath: f.operatorPath,
		getenv:       os.Getenv,
		signals:      signals,
		onServing:    func(net.Addr) {},
	})
}
