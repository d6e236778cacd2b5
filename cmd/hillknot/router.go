package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"runtime"
	"time"

	"hillknot/internal/clock"
	"hillknot/internal/config"
	"hillknot/internal/core"
	"hillknot/internal/discovery"
	"hillknot/internal/frontend/msgpackrpc"
	"hillknot/internal/handover"
	"hillknot/internal/jsonfields"
	"hillknot/internal/logging"
	"hillknot/internal/netio"
	"hillknot/internal/upstream"
)

var log = logging.For("router")

// routerOptions holds the parameters of a router process.
type routerOptions struct {
	configPath   string
	operatorPath string              // empty if there is no operator's file
	getenv       func(string) string // returns an environment variable of the process
	signals      signals
	// onServing is called on the core's goroutine once the router accepts clients. adminAddr is nil if there is no admin
	// front end.
	onServing func(adminAddr net.Addr)
}

// router is one router process: the core, its upstream client and discovery watcher, and its front ends.
type router struct {
	options        routerOptions
	cfg            *config.Config
	core           *core.Core
	budget         *netio.Budget // of what clients and page caches may have buffered
	upstream       *upstream.Client
	watcher        *discovery.Watcher
	clients        *msgpackrpc.Server
	otherFrontEnds []namedFrontEnd // all front ends except clients
	adminAddr      net.Addr        // address of the admin front end; nil if there is none

	cluster     reloader // nil if this router shares no state
	hotRestart  *hotRestart
	termination *termination

	stop             chan struct{} // closed when the router ends
	frontEndFailures chan frontEndFailure
	closers          []func() // called by close in reverse order
}

// runRouter serves until the process receives SIGTERM or SIGINT and every request that was read has its final answer. On
// SIGHUP it reads the configuration again.
func runRouter(options routerOptions) error {
	if options.configPath == "" {
		return errors.New("no configuration file: set -config or RELAY_CONFIG")
	}
	r := &router{options: options, termination: newTermination(), stop: make(chan struct{})}
	ended := make(chan struct{})
	defer close(ended)
	go r.termination.watch(options.signals.terminate, ended)
	err := r.run()
	if errors.Is(err, errTerminated) {
		log.Info("shutdown before serving", keySignal, r.termination.signal)
		return nil
	}
	return err
}

// run loads the configuration, starts the router and serves until the process is to end. It returns errTerminated if
// the process is terminated before it serves.
func (r *router) run() error {
	var err error
	if r.cfg, err = r.loadConfig(); err != nil {
		return err
	}
	runtime.GOMAXPROCS(1) // the platform gives a router one processor core
	if err := r.awaitStart(); err != nil {
		return err
	}
	defer r.close()
	return r.serveUntilEnd()
}

// awaitStart starts the router and waits until it has started. If the start hangs, for example on a disk that does not
// respond, it delays a termination by at most Limits.ShutdownTimeout, as open requests may. No client is served yet, so
// awaitStart then returns errTerminated.
func (r *router) awaitStart() error {
	started := make(chan error, 1)
	go func() { started <- r.start() }()
	var err error
	select {
	case err = <-started:
	case <-r.termination.requested:
		select {
		case err = <-started:
		case <-time.After(r.cfg.Limits.ShutdownTimeout):
			return errTerminated // start may still use what it opened, so that is left open until the process ends
		}
	}
	if err != nil {
		r.close()
	}
	return err
}

// loadConfig reads the configuration. If reading a file hangs, for example on a disk that does not respond, a termination
// does not wait for it, because no connection has been accepted yet: loadConfig returns errTerminated.
func (r *router) loadConfig() (*config.Config, error) {
	type result struct {
		cfg *config.Config
		err error
	}
	loaded := make(chan result, 1)
	go func() {
		cfg, err := config.LoadEnv(r.options.configPath, r.options.operatorPath, r.options.getenv)
		loaded <- result{cfg, err}
	}()
	select {
	case l := <-loaded:
		return l.cfg, l.err
	case <-r.termination.requested:
		return nil, errTerminated
	}
}

// start builds the router's parts and starts them in the order of their dependencies: the core and the watch of discovery
// first, then the other front ends, the takeover from a predecessor and the cluster, and at last the front end for clients
// and the listener for a successor.
func (r *router) start() error {
	clusterState, err := newClusterState(r.cfg)
	if err != nil {
		return err
	}
	if err := r.build(); err != nil {
		return err
	}
	predecessor := r.findPredecessor()
	r.startCore()
	r.startOtherFrontEnds()
	if err := r.takeOver(predecessor); err != nil {
		return err
	}
	if clusterState != nil {
		if r.cluster, err = joinCluster(r.cfg, r.core, clusterState, r.stop); err != nil {
			return err
		}
	}
	go func() {
		defer logging.ReportPanic(log)
		r.frontEndFailures <- frontEndFailure{clientFrontEnd, r.clients.Serve()}
	}()
	r.listenForSuccessor()
	r.core.Post(func() {
		r.core.ReleaseStart()
		r.options.onServing(r.adminAddr)
	})
	log.Info("router serving", "name", r.cfg.Name, logging.KeyListen, r.clients.Addr(), "pid", os.Getpid(),
		"version", version, "memory_mb", r.cfg.Limits.MemoryMB, "sockets", r.cfg.Limits.Sockets)
	return nil
}

