// Command hillknot runs an edge router and provides command-line tools for its clients and operators.
//
// Without a sub-command it runs the router, whose configuration file is named by -config or RELAY_CONFIG. The sub-commands
// "get", "send" and "health" call routers as a client does; "config" checks and converts configuration files.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"hillknot/internal/logging"
)

// version is the version of the latest entry in CHANGELOG.md.
const version = "0.16.2"

// logFlushTimeout is the longest time for which the end of the process waits for its last log lines to be written.
const logFlushTimeout = 100 * time.Millisecond

func main() {
	status := runCommandLine(os.Args[1:], os.Stdout, os.Stderr)
	logging.Stderr().Flush(logFlushTimeout)
	os.Exit(status)
}

// runCommandLine runs the command that args select and returns its exit status.
func runCommandLine(args []string, stdout, stderr io.Writer) int {
	started := false
	root := rootCommand()
	recordStart(root, &started)
	root.SetOut(stdout)
	root.SetErr(stderr)
	root.SetArgs(expandSingleDash(root, args))
	cmd, err := root.ExecuteC()
	var exitErr exitError
	switch {
	case err == nil:
		return exitServed
	case errors.As(err, &exitErr):
		return exitErr.status
	case started && !isUsageError(err):
		log.Error("command failed", "command", cmd.CommandPath(), logging.KeyError, err)
		return exitFailure
	}
	fmt.Fprintf(stderr, "hillknot: %v\nsee: %s --help\n", err, cmd.CommandPath())
	return exitUsage
}

// rootCommand returns the hillknot command with all of its sub-commands.
func rootCommand() *cobra.Command {
	var routerFlags serveFlags
	var logs logFlags
	root := &cobra.Command{
		Use: "hillknot", Short: "An edge router for devices on poor links, and tools for its clients",
		Long: "An edge router for devices on poor links, and tools for its clients.\n\n" +
			"Without a sub-command it runs the router, as `hillknot serve` does.",
		Args: cobra.NoArgs, RunE: routerFlags.serve,
		PersistentPreRunE: func(*cobra.Command, []string) error { return logs.apply(logging.Stderr()) },
	}
	routerFlags.add(root)
	logs.add(root.PersistentFlags())
	serve := &cobra.Command{Use: "serve", Short: "Run the router until SIGTERM", Args: cobra.NoArgs, RunE: routerFlags.serve}
	routerFlags.add(serve)
	root.AddCommand(serve, getCommand(), sendCommand(), healthCommand(), configCommand(), versionCommand())
	return root
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			fmt.Fprintf(cmd.OutOrStdout(), "hillknot %s %s %s/%s\n", version, runtime.Version(), runtime.GOOS, runtime.GOARCH)
		},
	}
}

// recordStart wraps a command and all its sub-commands so that they set started when they begin to run. An error that
// occurs earlier is a fault of the command line. It also stops cobra from printing errors, because runCommandLine does so.
func recordStart(cmd *cobra.Command, started *bool) {
	cmd.SilenceErrors, cmd.SilenceUsage = true, true
	if run := cmd.RunE; run != nil {
		cmd.RunE = func(cmd *cobra.Command, args []string) error {
			*started = true
			return run(cmd, args)
		}
	}
	for _, sub := range cmd.Commands() {
		recordStart(sub, started)
	}
}

// expandSingleDash returns args with a second dash before the router's long flags that have only one, as in -config FILE,
// because earlier versions took them in that form.
func expandSingleDash(root *cobra.Command, args []string) []string {
	expanded := append([]string(nil), args...)
	for i, arg := range expanded {
		if arg == "--" {
			break
		}
		if isSingleDashFlag(root, arg) {
			expanded[i] = "-" + arg
		}
	}
	return expanded
}

// isSingleDashFlag reports whether arg is one of the router's long flags behind a single dash.
func isSingleDashFlag(root *cobra.Command, arg string) bool {
	if !strings.HasPrefix(arg, "-") || strings.HasPrefix(arg, "--") {
		return false
	}
	name, _, _ := strings.Cut(strings.TrimPrefix(arg, "-"), "=")
	return (name == "config" || name == "operator") && root.Flags().Lookup(name) != nil
}
