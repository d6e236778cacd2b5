// Command hillknot is one edge router, and what its clients and operators do with it on the command line.
// Called without a sub-command it is the router: its configuration is the file named by -config or RELAY_CONFIG.
package main

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime"
	"strings"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"hillknot/internal/logging"
)

// version is that of the latest entry of CHANGELOG.md.
const version = "0.14.0"

func main() { os.Exit(command(os.Args[1:], os.Stdout, os.Stderr)) }

// The exit statuses. What a request came to is told apart, so that scripts know what they may do next.
const (
	exitServed      = 0
	exitOther       = 1
	exitUsage       = 2
	exitRefused     = 3
	exitNotRun      = 4
	exitMayHaveRun  = 5
	exitDeadlineOut = 6
)

// exit ends a command with a status, and an error that has been told already.
type exit int

func (e exit) Error() string { return fmt.Sprintf("exit status %d", int(e)) }

// usage marks an error as one of how the command was called.
type usage struct{ error }

func (u usage) Unwrap() error { return u.error }

// command carries out a command line and returns its exit status.
func command(args []string, out, errs io.Writer) int {
	ran := false
	root := rootCommand(&ran)
	root.SetOut(out)
	root.SetErr(errs)
	root.SetArgs(longFlags(root, args))
	cmd, err := root.ExecuteC()
	var status exit
	switch {
	case err == nil:
		return 0
	case errors.As(err, &status):
		return int(status)
	case ran && !errors.As(err, new(usage)):
		log.Error("command failed", "command", cmd.CommandPath(), logging.KeyError, err)
		return exitOther
	}
	fmt.Fprintf(errs, "hillknot: %v\nsee: %s --help\n", err, cmd.CommandPath())
	return exitUsage
}

// rootCommand returns the command with all below it, which set ran once their line is understood.
func rootCommand(ran *bool) *cobra.Command {
	var router serveFlags
	var logs logFlags
	root := &cobra.Command{
		Use: "hillknot", Short: "An edge router for devices on poor links, and its clients' tools",
		Long: "An edge router for devices on poor links, and its clients' tools.\n\nWithout a sub-command it is the router, as with `hillknot serve`.",
		Args: cobra.NoArgs, RunE: router.serve,
		PersistentPreRunE: func(*cobra.Command, []string) error { return logs.set(os.Stderr) },
	}
	router.add(root)
	logs.add(root.PersistentFlags())
	serve := &cobra.Command{Use: "serve", Short: "Run the router until SIGTERM", Args: cobra.NoArgs, RunE: router.serve}
	router.add(serve)
	root.AddCommand(serve, getCommand(), sendCommand(), healthCommand(), configCommand(), &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			fmt.Fprintf(cmd.OutOrStdout(), "hillknot %s %s %s/%s\n", version, runtime.Version(), runtime.GOOS, runtime.GOARCH)
		},
	})
	prepare(root, ran)
	return root
}

// prepare has what is wrong with a command line told by us, and apart from what goes wrong in a command.
func prepare(c *cobra.Command, ran *bool) {
	c.SilenceErrors, c.SilenceUsage = true, true
	if do := c.RunE; do != nil {
		c.RunE = func(cmd *cobra.Command, args []string) error {
			*ran = true
			return do(cmd, args)
		}
	}
	for _, sub := range c.Commands() {
		prepare(sub, ran)
	}
}

// longFlags has the router's long flags go on working behind a single dash, as in -config FILE.
func longFlags(root *cobra.Command, args []string) []string {
	out := append([]string(nil), args...)
	for i, a := range out {
		if a == "--" {
			break
		}
		name, _, _ := strings.Cut(strings.TrimPrefix(a, "-"), "=")
		if strings.HasPrefix(a, "-") && !strings.HasPrefix(a, "--") && (name == "config" || name == "operator") && root.Flags().Lookup(name) != nil {
			out[i] = "-" + a
		}
	}
	return out
}

// logFlags say how the log is written.
type logFlags struct{ format, level string }

func (f *logFlags) add(fs *pflag.FlagSet) {
	fs.StringVar(&f.format, "log-format", "text", "of the log on standard error: text or json")
	fs.StringVar(&f.level, "log-level", "info", "the least level that is logged: debug, info, warn or error")
}

func (f *logFlags) set(to io.Writer) error {
	var level slog.Level
	if err := level.UnmarshalText([]byte(f.level)); err != nil {
		return usage{fmt.Errorf("--log-level %q is none of debug, info, warn and error", f.level)}
	}
	opts := &slog.HandlerOptions{Level: level}
	switch f.format {
	case "text":
		slog.SetDefault(slog.New(slog.NewTextHandler(to, opts)))
	case "json":
		slog.SetDefault(slog.New(slog.NewJSONHandler(to, opts)))
	default:
		return usage{fmt.Errorf("--log-format %q is neither text nor json", f.format)}
	}
	return nil
}
