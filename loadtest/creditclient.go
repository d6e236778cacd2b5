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
	client      *client.Client
	random      *rand.Rand
	sendsOrders bool // it sends orders; otherwise pages

	mu               sync.Mutex
	spent            float64 // the price of what it was served
	served, rejected int
	servedSinceTaken int // served since it was read last
}

// payingClientOptions describe a client.
type payingClientOptions struct {
	account      string // empty: none
	seed         uint64
	claimsOrders bool // it claims its orders at another router when it has lost the first
	sendsOrders  bool // it sends orders; otherwise pages
}

// newPayingClient makes a client.
func (c *FailoverCluster) newPayingClient(options payingClientOptions) (*payingClient, error) {
	settings := policy.Defaults()
	settings.Seed, settings.Claims = options.seed, options.claimsOrders
	paying := &payingClient{random: rand.New(rand.NewPCG(options.seed, 6)), sendsOrders: options.sendsOrders}
	var err error
	paying.client, err = client.New(client.Config{Routers: c.listenAddresses(), Account: options.account, Policy: &settings})
	return paying, err
}

// run sends requests until stop is closed.
func (c *payingClient) run(stop <-chan struct{}, pause time.Duration) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		c.doNext()
		time.Sleep(pause)
	}
}

// doNext sends a request and counts its answer.
func (c *payingClient) doNext() {
	request, price := client.Request{Class: classPage, Limit: creditTimeout}, float64(pagePrice)
	request.Item = c.random.Uint64N(creditItems)
	if c.sendsOrders {
		request.Class, request.Item, request.Body, price = classOrder, c.random.Uint64(), []byte("order"), orderPrice
	}
	_, err := c.client.Do(context.Background(), request)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.rejected++
		return
	}
	c.spent += price
	c.served++
	c.servedSinceTaken++
}

// takeServed returns how many requests were served since the last call.
func (c *payingClient) takeServed() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	servedSinceTaken := c.servedSinceTaken
	c.servedSinceTaken = 0
	return servedSinceTaken
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
func (p *payingClients) start(account string, c *payingClient, pause time.Duration) {
	p.byAccount[account] = append(p.byAccount[account], c)
	p.running.Go(func() { c.run(p.stop, pause) })
}

// servedWithin waits for a time, and returns how many requests of an account were served in it.
func (p *payingClients) servedWithin(account string, length time.Duration) (served int) {
	for _, c := range p.byAccount[account] {
		c.takeServed()
	}
	time.Sleep(length)
	for _, c := range p.byAccount[account] {
		served += c.takeServed()
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

func (c *payingClient) hasBeenServed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.served > 0
}

// finish ends all clients, and closes them.
func (p *payingClients) finish() {
	close(p.stop)
	p.running.Wait()
	for _, clients := range p.byAccount {
		for _, c := range clients {
			_ = c.client.Close(context.Background()) // nothing is in flight
		}
	}
}
