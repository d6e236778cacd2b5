package main

import (
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// serveFlags holds the flags that name a router's configuration files.
type serveFlags struct{ configPath, operatorPath string }

func (f *serveFlags) add(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.configPath, "config", os.Getenv("RELAY_CONFIG"), "the configuration `FILE`")
	cmd.Flags().StringVar(&f.operatorPath, "operator", os.Getenv("HILLKNOT_OPERATOR"),
		"the operator's `FILE` with further keys, such as deploy/operator.hcl")
}

// serve runs the router until it receives SIGTERM or SIGINT.
func (f *serveFlags) serve(*cobra.Command, []string) error {
	signal.Ignore(syscall.SIGPIPE) // else a log whose reader has gone would end the process
	return runRouter(routerOptions{
		configPath:   f.configPath,
		operatorPath: f.operatorPath,
		getenv:       os.Getenv,
		signals:      notifySignals(),
		onServing:    func(net.Addr) {},
	})
}
