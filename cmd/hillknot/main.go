// Command hillknot is one edge router. Its configuration is the file named by -config or RELAY_CONFIG.
package main

import (
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"

	"hillknot/internal/agentcheck"
	"hillknot/internal/cachewire"
	"hillknot/internal/config"
	"hillknot/internal/core"
	"hillknot/internal/dnsfront"
	"hillknot/internal/journal"
	"hillknot/internal/msgrpc"
	"hillknot/internal/netio"
)

func main() {
	path := flag.String("config", os.Getenv("RELAY_CONFIG"), "the configuration `file`")
	operator := flag.String("operator", os.Getenv("HILLKNOT_OPERATOR"), "a `file` with further keys, such as deploy/operator.json")
	flag.Parse()
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM, os.Interrupt)
	if err := run(*path, *operator, term); err != nil {
		slog.Error("hillknot ends", "err", err)
		os.Exit(1)
	}
}

// run serves until a signal comes and all that was taken is answered.
func run(path, operator string, term <-chan os.Signal) error {
	if path == "" {
		return errors.New("no configuration: give -config or RELAY_CONFIG")
	}
	cfg, err := config.Load(path, operator)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(cfg.Limits.MemoryMB) << 20 * 3 / 4)
	if err := netpoll.Configure(netpoll.Config{PollerNum: 1, LoggerOutput: os.Stderr}); err != nil {
		return fmt.Errorf("configure netpoll: %w", err)
	}
	clock := unixClock()
	c, err := core.New(cfg.Settings, cfg.Limits, clock)
	if err != nil {
		return err
	}
	budget := &netio.Budget{Max: int64(cfg.Limits.HeldBytes)}
	c.Use(cachewire.New(c, cfg.Limits, budget, clock))
	feed, err := journal.New(c, cfg.Journal, cfg.Limits, cfg.Known)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	front, err := msgrpc.Listen(cfg.Listen, c, cfg.Limits, cfg.Settings.Classes, budget)
	if err != nil {
		return err
	}
	fronts := []server{front}
	if cfg.DNS.Listen != "" {
		f, err := dnsfront.Listen(c, cfg.DNS, cfg.Limits, budget)
		if err != nil {
			return fmt.Errorf("dns: %w", err)
		}
		fronts = append(fronts, f)
	}
	for _, check := range []struct {
		addr   string
		listen func(string, agentcheck.Core, config.Limits) (*agentcheck.Front, error)
	}{{cfg.Agent, agentcheck.ListenAgent}, {cfg.Health, agentcheck.ListenHTTP}} {
		if check.addr == "" {
			continue
		}
		f, err := check.listen(check.addr, c, cfg.Limits)
		if err != nil {
			return fmt.Errorf("health checks: %w", err)
		}
		fronts = append(fronts, f)
	}
	stop, failed := make(chan struct{}), make(chan error, len(fronts))
	defer close(stop)
	go c.Run(stop)
	go feed.Run(stop)
	for _, f := range fronts {
		defer f.Close()
		go func() { failed <- f.Serve() }()
	}
	slog.Info("serving", "name", cfg.Name, "listen", front.Addr(), "pid", os.Getpid())
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-term:
	}
	finish(c, cfg.Limits)
	return nil
}

// server is a front with its sockets open.
type server interface {
	Serve() error
	Close()
}

// finish goes on serving for the linger time, in which requests still arrive, and then until all that was
// taken is answered.
func finish(c *core.Core, lim config.Limits) {
	slog.Info("ending", "linger", lim.Linger)
	c.Post(c.Stop)
	time.Sleep(lim.Linger)
	for end := time.Now().Add(lim.Finish); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		open := make(chan int, 1)
		c.Post(func() { open <- c.Open() })
		if <-open == 0 {
			break
		}
	}
	time.Sleep(50 * time.Millisecond) // the last answers are on their way out
}

// unixClock counts from the Unix epoch and never steps back.
func unixClock() func() time.Duration {
	start := time.Now()
	base := time.Duration(start.UnixNano())
	return func() time.Duration { return base + time.Since(start) }
}