// build creates the core and the parts that are connected to it. It opens the listeners but starts no goroutine of a part.
func (r *router) build() error {
	limits := r.cfg.Limits
	var err error
	if r.core, err = core.New(r.cfg.Settings, limits, clock.Now); err != nil {
		return err
	}
	r.termination.core.Store(r.core)
	budget := netio.NewBudget(limits.BufferedBytes)
	r.budget = budget
	r.upstream = upstream.New(r.core, limits, budget, clock.Now)
	r.core.SetUpstream(r.upstream)
	if r.watcher, err = discovery.New(r.core, r.cfg.DiscoveryAddr, limits, r.cfg.KnownEvents); err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	r.cfg.KnownEvents = jsonfields.Object{} // frees the text of the whole configuration, to which the events refer
	r.clients, err = msgpackrpc.Listen(r.cfg.Listen, r.cfg.InheritedSocket, r.core, limits, r.cfg.Settings.Classes, budget)
	if err != nil {
		return err
	}
	r.onClose(r.clients.Close)
	r.core.SetBacklogCheck(func() bool {
		return r.watcher.HasBacklog() || r.clients.HasUnreadInput() || r.upstream.HasPendingInput()
	})
	r.hotRestart = &hotRestart{
		core:     r.core,
		watcher:  r.watcher,
		upstream: r.upstream,
		clients:  r.clients,
		budget:   budget,
		limits:   limits,
	}
	r.core.OnRemembered(r.hotRestart.requestRemembered)
	return r.listenOtherFrontEnds(budget)
}

// findPredecessor connects to the process that this one replaces and sets the limits that the two processes share. It
// returns nil if there is no such process.
func (r *router) findPredecessor() *handover.Predecessor {
	var predecessor *handover.Predecessor
	if r.cfg.HandoverPath != "" {
		predecessor = handover.FindPredecessor(r.cfg.HandoverPath, r.cfg.Limits)
	}
	r.hotRestart.setPredecessor(predecessor != nil)
	return predecessor
}

// startCore starts the core, which rejects clients until ReleaseStart is called, and the watch of the endpoint list.
func (r *router) startCore() {
	r.onClose(func() { close(r.stop) })
	r.core.HoldStart()
	monitor := &resourceMonitor{limits: r.cfg.Limits, snapshot: r.core.Snapshot, buffered: r.budget.Used}
	for _, run := range []func(stop <-chan struct{}){r.core.Run, r.watcher.Run, monitor.run} {
		go func() {
			defer logging.ReportPanic(log)
			run(r.stop)
		}()
	}
}

// takeOver imports the state of the predecessor. It does nothing if predecessor is nil. If a termination is requested
// before the predecessor has been told that this process is ready, the clients stay with the predecessor and takeOver
// returns errTerminated.
func (r *router) takeOver(predecessor *handover.Predecessor) error {
	if predecessor == nil {
		return nil
	}
	r.onClose(predecessor.Close)
	if !r.hotRestart.importState(predecessor, r.termination.requested) {
		return errTerminated
	}
	go r.hotRestart.waitForPredecessor(predecessor, r.stop)
	return nil
}

// listenForSuccessor lets a later process replace this one. If the listener can't be opened, the router logs the error and
// serves without it.
func (r *router) listenForSuccessor() {
	if r.cfg.HandoverPath == "" {
		return
	}
	listener, err := handover.ListenForSuccessor(r.cfg.HandoverPath, r.hotRestart, r.cfg.Limits)
	if err != nil {
		log.Error("hot restart unavailable", logging.KeyError, err)
		return
	}
	r.hotRestart.listener.Store(listener)
	r.onClose(listener.Close)
}

// serveUntilEnd serves until a termination is requested or the front end for clients fails. In both cases it answers the
// open requests before it returns; after a failure it returns the error. If any other front end fails, serveUntilEnd logs
// the error and the remaining parts keep serving.
func (r *router) serveUntilEnd() error {
	go r.reloadOnSignal()
	for {
		select {
		case failure := <-r.frontEndFailures:
			if failure.err == nil {
				continue
			}
			log.Error("front end failed", keyFrontEnd, failure.name, logging.KeyError, failure.err)
			if failure.name == clientFrontEnd {
				r.shutDown(clock.Now())
				return fmt.Errorf("serve clients: %w", failure.err)
			}
		case <-r.termination.requested:
			log.Info("shutdown started", keySignal, r.termination.signal)
			r.shutDown(r.termination.requestedAt)
			return nil
		}
	}
}

// onClose registers f, which close calls before the functions that were registered earlier.
func (r *router) onClose(f func()) { r.closers = append(r.closers, f) }

// close closes the parts that were started, in reverse order. It does not wait for the goroutines that watch r.stop,
// because the process ends right afterwards.
func (r *router) close() {
	for i := len(r.closers) - 1; i >= 0; i-- {
		r.closers[i]()
	}
}
