// Package client sends requests to edge routers and returns their responses. Directors' tools use it.
//
// A Client spreads requests over the routers, applies one time limit to all attempts of a request, marks retries as
// such and bounds them by a budget, never repeats a request that may have taken effect unless its class allows that,
// obeys the routers' Retry-After, and spreads its reconnects after a router's restart.
//
// Package policy, which does no I/O, makes all decisions. This package carries them out: it owns the connections,
// their goroutines and the clock.
package client

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"hillknot/client/policy"
	"hillknot/internal/clock"
)

// Client sends requests to a set of routers. Create one per program with New, and end it with Close. Its methods are
// safe for concurrent use.
type Client struct {
	config   Config
	settings policy.Settings
	classes  classTable
	epoch    time.Duration // reading of package clock when the client was created

	// Close cancels the dials and waits for the goroutines of connections and of timers that have fired.
	dialContext context.Context
	cancelDials context.CancelFunc
	goroutines  sync.WaitGroup

	mu        sync.Mutex // guards all fields below, the connections and the calls; never held during I/O
	policy    *policy.Policy
	txnSource *rand.ChaCha8 // source of transaction ids
	calls     map[*pendingCall]struct{}
	timer     policyTimer
	closed    bool
	idle      chan struct{} // closed once the client is closed and no call is open
	counters  counters
	observer  observer
}

// New returns a client for the routers in the configuration. It opens no connection before the first request. The
// error names the part of the configuration that is invalid.
func New(cfg Config) (*Client, error) {
	cfg.setDefaults()
	if err := cfg.check(); err != nil {
		return nil, err
	}
	classes, err := newClassTable(cfg.Classes)
	if err != nil {
		return nil, err
	}
	var seed [32]byte
	_, _ = crand.Read(seed[:]) // it never returns an error: the program ends instead
	c := &Client{
		config:    cfg,
		classes:   classes,
		epoch:     clock.Now(),
		txnSource: rand.NewChaCha8(seed),
		calls:     map[*pendingCall]struct{}{},
		idle:      make(chan struct{}),
		counters:  newCounters(len(classes.list)),
		observer:  observer{notify: cfg.Observer},
	}
	if cfg.Policy != nil {
		c.settings = *cfg.Policy
	} else {
		c.settings = policy.Defaults()
		c.settings.Seed = binary.LittleEndian.Uint64(seed[:]) ^ c.txnSource.Uint64()
	}
	if err := c.settings.Check(); err != nil {
		return nil, fmt.Errorf("client: Policy: %w", err)
	}
	c.policy = policy.New(c.settings, len(cfg.Routers), len(classes.list))
	c.dialContext, c.cancelDials = context.WithCancel(context.Background())
	return c, nil
}

// now returns the current time as package policy counts it. It is never 0, which means "not set" there.
func (c *Client) now() time.Duration { return clock.Now() - c.epoch + time.Second }

// unlock releases the lock, and then passes the observations that were added under it to Config.Observer.
func (c *Client) unlock() { c.observer.unlockAndNotify(&c.mu) }
