package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"hillknot/client"
	"hillknot/client/policy"
)

// askFlags are those of the commands that send a request.
type askFlags struct {
	routers  []string
	class    string
	deadline time.Duration
	group    uint8
	json     bool
	account  string
	claim    bool
}

func (f *askFlags) add(cmd *cobra.Command, class string) {
	cmd.Flags().StringSliceVar(&f.routers, "router", nil, "`ADDRESSES` of the routers, with ports, divided by commas")
	cmd.Flags().StringVar(&f.class, "class", class, "of the request")
	cmd.Flags().DurationVar(&f.deadline, "deadline", 0, "over all tries (default: that of the class)")
	cmd.Flags().Uint8Var(&f.group, "group", 0, "of the object")
	cmd.Flags().StringVar(&f.account, "account", "", "that pays, where routers hold requests to balances")
	cmd.Flags().BoolVar(&f.claim, "claim", false, "ask another router what became of an order whose router was lost; all must keep orders")
	cmd.Flags().BoolVar(&f.json, "json", false, "print one line with outcome, tries and milliseconds")
	_ = cmd.MarkFlagRequired("router") // fails for unknown flags only
	_ = cmd.RegisterFlagCompletionFunc("class", func(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
		var names []string
		for n := range client.Classes() {
			names = append(names, n)
		}
		slices.Sort(names)
		return names, cobra.ShellCompDirectiveNoFileComp
	})
}

// client returns one for a single request. A class that we don't know is as safe as the command says.
func (f *askFlags) client(safe bool) (*client.Client, error) {
	classes := client.Classes()
	if _, ok := classes[f.class]; !ok {
		limit := f.deadline
		if limit <= 0 {
			limit = 3 * time.Second
		}
		classes[f.class] = client.Class{Safe: safe, Limit: limit}
	}
	set := policy.Defaults()
	set.Seed, set.Claims = rand.Uint64(), f.claim
	c, err := client.New(client.Config{Routers: f.routers, Classes: classes, Account: f.account, Policy: &set})
	if err != nil {
		return nil, usage{err}
	}
	return c, nil
}

func object(text string) (uint64, error) {
	n, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != 16 {
		return 0, usage{fmt.Errorf("OBJECT %q is not 16 hex digits", text)}
	}
	return n, nil
}

func getCommand() *cobra.Command {
	var f askFlags
	var part uint64
	var have, path string
	cmd := &cobra.Command{
		Use: "get OBJECT --router A,B", Short: "Fetch a part of an object", Args: cobra.ExactArgs(1),
		Long: "Fetch a part of an object, to standard output or to a file, which is replaced whole or not at all.\n" + statuses,
		RunE: func(cmd *cobra.Command, args []string) error {
			item, err := object(args[0])
			if err != nil {
				return err
			}
			req := client.Request{Class: f.class, Item: item, Part: part, Group: f.group, Have: have, Limit: f.deadline}
			to, report := io.Writer(cmd.OutOrStdout()), cmd.ErrOrStderr()
			var file *target
			if path != "" {
				if file, err = openTarget(path); err != nil {
					return err
				}
				defer file.drop()
				to, report = file, cmd.OutOrStdout()
			}
			req.To = to
			if !f.json && file != nil && terminal(os.Stderr) {
				file.progress = os.Stderr
			}
			resp, err := f.do(true, req)
			if err == nil && file != nil && !resp.Unchanged {
				err = file.keep()
			}
			return f.report(cmd, report, resp, err)
		},
	}
	f.add(cmd, "part-page")
	cmd.Flags().Uint64Var(&part, "part", 0, "of the object")
	cmd.Flags().StringVar(&have, "have", "", "`TAG` of a copy that is at hand")
	cmd.Flags().StringVarP(&path, "output", "o", "", "`FILE` for the answer (default: standard output)")
	return cmd
}

func sendCommand() *cobra.Command {
	var f askFlags
	var path string
	cmd := &cobra.Command{
		Use: "send OBJECT --router A,B --class new-arrange --body FILE", Short: "Send an order, once", Args: cobra.ExactArgs(1),
		Long: "Send an order. It is never sent again once it may have run.\n" + statuses,
		RunE: func(cmd *cobra.Command, args []string) error {
			item, err := object(args[0])
			if err != nil {
				return err
			}
			body, err := readBody(cmd, path)
			if err != nil {
				return err
			}
			resp, err := f.do(false, client.Request{Class: f.class, Item: item, Group: f.group, Body: body, Limit: f.deadline})
			if err == nil && !f.json {
				_, err = cmd.OutOrStdout().Write(resp.Body)
			}
			return f.report(cmd, cmd.OutOrStdout(), resp, err)
		},
	}
	f.add(cmd, "new-arrange")
	cmd.Flags().StringVar(&path, "body", "", "`FILE` with what is sent; - for standard input")
	_ = cmd.MarkFlagRequired("body") // fails for unknown flags only
	return cmd
}

// readBody reads what an order brings, up to a length that no router takes.
func readBody(cmd *cobra.Command, path string) ([]byte, error) {
	const most = 1 << 20
	in := cmd.InOrStdin()
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return nil, usage{err}
		}
		defer file.Close()
		in = file
	}
	body, err := io.ReadAll(io.LimitReader(in, most))
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	return body, nil
}

