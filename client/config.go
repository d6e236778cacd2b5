package client

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"hillknot/client/policy"
)

const (
	defaultMaxAnswer = 240_000 // bytes
	defaultMaxBody   = 48_000  // bytes
	maxMessageSize   = 1 << 28 // bound on both
	maxRouters       = 1024

	maxClassName  = 64 // bytes
	maxClassLimit = time.Hour

	// healthMethod is the method of health checks, which no class can be named.
	healthMethod = "health"
)

// Config configures a client. Only Routers is required.
type Config struct {
	// Routers lists the addresses of the routers, as host:port. All routers of a location should be named: a
	// request goes to another router where one is away.
	Routers []string

	// Account is the account that pays for the requests. Empty: the requests name none.
	Account string

	// Classes are the classes of requests by name. Default: Classes().
	Classes map[string]Class

	// Policy holds the limits and times of the client. Default: policy.Defaults() with a random Seed.
	Policy *policy.Settings

	// MaxAnswer is the longest body of a response, in bytes. Default: 240,000. A longer one ends its connection.
	MaxAnswer int

	// MaxBody is the longest body of a request, in bytes. Default: 48,000.
	MaxBody int

	// Observer, if set, is called for each event, in order and never twice at a time. It must not block, and must
	// not call the client.
	Observer func(Observation)

	// Dial opens a connection to an address of Routers. It must end when the context does. Default: TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
}

func (cfg *Config) setDefaults() {
	if cfg.Classes == nil {
		cfg.Classes = Classes()
	}
	if cfg.MaxAnswer == 0 {
		cfg.MaxAnswer = defaultMaxAnswer
	}
	if cfg.MaxBody == 0 {
		cfg.MaxBody = defaultMaxBody
	}
	if cfg.Dial == nil {
		cfg.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp", addr)
		}
	}
}

func (cfg *Config) check() error {
	if len(cfg.Routers) == 0 || len(cfg.Routers) > maxRouters {
		return fmt.Errorf("client: Routers has %d addresses, not 1 to %d", len(cfg.Routers), maxRouters)
	}
	for _, addr := range cfg.Routers {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return fmt.Errorf("client: Routers: %w", err)
		}
	}
	if !validMessageSize(cfg.MaxAnswer) || !validMessageSize(cfg.MaxBody) {
		return errors.New("client: MaxAnswer or MaxBody is out of range")
	}
	return nil
}

func validMessageSize(n int) bool { return n >= 0 && n <= maxMessageSize }

// Class is a class of requests: what the routers serve under one name.
type Class struct {
	// Safe says that a request may be repeated, as it is idempotent. Without it the client does not repeat a
	// request that may have run: it would take effect twice.
	Safe bool

	// Limit is how long routers work on a request at most. It is above 0 and at most an hour.
	Limit time.Duration
}

// Classes returns the classes of the platform's routers, in a map of the caller's own.
func Classes() map[string]Class {
	return map[string]Class{
		"full-score":  {Safe: true, Limit: 5 * time.Second},
		"part-page":   {Safe: true, Limit: 3 * time.Second},
		"new-arrange": {Limit: 3 * time.Second},
	}
}

// classTable numbers the classes, as package policy knows them.
type classTable struct {
	index map[string]int
	list  []namedClass
}

type namedClass struct {
	Class
	name string
}

func newClassTable(classes map[string]Class) (classTable, error) {
	table := classTable{index: map[string]int{}}
	for name, class := range classes {
		validName := name != "" && name != healthMethod && len(name) <= maxClassName
		if !validName || class.Limit <= 0 || class.Limit > maxClassLimit {
			return classTable{}, fmt.Errorf("client: Classes: %q with limit %v can't be used", name, class.Limit)
		}
		table.index[name] = len(table.list)
		table.list = append(table.list, namedClass{Class: class, name: name})
	}
	return table, nil
}
