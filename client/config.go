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
	maxMessageSize   = 1 << 28 // upper bound of MaxAnswer and MaxBody, in bytes
	maxRouters       = 1024

	maxClassNameBytes = 64 // bytes
	maxClassLimit     = time.Hour

	// healthMethod is the method of health checks. No class may have this name.
	healthMethod = "health"
)

// Config configures a client. Only Routers is required.
type Config struct {
	// Routers lists the addresses of the routers, as host:port. It should list all routers of a zone, because a
	// request goes to another router if one is unavailable.
	Routers []string

	// Account is the account that pays for the requests. If it is empty, requests name no account.
	Account string

	// Classes maps names to classes of requests. Default: Classes().
	Classes map[string]Class

	// Policy holds the limits and times of the client. Default: policy.Defaults() with a random Seed.
	Policy *policy.Settings

	// MaxAnswer is the maximum size of a response body, in bytes. Default: 240,000. A larger body ends its
	// connection.
	MaxAnswer int

	// MaxBody is the maximum size of a request body, in bytes. Default: 48,000.
	MaxBody int

	// Observer, if set, is called for each event, in order and never concurrently. It must not block, and must not
	// call the client.
	Observer func(Observation)

	// Dial opens a connection to an address of Routers. It must return when the context ends. Default: TCP.
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
		return fmt.Errorf("client: Routers has %d addresses, must have 1 to %d", len(cfg.Routers), maxRouters)
	}
	for _, addr := range cfg.Routers {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return fmt.Errorf("client: Routers: %w", err)
		}
	}
	if !validMessageSize(cfg.MaxAnswer) || !validMessageSize(cfg.MaxBody) {
		return errors.New("client: MaxAnswer or MaxBody is not between 0 and 256 MiB")
	}
	return nil
}

func validMessageSize(n int) bool { return n >= 0 && n <= maxMessageSize }

// Class is a class of requests: a kind of request that the routers serve under one name.
type Class struct {
	// Safe is true if requests of the class are idempotent and may be repeated. The client does not repeat a request
	// of any other class that may have run, because it could take effect twice.
	Safe bool

	// Limit is the maximum time that routers work on a request. It must be above 0 and at most one hour.
	Limit time.Duration
}

// Classes returns the classes of the platform's routers, in a new map that the caller may change.
func Classes() map[string]Class {
	return map[string]Class{
		"full-score":  {Safe: true, Limit: 5 * time.Second},
		"part-page":   {Safe: true, Limit: 3 * time.Second},
		"new-arrange": {Limit: 3 * time.Second},
	}
}

// classTable assigns an index to each class, by which package policy identifies it.
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
		validName := name != "" && name != healthMethod && len(name) <= maxClassNameBytes
		if !validName || class.Limit <= 0 || class.Limit > maxClassLimit {
			return classTable{}, fmt.Errorf("client: Classes: name %q or its limit %v is invalid", name, class.Limit)
		}
		table.index[name] = len(table.list)
		table.list = append(table.list, namedClass{Class: class, name: name})
	}
	return table, nil
}
