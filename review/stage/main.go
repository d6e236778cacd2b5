// Command stage plays the cases of the second review: it starts routers as separate processes, plays their clients, page
// caches and discovery service, and checks the rule of the case. The argument is the number of the case.
//
// It exits with 1 if the rule was broken, with 0 if it held and with 2 if the case couldn't run. With TROUBLE=0 in the
// environment it leaves out the disruption.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// longestRun is how long a case may take at most.
const longestRun = 110 * time.Second

// errBroken is the error of a case whose rule was broken. All other errors mean that the case couldn't run.
var errBroken = errors.New("rule broken")

// cases holds the cases by their numbers.
var cases = map[string]func(*stage) error{
	"6":  replacedReplica,
	"7":  slowDiscovery,
	"8":  loneLedger,
	"9":  refusedClaim,
	"10": sharedBudget,
}

func main() {
	os.Exit(run())
}

// run plays the case that the arguments name, and returns the exit status.
func run() int {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage CASE")
		return 2
	}
	s, err := newStage(filepath.Join("review", os.Args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	result := make(chan error, 2)
	go func() {
		defer func() {
			if cause := recover(); cause != nil {
				result <- fmt.Errorf("panic: %v", cause)
			}
		}()
		result <- cases[os.Args[1]](s)
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGQUIT)
	signal.Notify(make(chan os.Signal, 1), syscall.SIGPIPE) // a reader of the output that leaves ends nothing
	select {
	case err = <-result:
	case <-interrupted:
		err = errors.New("interrupted")
	case <-time.After(longestRun):
		err = errors.New("the case took too long")
	}
	status := 0
	switch {
	case errors.Is(err, errBroken):
		status = 1
	case err != nil:
		status = 2
	}
	s.note("exit status %d: %v", status, err)
	s.close()
	return status
}
