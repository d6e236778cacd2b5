package main

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"hillknot/client"
)

// healthFlags holds the flags of "hillknot health".
type healthFlags struct {
	routers  []string
	deadline time.Duration
}

func healthCommand() *cobra.Command {
	var flags healthFlags
	cmd := &cobra.Command{
		Use: "health --router A,B", Short: "Ask routers whether they accept clients", Args: cobra.NoArgs,
		Long: "Ask routers whether they accept clients. The exit status is 0 if all of them do, and 1 otherwise.",
		RunE: flags.health,
	}
	addRouterFlag(cmd, &flags.routers)
	cmd.Flags().DurationVar(&flags.deadline, "deadline", 2*time.Second, "time limit for the answers")
	return cmd
}

// health prints a line for each router. It returns an exitError with exitFailure if a router is not ready or the client
// can't be closed in time.
func (f *healthFlags) health(cmd *cobra.Command, _ []string) error {
	c, err := client.New(client.Config{Routers: f.routers})
	if err != nil {
		return usageError{err}
	}
	ctx, cancel := context.WithTimeout(context.Background(), f.deadline)
	defer cancel()
	allReady := true
	for i, err := range c.Health(ctx) {
		answer := "ready"
		if err != nil {
			answer, allReady = err.Error(), false
		}
		fmt.Fprintf(cmd.OutOrStdout(), "%s: %s\n", f.routers[i], answer)
	}
	if err := c.Close(ctx); err != nil || !allReady {
		return exitError{exitFailure}
	}
	return nil
}
