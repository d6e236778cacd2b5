package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"hillknot/internal/config"
)

func configCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "config", Short: "Work with configuration files", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return usage{fmt.Errorf("config wants a sub-command")} }}
	var operator string
	check := &cobra.Command{
		Use: "check FILE", Short: "Check a configuration: print every faulty key", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			_, err := config.Load(args[0], operator)
			if err == nil {
				fmt.Fprintf(cmd.OutOrStdout(), "%s: well\n", args[0])
				return nil
			}
			for _, e := range config.Faults(err) {
				fmt.Fprintf(cmd.OutOrStdout(), "%s: %v\n", args[0], e)
			}
			return exit(exitOther)
		},
	}
	check.Flags().StringVar(&operator, "operator", os.Getenv("HILLKNOT_OPERATOR"), "the operator's `FILE`, whose keys go over the other's")
	cmd.AddCommand(check, &cobra.Command{
		Use: "convert FILE", Short: "Print an operator's file that is JSON as HCL", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return usage{err}
			}
			if text, err = config.Convert(text); err != nil {
				return err
			}
			_, err = cmd.OutOrStdout().Write(text)
			return err
		},
	})
	return cmd
}