// do sends one request, until an interrupt ends it.
func (f *askFlags) do(safe bool, req client.Request) (client.Response, error) {
	c, err := f.client(safe)
	if err != nil {
		return client.Response{}, err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	resp, err := c.Do(ctx, req)
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	_ = c.Close(gone) // nothing is open
	return resp, err
}

const statuses = `
Exit status: 0 served, 1 another error, 2 usage, 3 refused (it never ran), 4 failed and surely not run,
5 it may have run and must not be repeated, 6 the deadline is over.`

// result is the line that --json prints.
type result struct {
	Outcome    string  `json:"outcome"`
	Tries      int     `json:"tries"`
	MS         float64 `json:"ms"`
	Bytes      int     `json:"bytes"`
	Unchanged  bool    `json:"unchanged,omitempty"`
	Router     string  `json:"router,omitempty"`
	MayHaveRun bool    `json:"may_have_run,omitempty"`
	WaitMS     int64   `json:"wait_ms,omitempty"`
	Error      string  `json:"error,omitempty"`
}

// report tells what came of a request, and returns the status to end with.
func (f *askFlags) report(cmd *cobra.Command, to io.Writer, resp client.Response, err error) error {
	if errors.As(err, new(usage)) {
		return err
	}
	status, outcome := exitStatus(err)
	if f.json {
		r := result{Outcome: outcome, Tries: resp.Tries, MS: float64(resp.Took.Microseconds()) / 1000, Bytes: resp.Size,
			Unchanged: resp.Unchanged, Router: resp.Router}
		var e *client.Error
		if errors.As(err, &e) {
			r.MayHaveRun, r.WaitMS = e.MayHaveRun && e.Unsafe, e.Wait.Milliseconds()
		}
		if err != nil {
			r.Error = err.Error()
		}
		if err := json.NewEncoder(to).Encode(r); err != nil {
			return err
		}
	} else if err != nil {
		fmt.Fprintf(cmd.ErrOrStderr(), "hillknot: %v\n", err)
	} else if resp.Unchanged {
		fmt.Fprintln(cmd.ErrOrStderr(), "unchanged")
	}
	if status != exitServed {
		return exit(status)
	}
	return nil
}

// exitStatus is how a command ends, and the word for it.
func exitStatus(err error) (int, string) {
	var e *client.Error
	switch {
	case err == nil:
		return exitServed, "served"
	case errors.Is(err, client.ErrRequest):
		return exitUsage, "malformed"
	case errors.Is(err, client.ErrMayHaveRun):
		return exitMayHaveRun, "may have run"
	case errors.Is(err, client.ErrRefused):
		return exitRefused, "refused"
	case errors.Is(err, client.ErrDeadline):
		return exitDeadlineOut, "deadline over"
	case errors.As(err, &e) && !e.MayHaveRun && e.Kind != client.ErrSink:
		return exitNotRun, "failed"
	}
	return exitOther, "error"
}

func healthCommand() *cobra.Command {
	var routers []string
	var wait time.Duration
	cmd := &cobra.Command{
		Use: "health --router A,B", Short: "Ask routers whether they take clients", Args: cobra.NoArgs,
		Long: "Ask routers whether they take clients. The exit status is 0 where all do, else 1.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := client.New(client.Config{Routers: routers})
			if err != nil {
				return usage{err}
			}
			ctx, cancel := context.WithTimeout(context.Background(), wait)
			defer cancel()
			status := exitServed
			for i, err := range c.Health(ctx) {
				word := "ready"
				if err != nil {
					word, status = err.Error(), exitOther
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%s: %s\n", routers[i], word)
			}
			if err := c.Close(ctx); err != nil || status != exitServed {
				return exit(exitOther)
			}
			return nil
		},
	}
	cmd.Flags().StringSliceVar(&routers, "router", nil, "`ADDRESSES` of the routers, with ports, divided by commas")
	cmd.Flags().DurationVar(&wait, "deadline", 2*time.Second, "for the answers")
	_ = cmd.MarkFlagRequired("router") // fails for unknown flags only
	return cmd
}

// target is a file that is written beside its place and put there once it is whole.
type target struct {
	*os.File
	path     string
	progress io.Writer // nil: none is shown
	size     int
	have     int
}

func openTarget(path string) (*target, error) {
	f, err := os.CreateTemp(filepath.Dir(path), ".hillknot-*")
	if err != nil {
		return nil, usage{err}
	}
	return &target{File: f, path: path}, nil
}

// Size implements client.Sizer.
func (t *target) Size(n int) { t.size = n }

// Rewind implements client.Rewinder.
func (t *target) Rewind() error {
	t.have = 0
	if err := t.Truncate(0); err != nil {
		return err
	}
	_, err := t.Seek(0, io.SeekStart)
	return err
}

// progressFrom is the size from which progress is shown.
const progressFrom = 64 << 10

func (t *target) Write(b []byte) (int, error) {
	n, err := t.File.Write(b)
	if t.have += n; t.progress != nil && t.size >= progressFrom {
		end := ""
		if t.have == t.size {
			end = "\n"
		}
		fmt.Fprintf(t.progress, "\r%4d of %d kB%s", t.have>>10, t.size>>10, end)
	}
	return n, err
}

// keep puts the file in its place.
func (t *target) keep() error {
	if err := t.Sync(); err != nil {
		return err
	}
	if err := t.Chmod(0o644); err != nil {
		return err
	}
	return os.Rename(t.Name(), t.path)
}

// drop ends the work on the file; what was not kept is gone.
func (t *target) drop() {
	_ = t.Close()           // it was synced before it was kept
	_ = os.Remove(t.Name()) // mostly it has its place by now
}

func terminal(f *os.File) bool {
	s, err := f.Stat()
	return err == nil && s.Mode()&os.ModeCharDevice != 0
}
