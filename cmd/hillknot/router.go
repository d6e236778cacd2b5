package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"runtime"
	"time"

	"github.com/cloudwego/netpoll"

	"hillknot/internal/clock"
	"hillknot/internal/config"
	"hillknot/internal/core"
	"hillknot/internal/discovery"
	"hillknot/internal/frontend/admin"
	"hillknot/internal/frontend/agentcheck"
	"hillknot/internal/frontend/dns"
	"hillknot/internal/frontend/msgpackrpc"
	"hillknot/internal/handover"
	"hillknot/internal/jsonfields"
	"hillknot/internal/logging"
	"hillknot/internal/netio"
	"hillknot/internal/upstream"
)

var log = logging.For("router")

// routerOptions are what a router process is started with.
type routerOptions struct {
	configPath   string
	operatorPath string              // empty: there is no operator's file
	getenv       func(string) string // reads the process's environment
	signals      signals
	// onServing is called on the core's goroutine once clients are accepted; nil address: there is no admin front end.
	onServing func(adminAddr net.Addr)
}

// router is one router process: the core, what feeds it, and its front ends.
type router struct {
	options        routerOptions
	cfg            *config.Config
	core           *core.Core
	upstream       *upstream.Client
	watcher        *discovery.Watcher
	clients        *msgpackrpc.Server
	otherFrontEnds []namedFrontEnd // all front ends but clients
	adminAddr      net.Addr        // of the admin front end; nil: there is none

	cluster     reloader // nil: this router shares nothing
	hotRestart  *hotRestart
	termination *termination

	stop             chan struct{} // closed when the router ends
	frontEndFailures chan frontEndFailure
	closers          []func() // called in reverse order when the router ends
}

// frontEnd accepts calls on a socket of its own.
type frontEnd interface {
	Serve() error
	Close()
}

// namedFrontEnd is a front end with its name in log lines.
type namedFrontEnd struct {
	frontEnd
	name string
}

// clientFrontEnd is the name of the front end without which a router is of no use.
const clientFrontEnd = "clients"

// frontEndFailure is what Serve of a front end returned; nil: it no longer accepts.
type frontEndFailure struct {
	name string
	err  error
}

// runRouter serves until SIGTERM or SIGINT comes and every request that was read has its final answer. On SIGHUP it
// reads the configuration again.
func runRouter(options routerOptions) error {
	if options.configPath == "" {
		return errors.New("no configuration: give -config or RELAY_CONFIG")
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

// run loads the configuration, starts the router and serves.
func (r *router) run() error {
	var err error
	if r.cfg, err = r.loadConfig(); err != nil {
		return err
	}
	runtime.GOMAXPROCS(1) // the platform gives a router one core
	if err := netpoll.Configure(netpoll.Config{PollerNum: 1, LoggerOutput: os.Stderr}); err != nil {
		return fmt.Errorf("configure netpoll: %w", err)
	}
	if err := r.awaitStart(); err != nil {
		return err
	}
	defer r.close()
	return r.serveUntilEnd()
}

// awaitStart starts the router. A start that hangs, as on a disk that does, holds up a termination for no longer than
// requests may: nobody is served yet.
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
			return errTerminated // what was opened ends with the process: the start may still use it
		}
	}
	if err != nil {
		r.close()
	}
	return err
}

// loadConfig reads the configuration. A file that can't be read for now, as on a disk that hangs, does not hold up a
// termination: nothing has been accepted yet.
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

// start builds the router's parts and starts them in the order in which they depend on each other: the core first,
// then what it follows, and clients last.
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
	go func() { r.frontEndFailures <- frontEndFailure{clientFrontEnd, r.clients.Serve()} }()
	r.listenForSuccessor()
	r.core.Post(func() {
		r.core.ReleaseStart()
		r.options.onServing(r.adminAddr)
	})
	log.Info("router serving", "name", r.cfg.Name, logging.KeyListen, r.clients.Addr(), "pid", os.Getpid())
	return nil
}

