package main

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
	"github.com/spf13/cobra"

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
	"hillknot/internal/netio"
	"hillknot/internal/upstream"
)

// serveFlags name the files that set a router up.
type serveFlags struct{ config, operator string }

func (f *serveFlags) add(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.config, "config", os.Getenv("RELAY_CONFIG"), "the configuration `FILE`")
	cmd.Flags().StringVar(&f.operator, "operator", os.Getenv("HILLKNOT_OPERATOR"), "a `FILE` with further keys, such as deploy/operator.hcl")
}

// serve runs the router as a command.
func (f *serveFlags) serve(*cobra.Command, []string) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	return run(f.config, f.operator, signals, func(net.Addr) {})
}

// run serves until a signal to end comes and all that was taken is answered. On SIGHUP the configuration is
// read again. It calls serving once clients are taken, with the operators' address, if there is one.
func run(path, operator string, signals <-chan os.Signal, serving func(ops net.Addr)) error {
	if path == "" {
		return errors.New("no configuration: give -config or RELAY_CONFIG")
	}
	cfg, err := config.Load(path, operator)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1)
	if err := netpoll.Configure(netpoll.Config{PollerNum: 1, LoggerOutput: os.Stderr}); err != nil {
		return fmt.Errorf("configure netpoll: %w", err)
	}
	var shared *core.ClusterState
	if cfg.Fleet.On {
		if shared, err = share(cfg); err != nil {
			return err
		}
	}
	c, err := core.New(cfg.Settings, cfg.Limits, clock.Now)
	if err != nil {
		return err
	}
	budget := netio.NewBudget(cfg.Limits.HeldBytes)
	up := upstream.New(c, cfg.Limits, budget, clock.Now)
	c.SetUpstream(up)
	feed, err := discovery.New(c, cfg.Journal, cfg.Limits, cfg.Known)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	cfg.Known = jsonfields.Object{} // it holds the text of the whole configuration
	front, err := msgpackrpc.Listen(cfg.Listen, cfg.Inherited, c, cfg.Limits, cfg.Settings.Classes, budget)
	if err != nil {
		return err
	}
	defer front.Close()
	c.SetBacklogCheck(func() bool { return feed.HasBacklog() || front.HasUnreadInput() || up.HasBacklog() })
	var fronts []server
	if cfg.DNS.Listen != "" {
		f, err := dns.Listen(c, cfg.DNS, cfg.Limits, budget)
		if err != nil {
			return fmt.Errorf("dns: %w", err)
		}
		fronts = append(fronts, f)
	}
	if cfg.Agent != "" {
		f, err := agentcheck.Listen(cfg.Agent, c, cfg.Limits)
		if err != nil {
			return fmt.Errorf("agent checks: %w", err)
		}
		fronts = append(fronts, f)
	}
	var operators net.Addr
	if cfg.Ops != "" {
		f, err := admin.Listen(cfg.Ops, c, cfg.Limits)
		if err != nil {
			return fmt.Errorf("operators' address: %w", err)
		}
		operators = f.Addr()
		fronts = append(fronts, f)
	}
	r := &replacement{core: c, feed: feed, up: up, front: front, budget: budget, lim: cfg.Limits}
	var before *handover.Predecessor
	if cfg.Handover != "" {
		before = handover.FindPredecessor(cfg.Handover, cfg.Limits)
	}
	r.share(func() { r.before = before != nil })
	stop, failed := make(chan struct{}), make(chan error, len(fronts)+1)
	defer close(stop)
	c.HoldStart()
	go c.Run(stop)
	go feed.Run(stop)
	for _, f := range fronts {
		defer f.Close()
		go func() { failed <- f.Serve() }()
	}
	if before != nil {
		defer before.Close()
		r.follow(before)
		go r.wait(before, stop)
	}
	var peers keyed
	if shared != nil {
		if peers, err = talk(cfg, c, shared, stop); err != nil {
			return err
		}
	}
	go func() { failed <- front.Serve() }()
	if cfg.Handover != "" {
		g, err := handover.ListenForSuccessor(cfg.Handover, r, cfg.Limits)
		if err != nil { // serving comes first
			slog.Error("this process can't be followed", "err", err)
		} else {
			defer g.Close()
		}
	}
	c.Post(func() { c.ReleaseStart(); serving(operators) })
	slog.Info("serving", "name", cfg.Name, "listen", front.Addr(), "pid", os.Getpid())
	for {
		select {
		case err := <-failed:
			if err == nil { // it no longer accepts
				continue
			}
			return fmt.Errorf("serve: %w", err)
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				reload(path, operator, feed, peers)
				continue
			}
			slog.Info("ending")
			finish(c, front, cfg.Limits)
			return nil
		}
	}
}

// reload takes the journal's address from the configuration as it is now, and the keys of the fleet from their file; all
// else holds from the start on. A faulty file changes nothing: the router goes on with what it has.
func reload(path, operator string, feed *discovery.Watcher, peers keyed) {
	if peers != nil {
		if err := peers.Reread(); err != nil {
			slog.Error("files of the fleet not taken", "err", err)
		}
	}
	cfg, err := config.Load(path, operator)
	if err != nil {
		slog.Error("configuration not taken", "err", err)
		return
	}
	slog.Info("configuration read again", "journal", cfg.Journal)
	feed.SetAddress(cfg.Journal)
}

// server is a front with its sockets open.
type server interface {
	Serve() error
	Close()
}

// finish goes on serving for the grace time, in which requests still arrive, and then until all that was
// taken is answered. Where a successor has taken over, new connections are left to that at once, and the open ones
// close as on standby.
func finish(c *core.Core, front *msgpackrpc.Front, lim config.Limits) {
	start := c.EarliestSignal() // the signal may have come while the process stood still
	c.Post(func() { c.BeginShutdown(start) })
	for ; clock.Now()-start < lim.Finish; time.Sleep(10 * time.Millisecond) {
		empty, followed := make(chan bool, 1), c.Snapshot().HasSuccessor
		if followed {
			front.StopAccepting()
		}
		if followed && front.OpenConns() > 0 || !followed && clock.Now()-start <= lim.Grace {
			continue
		}
		if c.Post(func() { empty <- c.CloseIfIdle() }); <-empty {
			break
		}
	}
	closed := make(chan struct{})
	c.Post(func() { c.CloseCredit(); close(closed) })
	<-closed
	slog.Info("ended", "after", clock.Now()-start, "followed", c.Snapshot().HasSuccessor)
	front.Shutdown(start + lim.Finish + lim.Exit)
}
