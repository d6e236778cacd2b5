package loadtest

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"hillknot/client"
	"hillknot/client/policy"
)

const (
	failoverTimeout = 2 * time.Second // of a request
	failoverItems   = 4000            // number of different pages
	// minTimeRemaining is how much of a request's timeout has to remain when its router is lost, so that another router can
	// answer it.
	minTimeRemaining = 500 * time.Millisecond
)

// requestRecord holds a request of a client and its outcome.
type requestRecord struct {
	order    bool
	item     uint64
	start    time.Time
	duration time.Duration
	err      error

	inFlight      bool // on a router when it was lost, with at least minTimeRemaining left
	sentToBackend bool // the order had reached a page cache by then
}

// claimingClient sends one request after another with a client of the library that claims an order at another router when it
// has lost the first one. Everything it observes belongs to the one request in flight.
type claimingClient struct {
	orders *orderRecorder
	client *client.Client
	random *rand.Rand

	mu      sync.Mutex
	router  string         // that was tried last for the current request
	current *requestRecord // in flight; nil: none
	records []*requestRecord
}

// newClaimingClient makes the next client of the cluster.
func (c *FailoverCluster) newClaimingClient() (*claimingClient, error) {
	seed := c.nextClientSeed()
	claiming := &claimingClient{orders: c.orders, random: rand.New(rand.NewPCG(seed, 8))}
	options := policy.Defaults()
	options.Seed, options.Claims = seed, true
	var err error
	claiming.client, err = client.New(client.Config{Routers: c.listenAddresses(), Policy: &options,
		Observer: func(o client.Observation) {
			if o.What != client.Tried {
				return
			}
			claiming.mu.Lock()
			defer claiming.mu.Unlock()
			claiming.router = o.Router
		}})
	return claiming, err
}

// run sends requests until stop is closed. A fraction of them are orders. Between requests it pauses for up to maxPause.
func (c *claimingClient) run(stop <-chan struct{}, orderFraction float64, maxPause time.Duration) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		c.doNext(orderFraction)
		time.Sleep(time.Duration(c.random.Int64N(int64(maxPause) + 1)))
	}
}

// doNext draws a request, sends it and records its outcome.
func (c *claimingClient) doNext(orderFraction float64) {
	request := client.Request{Class: classPage, Item: c.random.Uint64N(failoverItems), Limit: failoverTimeout}
	isOrder := c.random.Float64() < orderFraction
	if isOrder {
		request.Class, request.Item, request.Body = classOrder, c.random.Uint64(), []byte("order")
	}
	record := &requestRecord{order: isOrder, item: request.Item, start: time.Now()}
	c.mu.Lock()
	c.router, c.current = "", record
	c.mu.Unlock()
	_, err := c.client.Do(context.Background(), request)
	c.mu.Lock()
	defer c.mu.Unlock()
	record.duration, record.err = time.Since(record.start), err
	c.current, c.records = nil, append(c.records, record)
}

// routersLost marks the current request if its router is among those that are being lost and enough of its timeout remains.
func (c *claimingClient) routersLost(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	record := c.current
	if record == nil || !slices.Contains(addresses, c.router) || failoverTimeout-time.Since(record.start) < minTimeRemaining {
		return
	}
	record.inFlight = true
	record.sentToBackend = record.order && c.orders.ran(record.item) > 0
}

// close closes the client. Call it after run has returned.
func (c *claimingClient) close() { _ = c.client.Close(context.Background()) } // nothing is in flight

// claimingClients are clients that run at the same time.
type claimingClients struct {
	clients []*claimingClient
	stop    chan struct{}
	running sync.WaitGroup
}

// startClaimingClients starts a number of clients. The caller stops them with finish and then closes them.
func (c *FailoverCluster) startClaimingClients(count int, orderFraction float64, maxPause time.Duration) (
	*claimingClients, error) {
	load := &claimingClients{stop: make(chan struct{})}
	for range count {
		claiming, err := c.newClaimingClient()
		if err != nil {
			load.finish()
			load.close()
			return nil, err
		}
		load.clients = append(load.clients, claiming)
		load.running.Go(func() { claiming.run(load.stop, orderFraction, maxPause) })
	}
	return load, nil
}

// finish stops sending, and waits for the requests in flight.
func (a *claimingClients) finish() {
	close(a.stop)
	a.running.Wait()
}

// routersLost marks the requests that are in flight on routers that are being lost.
func (a *claimingClients) routersLost(addresses []string) {
	for _, c := range a.clients {
		c.routersLost(addresses)
	}
}

func (a *claimingClients) close() {
	for _, c := range a.clients {
		c.close()
	}
}