// build makes the core and everything that is connected to it. Nothing runs yet, but the listeners are open.
func (r *router) build() error {
	limits := r.cfg.Limits
	var err error
	if r.core, err = core.New(r.cfg.Settings, limits, clock.Now); err != nil {
		return err
	}
	r.termination.core.Store(r.core)
	budget := netio.NewBudget(limits.BufferedBytes)
	r.upstream = upstream.New(r.core, limits, budget, clock.Now)
	r.core.SetUpstream(r.upstream)
	if r.watcher, err = discovery.New(r.core, r.cfg.DiscoveryAddr, limits, r.cfg.KnownEvents); err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	r.cfg.KnownEvents = jsonfields.Object{} // it would keep the text of the whole configuration in memory
	r.clients, err = msgpackrpc.Listen(r.cfg.Listen, r.cfg.InheritedSocket, r.core, limits, r.cfg.Settings.Classes, budget)
	if err != nil {
		return err
	}
	r.onClose(r.clients.Close)
	r.core.SetBacklogCheck(func() bool {
		return r.watcher.HasBacklog() || r.clients.HasUnreadInput() || r.upstream.HasUnreadInput()
	})
	r.hotRestart = &hotRestart{
		core:     r.core,
		watcher:  r.watcher,
		upstream: r.upstream,
		clients:  r.clients,
		budget:   budget,
		limits:   limits,
	}
	return r.listenOtherFrontEnds(budget)
}

// listenOtherFrontEnds opens the sockets of the front ends that the configuration switches on.
func (r *router) listenOtherFrontEnds(budget *netio.Budget) error {
	limits := r.cfg.Limits
	if r.cfg.DNS.Listen != "" {
		front, err := dns.Listen(r.core, r.cfg.DNS, limits, budget)
		if err != nil {
			return fmt.Errorf("dns: %w", err)
		}
		r.otherFrontEnds = append(r.otherFrontEnds, namedFrontEnd{front, "dns"})
	}
	if r.cfg.AgentCheckAddr != "" {
		front, err := agentcheck.Listen(r.cfg.AgentCheckAddr, r.core, limits)
		if err != nil {
			return fmt.Errorf("agent checks: %w", err)
		}
		r.otherFrontEnds = append(r.otherFrontEnds, namedFrontEnd{front, "agent check"})
	}
	if r.cfg.AdminAddr != "" {
		front, err := admin.Listen(r.cfg.AdminAddr, r.core, limits)
		if err != nil {
			return fmt.Errorf("operators' address: %w", err)
		}
		r.adminAddr = front.Addr()
		r.otherFrontEnds = append(r.otherFrontEnds, namedFrontEnd{front, "admin"})
	}
	return nil
}

// findPredecessor calls the process that this one replaces, if there is one, and sets the limits that two processes share.
func (r *router) findPredecessor() *handover.Predecessor {
	var predecessor *handover.Predecessor
	if r.cfg.HandoverPath != "" {
		predecessor = handover.FindPredecessor(r.cfg.HandoverPath, r.cfg.Limits)
	}
	r.hotRestart.setPredecessor(predecessor != nil)
	return predecessor
}

// startCore starts the core, which rejects clients until ReleaseStart, and the watch of the endpoint list.
func (r *router) startCore() {
	r.onClose(func() { close(r.stop) })
	r.core.HoldStart()
	go r.core.Run(r.stop)
	go r.watcher.Run(r.stop)
}

func (r *router) startOtherFrontEnds() {
	r.frontEndFailures = make(chan frontEndFailure, len(r.otherFrontEnds)+1) // one for each front end, so that no Serve waits to report
	for _, front := range r.otherFrontEnds {
		r.onClose(front.Close)
		go func() { r.frontEndFailures <- frontEndFailure{front.name, front.Serve()} }()
	}
}

// takeOver goes on from the state of a predecessor; nil: there is none. A process that is to end by then leaves the
// clients to the predecessor: errTerminated.
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

// listenForSuccessor lets a later process replace this one. Where that can't be, the router serves all the same.
func (r *router) listenForSuccessor() {
	if r.cfg.HandoverPath == "" {
		return
	}
	listener, err := handover.ListenForSuccessor(r.cfg.HandoverPath, r.hotRestart, r.cfg.Limits)
	if err != nil {
		log.Error("hot restart unavailable", logging.KeyError, err)
		return
	}
	r.onClose(listener.Close)
}

// serveUntilEnd serves until the process is to end, or until clients can't be served any more: then, too, what is open is
// answered first. Any other front end that fails is reported, and the rest serves on.
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

// keyFrontEnd is the key of the name of a front end in log lines.
const keyFrontEnd = "front_end"

func (r *router) onClose(f func()) { r.closers = append(r.closers, f) }

// close closes the parts that were started, the latest first. The goroutines that watch r.stop end on their own: the
// process ends right after.
func (r *router) close() {
	for i := len(r.closers) - 1; i >= 0; i-- {
		r.closers[i]()
	}
}
