package loadtest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"hillknot/client"
	"hillknot/client/policy"
)

const (
	creditTimeout = time.Second // of a request
	creditItems   = 4000        // different pages
	creditPause   = 10 * time.Millisecond
)

// payingClient sends one request after the other on behalf of an account, and counts what it was served.
type payingClient struct {
	client *client.Client
	random *rand.Rand
	orders bool // it sends orders; otherwise pages

	mu               sync.Mutex
	spent            float64 // the price of what it was served
	served, rejected int
	recent           int // served since it was read last
}

// payingClientOptions describe a client.
type payingClientOptions struct {
	account string // empty: none
	seed    uint64
	claims  bool // it claims its orders at another router when it has lost the first
	orders  bool // it sends orders; otherwise pages
}

// newPayingClient makes a client.
func (c *FailoverCluster) newPayingClient(options payingClientOptions) (*payingClient, error) {
	settings := policy.Defaults()
	settings.Seed, settings.Claims = options.seed, options.claims
	w := &payingClient{random: rand.New(rand.NewPCG(options.seed, 6)), orders: options.orders}
	var err error
	w.client, err = client.New(client.Config{Routers: c.listenAddresses(), Account: options.account, Policy: &settings})
	return w, err
}

// run sends requests until stop is closed.
func (w *payingClient) run(stop <-chan struct{}, pause time.Duration) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		w.doNext()
		time.Sleep(pause)
	}
}

// doNext sends a request and counts its answer.
func (w *payingClient) doNext() {
	request, price := client.Request{Class: classPage, Limit: creditTimeout}, float64(pagePrice)
	request.Item = w.random.Uint64N(creditItems)
	if w.orders {
		request.Class, request.Item, request.Body, price = classOrder, w.random.Uint64(), []byte("order"), orderPrice
	}
	_, err := w.client.Do(context.Background(), request)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.rejected++
		return
	}
	w.spent += price
	w.served++
	w.recent++
}

// takeRecent returns how many requests were served since the last call.
func (w *payingClient) takeRecent() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	recent := w.recent
	w.recent = 0
	return recent
}

// payingClients are clients that run at the same time, by account.
type payingClients struct {
	byAccount map[string][]*payingClient
	stop      chan struct{}
	running   sync.WaitGroup
}

func newPayingClients() *payingClients {
	return &payingClients{byAccount: map[string][]*payingClient{}, stop: make(chan struct{})}
}

// start runs a client of an account until finish.
func (p *payingClients) start(account string, w *payingClient, pause time.Duration) {
	p.byAccount[account] = append(p.byAccount[account], w)
	p.running.Go(func() { w.run(p.stop, pause) })
}

// servedWithin waits for a time, and returns how many requests of an account were served in it.
func (p *payingClients) servedWithin(account string, length time.Duration) (served int) {
	for _, w := range p.byAccount[account] {
		w.takeRecent()
	}
	time.Sleep(length)
	for _, w := range p.byAccount[account] {
		served += w.takeRecent()
	}
	return served
}

// awaitFirstServed waits until a request of each account is served: on a busy machine the clients take a while to connect.
func (p *payingClients) awaitFirstServed() error {
	const timeout, interval = 20 * time.Second, 10 * time.Millisecond
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(interval) {
		if p.eachServed() {
			return nil
		}
	}
	return fmt.Errorf("an account had no request served within %v", timeout)
}

func (p *payingClients) eachServed() bool {
	for _, clients := range p.byAccount {
		if !slices.ContainsFunc(clients, (*payingClient).hasBeenServed) {
			return false
		}
	}
	return true
}

func (w *payingClient) hasBeenServed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.served > 0
}

// finish ends all clients, and closes them.
func (p *payingClients) finish() {
	close(p.stop)
	p.running.Wait()
	for _, clients := range p.byAccount {
		for _, w := range clients {
			_ = w.client.Close(context.Background()) // nothing is in flight
		}
	}
}
