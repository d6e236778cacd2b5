// Command standin plays the clients, the endpoints (page caches, parents, the origin) and the journal service of a small
// deployment around routers that it starts as separate processes, in the scripted scenarios of the review.
//
//	standin SCENARIO RECORD
//
// It runs from the repository's root. It exits with 0 if the rule held, 1 if it was broken, and 2 if the scenario could not
// run. With TROUBLE=0 in the environment it plays the scenario without the disruption.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"sync"
	"syscall"
	"time"
)

// The exit statuses.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// scenarios holds the scenarios by name. Each returns whether the rule held, or an error if it could not run.
var scenarios = map[string]func(*run) (bool, error){}

// run is one play of a scenario.
type run struct {
	dir     string // temporary folder
	trouble bool   // the disruption is played
	started time.Time

	mu      sync.Mutex // guards record
	record  *os.File
	starts  sync.Mutex // held while a router is started or ended; guards the fields below
	ending  bool
	routers []*router
}

// errEnding says that the test is ending, so that no router is started any more.
var errEnding = errors.New("the test is ending")

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin SCENARIO RECORD")
		os.Exit(couldNot)
	}
	os.Exit(play(scenarios[os.Args[1]], os.Args[2]))
}

// limit is the longest time that a scenario may take.
const limit = 110 * time.Second

// play plays a scenario and ends all processes that it has started.
func play(scenario func(*run) (bool, error), recordPath string) int {
	signal.Ignore(syscall.SIGPIPE) // a reader of the output that has gone must not keep the test from ending its processes
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGQUIT)
	r, err := newRun(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer r.end()
	r.note("test", "TROUBLE is %t; the left column has milliseconds since the start", r.trouble)
	type result struct {
		ok  bool
		err error
	}
	results := make(chan result, 1)
	go func() {
		ok, err := scenario(r)
		results <- result{ok, err}
	}()
	var got result
	select {
	case got = <-results:
	case <-stopped:
		got.err = errors.New("the test was ended by a signal")
	case <-time.After(limit):
		got.err = errors.New("the scenario takes too long")
	}
	switch {
	case got.err != nil:
		r.note("test", "could not run: %v", got.err)
		fmt.Fprintln(os.Stderr, got.err)
		return couldNot
	case !got.ok:
		r.note("test", "the rule was broken")
		return broken
	}
	r.note("test", "the rule held")
	return held
}

func newRun(recordPath string) (*run, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		_ = record.Close()
		return nil, err
	}
	return &run{dir: dir, trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), record: record}, nil
}

// note writes a line to the record: the time in milliseconds since the start, who, and what.
func (r *run) note(who, format string, args ...any) {
	r.noteAt(time.Now(), who, format, args...)
}

func (r *run) noteAt(at time.Time, who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.1f  %-10s %s\n", float64(at.Sub(r.started).Microseconds())/1000, who, fmt.Sprintf(format, args...))
}

// start starts a router, which is ended with the test, and waits until it is ready.
func (r *run) start(program string, router *router, config string) error {
	r.starts.Lock()
	if r.ending {
		r.starts.Unlock()
		return errEnding
	}
	if !slices.Contains(r.routers, router) {
		r.routers = append(r.routers, router)
	}
	err := startRouter(r.dir, program, router, config)
	ended := router.ended
	r.starts.Unlock()
	if err != nil {
		return err
	}
	r.note(router.name, "started (%s), listens on %s", program, router.listen)
	return awaitReady(router.listen, 20*time.Second, ended)
}

// kill ends a router at once, as SIGKILL does.
func (r *run) kill(router *router) {
	r.starts.Lock()
	defer r.starts.Unlock()
	router.kill()
}

// end ends all processes and removes the temporary folder.
func (r *run) end() {
	r.starts.Lock()
	r.ending = true
	for _, router := range r.routers {
		router.kill()
	}
	r.starts.Unlock()
	r.mu.Lock()
	_ = r.record.Close()
	r.mu.Unlock()
	_ = os.RemoveAll(r.dir)
}
