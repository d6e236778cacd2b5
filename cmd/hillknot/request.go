package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"hillknot/client"
	"hillknot/client/policy"
)

// defaultDeadline is that of a class which the client's library does not know.
const defaultDeadline = 3 * time.Second

// requestFlags are the flags of the commands that send a request.
type requestFlags struct {
	routers  []string
	class    string
	deadline time.Duration // 0: that of the class
	group    uint8
	json     bool
	account  string
	claim    bool
}

// add adds the flags to a command, with the class that its requests have by default.
func (f *requestFlags) add(cmd *cobra.Command, defaultClass string) {
	addRouterFlag(cmd, &f.routers)
	cmd.Flags().StringVar(&f.class, "class", defaultClass, "class of the request")
	cmd.Flags().DurationVar(&f.deadline, "deadline", 0, "of the request, over all attempts (default: that of the class)")
	cmd.Flags().Uint8Var(&f.group, "group", 0, "group of the object")
	cmd.Flags().StringVar(&f.account, "account", "", "account that pays, where routers hold requests to balances")
	cmd.Flags().BoolVar(&f.claim, "claim", false,
		"ask another router what became of an order whose router was lost; all routers must keep orders")
	cmd.Flags().BoolVar(&f.json, "json", false, "print one line of JSON with outcome, tries and milliseconds")
	_ = cmd.RegisterFlagCompletionFunc("class", completeClass) // fails for unknown flags only
}

// addRouterFlag adds the flag that names the routers, which a command can't do without.
func addRouterFlag(cmd *cobra.Command, routers *[]string) {
	cmd.Flags().StringSliceVar(routers, "router", nil, "`ADDRESSES` of the routers, with ports, divided by commas")
	_ = cmd.MarkFlagRequired("router") // fails for unknown flags only
}

// completeClass lists the known classes to the shell.
func completeClass(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
	var names []string
	for name := range client.Classes() {
		names = append(names, name)
	}
	slices.Sort(names)
	return names, cobra.ShellCompDirectiveNoFileComp
}

// newClient returns a client for one request. A class that the library does not know is taken to be as safe to repeat
// as the command's requests are.
func (f *requestFlags) newClient(safe bool) (*client.Client, error) {
	classes := client.Classes()
	if _, known := classes[f.class]; !known {
		limit := f.deadline
		if limit <= 0 {
			limit = defaultDeadline
		}
		classes[f.class] = client.Class{Safe: safe, Limit: limit}
	}
	settings := policy.Defaults()
	settings.Seed, settings.Claims = rand.Uint64(), f.claim
	c, err := client.New(client.Config{Routers: f.routers, Classes: classes, Account: f.account, Policy: &settings})
	if err != nil {
		return nil, usageError{err}
	}
	return c, nil
}

// send sends one request and waits for its end, or for an interrupt.
func (f *requestFlags) send(safe bool, req client.Request) (client.Response, error) {
	c, err := f.newClient(safe)
	if err != nil {
		return client.Response{}, err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	resp, err := c.Do(ctx, req)
	noWait, cancel := context.WithCancel(context.Background())
	cancel()
	_ = c.Close(noWait) // nothing is open
	return resp, err
}

// parseObject reads the name of an object.
func parseObject(text string) (uint64, error) {
	object, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != 16 {
		return 0, usageError{fmt.Errorf("OBJECT %q is not 16 hex digits", text)}
	}
	return object, nil
}
