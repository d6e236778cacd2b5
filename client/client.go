// Package client sends requests to edge routers and returns their responses. It is what directors' tools use.
//
// A Client spreads requests over the routers, keeps one time limit for a request over all its attempts, marks
// retries as such and bounds them by a budget, never repeats a request that may have taken effect unless its class
// allows that, heeds the routers' Retry-After, and spreads its reconnects after a router's restart.
//
// All decisions are made by package policy, which does no I/O. This package does what it decides: it owns the
// connections, their goroutines and the clock.
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

// Client sends requests to a set of routers. Create it with New, once for a program, and end it with Close. Its
// methods are safe for concurrent use.
type Client struct {
	config   Config
	settings policy.Settings
	classes  classTable
	epoch    time.Duration // reading of package clock at which the policy's time began

	// Close cancels the dials and waits for the goroutines: those of connections, and of timers that have fired.
	dialContext context.Context
	cancelDials context.CancelFunc
	goroutines  sync.WaitGroup

	mu        sync.Mutex // guards all below, and the connections and calls; it is never held during I/O
	policy    *policy.Policy
	txnSource *rand.ChaCha8 // source of transaction ids
	calls     map[*pendingCall]struct{}
	timer     policyTimer
	closed    bool
	idle      chan struct{} // closed once the client is closed and no call is open any more
	counters  counters
	observer  observer
}

// New returns a client for the routers that the configuration names. It opens no connection before the first
// request. The error says which part of the configuration can't be used.
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
	_, _ = crand.Read(seed[:]) // it never fails: the program ends first
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

// now returns the policy's time. It is never 0, which stands for "not set" there.
func (c *Client) now() time.Duration { return clock.Now() - c.epoch + time.Second }

// unlock frees the lock, and then tells the observer what has happened under it.
func (c *Client) unlock() { c.observer.unlockAndNotify(&c.mu) }
