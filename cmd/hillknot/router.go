package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"runtime"
	"syscall"

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
	signals      <-chan os.Signal
	// onServing is called on the core's goroutine once clients are accepted; nil address: there is no admin front end.
	onServing func(adminAddr net.Addr)
}

// router is one router process: the core, what feeds it, and its front ends.
type router struct {
	options  routerOptions
	cfg      *config.Config
	core     *core.Core
	upstream *upstream.Client
	watcher  *discovery.Watcher
	clients  *msgpackrpc.Server
	others   []frontEnd // all front ends but clients
	admin    net.Addr   // of the admin front end; nil: there is none

	cluster     reloader // nil: this router shares nothing
	replacement *replacement

	stop    chan struct{} // closed when the router ends
	failed  chan error    // what Serve of each front end returned
	closers []func()      // called in reverse order when the router ends
}

// frontEnd accepts calls on a socket of its own.
type frontEnd interface {
	Serve() error
	Close()
}

// runRouter serves until SIGTERM or SIGINT comes and every request that was read has its final answer. On SIGHUP it
// reads the configuration again.
func runRouter(options routerOptions) error {
	if options.configPath == "" {
		return errors.New("no configuration: give -config or RELAY_CONFIG")
	}
	cfg, err := config.LoadEnv(options.configPath, options.operatorPath, options.getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1) // the platform gives a router one core
	if err := netpoll.Configure(netpoll.Config{PollerNum: 1, LoggerOutput: os.Stderr}); err != nil {
		return fmt.Errorf("configure netpoll: %w", err)
	}
	r := &router{options: options, cfg: cfg, stop: make(chan struct{})}
	defer r.close()
	if err := r.start(); err != nil {
		return err
	}
	return r.handleSignals()
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
	r.takeOver(predecessor)
	if clusterState != nil {
		if r.cluster, err = joinCluster(r.cfg, r.core, clusterState, r.stop); err != nil {
			return err
		}
	}
	go func() { r.failed <- r.clients.Serve() }()
	r.listenForSuccessor()
	r.core.Post(func() {
		r.core.ReleaseStart()
		r.options.onServing(r.admin)
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
	r.replacement = &replacement{
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
		r.others = append(r.others, front)
	}
	if r.cfg.AgentCheckAddr != "" {
		front, err := agentcheck.Listen(r.cfg.AgentCheckAddr, r.core, limits)
		if err != nil {
			return fmt.Errorf("agent checks: %w", err)
		}
		r.others = append(r.others, front)
	}
	if r.cfg.AdminAddr != "" {
		front, err := admin.Listen(r.cfg.AdminAddr, r.core, limits)
		if err != nil {
			return fmt.Errorf("operators' address: %w", err)
		}
		r.admin = front.Addr()
		r.others = append(r.others, front)
	}
	return nil
}

// findPredecessor calls the process that this one replaces, if there is one, and sets the limits that two processes share.
func (r *router) findPredecessor() *handover.Predecessor {
	var predecessor *handover.Predecessor
	if r.cfg.HandoverPath != "" {
		predecessor = handover.FindPredecessor(r.cfg.HandoverPath, r.cfg.Limits)
	}
	r.replacement.setPredecessor(predecessor != nil)
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
	r.failed = make(chan error, len(r.others)+1) // one for each front end, so that no Serve waits to report
	for _, front := range r.others {
		r.onClose(front.Close)
		go func() { r.failed <- front.Serve() }()
	}
}

// takeOver goes on from the state of a predecessor; nil: there is none.
func (r *router) takeOver(predecessor *handover.Predecessor) {
	if predecessor == nil {
		return
	}
	r.onClose(predecessor.Close)
	r.replacement.importState(predecessor)
	go r.replacement.waitForPredecessor(predecessor, r.stop)
}

// listenForSuccessor lets a later process replace this one. Where that can't be, the router serves all the same.
func (r *router) listenForSuccessor() {
	if r.cfg.HandoverPath == "" {
		return
	}
	listener, err := handover.ListenForSuccessor(r.cfg.HandoverPath, r.replacement, r.cfg.Limits)
	if err != nil {
		log.Error("hot restart unavailable", logging.KeyError, err)
		return
	}
	r.onClose(listener.Close)
}

// handleSignals serves until a front end fails or a signal to end has been carried out.
func (r *router) handleSignals() error {
	for {
		select {
		case err := <-r.failed:
			if err == nil { // the front end no longer accepts
				continue
			}
			return fmt.Errorf("serve: %w", err)
		case sig := <-r.options.signals:
			if sig == syscall.SIGHUP {
				r.reload()
				continue
			}
			log.Info("shutdown started")
			r.shutDown()
			return nil
		}
	}
}

func (r *router) onClose(f func()) { r.closers = append(r.closers, f) }

// close closes the parts that were started, the latest first. The goroutines that watch r.stop end on their own: the
// process ends right after.
func (r *router) close() {
	for i := len(r.closers) - 1; i >= 0; i-- {
		r.closers[i]()
	}
}
