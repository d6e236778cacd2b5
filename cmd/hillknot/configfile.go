package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"hillknot/internal/config"
)

func configCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use: "config", Short: "Work with configuration files", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return usageError{errors.New("config needs a sub-command")} },
	}
	cmd.AddCommand(configCheckCommand(), configConvertCommand())
	return cmd
}

func configCheckCommand() *cobra.Command {
	var operatorPath string
	cmd := &cobra.Command{
		Use: "check FILE", Short: "Check a configuration: print every faulty key", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return checkConfig(cmd, args[0], operatorPath) },
	}
	cmd.Flags().StringVar(&operatorPath, "operator", os.Getenv("HILLKNOT_OPERATOR"),
		"the operator's `FILE`, whose keys override those of the configuration")
	return cmd
}

// checkConfig prints every fault of a configuration on a line of its own.
func checkConfig(cmd *cobra.Command, path, operatorPath string) error {
	_, err := config.Load(path, operatorPath)
	if err == nil {
		fmt.Fprintf(cmd.OutOrStdout(), "%s: well\n", path)
		return nil
	}
	for _, fault := range config.Faults(err) {
		fmt.Fprintf(cmd.OutOrStdout(), "%s: %v\n", path, fault)
	}
	return exitError{exitFailure}
}

func configConvertCommand() *cobra.Command {
	return &cobra.Command{
		Use: "convert FILE", Short: "Convert an operator's file from JSON to HCL and print it", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return convertOperatorFile(cmd, args[0]) },
	}
}

// convertOperatorFile reads an operator's file in JSON and prints it as HCL.
func convertOperatorFile(cmd *cobra.Command, path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return usageError{err}
	}
	converted, err := config.Convert(text)
	if err != nil {
		return err
	}
	_, err = cmd.OutOrStdout().Write(converted)
	return err
}
