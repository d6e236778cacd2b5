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

// defaultDeadline is the deadline of requests of a class that the client library does not know.
const defaultDeadline = 3 * time.Second

// requestFlags holds the flags of the commands that send a request.
type requestFlags struct {
	routers  []string
	class    string
	deadline time.Duration // 0 for the deadline of the class
	group    uint8
	json     bool
	account  string
	claim    bool
}

// add adds the flags to a command. defaultClass is the class of its requests if the flag is not set.
func (f *requestFlags) add(cmd *cobra.Command, defaultClass string) {
	addRouterFlag(cmd, &f.routers)
	cmd.Flags().StringVar(&f.class, "class", defaultClass, "class of the request")
	cmd.Flags().DurationVar(&f.deadline, "deadline", 0, "time limit of the request, over all attempts (default: that of the class)")
	cmd.Flags().Uint8Var(&f.group, "group", 0, "group of the object")
	cmd.Flags().StringVar(&f.account, "account", "", "account that is charged, if the routers charge requests to prepaid balances")
	cmd.Flags().BoolVar(&f.claim, "claim", false,
		"if the router of an order is lost, ask another router for its outcome; all routers must keep orders")
	cmd.Flags().BoolVar(&f.json, "json", false, "print the result as one line of JSON, with outcome, tries and milliseconds")
	_ = cmd.RegisterFlagCompletionFunc("class", completeClass) // fails only if the flag is unknown
}

// addRouterFlag adds the required flag that names the routers.
func addRouterFlag(cmd *cobra.Command, routers *[]string) {
	cmd.Flags().StringSliceVar(routers, "router", nil, "`ADDRESSES` of the routers, with ports, separated by commas")
	_ = cmd.MarkFlagRequired("router") // fails only if the flag is unknown
}

// completeClass returns the names of the known classes, in order, for completion by the shell.
func completeClass(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
	var names []string
	for name := range client.Classes() {
		names = append(names, name)
	}
	slices.Sort(names)
	return names, cobra.ShellCompDirectiveNoFileComp
}

// newClient returns a client for one request. safe says whether a class that the client library does not know is safe to
// repeat; such a class has the deadline of the flags or defaultDeadline. An error is a usageError.
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

// send sends one request and waits until it has ended or the command is interrupted.
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
	_ = c.Close(noWait) // no request is open
	return resp, err
}

// parseObject parses the name of an object, which is 16 hex digits. An error is a usageError.
func parseObject(text string) (uint64, error) {
	object, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != 16 {
		return 0, usageError{fmt.Errorf("OBJECT %q is not 16 hex digits", text)}
	}
	return object, nil
}
