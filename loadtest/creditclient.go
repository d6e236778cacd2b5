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
	creditItems   = 4000        // number of different pages
	creditPause   = 10 * time.Millisecond
)

// payingClient sends one request after another on behalf of an account, and counts the answers.
type payingClient struct {
	client      *client.Client
	random      *rand.Rand
	sendsOrders bool // it sends orders; otherwise pages

	mu               sync.Mutex
	spent            float64 // price of the requests that were served
	served, rejected int
	servedSinceTaken int // served since the last call of takeServed
}

// payingClientOptions describes a paying client.
type payingClientOptions struct {
	account      string // empty: none
	seed         uint64
	claimsOrders bool // it claims an order at another router when it has lost the first one
	sendsOrders  bool // it sends orders; otherwise pages
}

// newPayingClient makes a client that sends requests to all routers of the cluster.
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

// payingClients are clients that run at the same time.
type payingClients struct {
	byAccount map[string][]*payingClient
	stop      chan struct{}
	running   sync.WaitGroup
}

func newPayingClients() *payingClients {
	return &payingClients{byAccount: map[string][]*payingClient{}, stop: make(chan struct{})}
}

// start runs a client of an account until finish is called.
func (p *payingClients) start(account string, c *payingClient, pause time.Duration) {
	p.byAccount[account] = append(p.byAccount[account], c)
	p.running.Go(func() { c.run(p.stop, pause) })
}

// servedWithin waits for a length of time, and returns how many requests of an account were served meanwhile.
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

// awaitFirstServed waits until a request of each account has been served. On a busy machine, clients take a while to connect.
func (p *payingClients) awaitFirstServed() error {
	const timeout, interval = 20 * time.Second, 10 * time.Millisecond
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(interval) {
		if p.eachServed() {
			return nil
		}
	}
	return fmt.Errorf("no request of an account was served within %v", timeout)
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

// finish stops all clients, and closes them.
func (p *payingClients) finish() {
	close(p.stop)
	p.running.Wait()
	for _, clients := range p.byAccount {
		for _, c := range clients {
			_ = c.client.Close(context.Background()) // nothing is in flight
		}
	}
}
