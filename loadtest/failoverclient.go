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
	failoverItems   = 4000            // different pages
	// minTimeLeft is how much of a request's time has to be left as its router is lost, so that another router can answer it.
	minTimeRemaining = 500 * time.Millisecond
)

// call is a request of a client, and what became of it.
type call struct {
	order    bool
	item     uint64
	start    time.Time
	duration time.Duration
	err      error

	inFlight      bool // on a router as that was lost, with enough time left
	sentToBackend bool // it was, by then
}

// claimingClient sends one request after the other by a client of the library that claims its orders at another router when
// it has lost the first. What it observes belongs to the one call that is open.
type claimingClient struct {
	orders *orderRecorder
	client *client.Client
	random *rand.Rand

	mu     sync.Mutex
	router string // that was tried last
	open   *call  // nil: none is
	done   []*call
}

// newClaimingClient makes the next client of the cluster.
func (c *FailoverCluster) newClaimingClient() (*claimingClient, error) {
	seed := c.nextClientSeed()
	w := &claimingClient{orders: c.orders, random: rand.New(rand.NewPCG(seed, 8))}
	options := policy.Defaults()
	options.Seed, options.Claims = seed, true
	var err error
	w.client, err = client.New(client.Config{Routers: c.listenAddresses(), Policy: &options, Observer: func(o client.Observation) {
		if o.What != client.Tried {
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		w.router = o.Router
	}})
	return w, err
}

// run sends requests until stop is closed, of which a fraction are orders, with pauses up to a maximum.
func (w *claimingClient) run(stop <-chan struct{}, orderFraction float64, maxPause time.Duration) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		w.doNext(orderFraction)
		time.Sleep(time.Duration(w.random.Int64N(int64(maxPause) + 1)))
	}
}

// doNext draws a request, sends it and records what became of it.
func (w *claimingClient) doNext(orderFraction float64) {
	request := client.Request{Class: classPage, Item: w.random.Uint64N(failoverItems), Limit: failoverTimeout}
	isOrder := w.random.Float64() < orderFraction
	if isOrder {
		request.Class, request.Item, request.Body = classOrder, w.random.Uint64(), []byte("order")
	}
	k := &call{order: isOrder, item: request.Item, start: time.Now()}
	w.mu.Lock()
	w.router, w.open = "", k
	w.mu.Unlock()
	_, err := w.client.Do(context.Background(), request)
	w.mu.Lock()
	defer w.mu.Unlock()
	k.duration, k.err = time.Since(k.start), err
	w.open, w.done = nil, append(w.done, k)
}

// routersLost marks the open call where its router is among those that are being lost.
func (w *claimingClient) routersLost(addresses []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	k := w.open
	if k == nil || !slices.Contains(addresses, w.router) || failoverTimeout-time.Since(k.start) < minTimeRemaining {
		return
	}
	k.inFlight = true
	k.sentToBackend = k.order && w.orders.ran(k.item) > 0
}

// close closes the client. Call it after run has returned.
func (w *claimingClient) close() { _ = w.client.Close(context.Background()) } // nothing is in flight

// claimingClients are clients that run at the same time.
type claimingClients struct {
	clients []*claimingClient
	stop    chan struct{}
	running sync.WaitGroup
}

// startClaimingClients starts a number of clients. The caller ends them by finish and closes them.
func (c *FailoverCluster) startClaimingClients(count int, orderFraction float64, maxPause time.Duration) (
	*claimingClients, error) {
	all := &claimingClients{stop: make(chan struct{})}
	for range count {
		w, err := c.newClaimingClient()
		if err != nil {
			all.finish()
			all.close()
			return nil, err
		}
		all.clients = append(all.clients, w)
		all.running.Go(func() { w.run(all.stop, orderFraction, maxPause) })
	}
	return all, nil
}

// finish stops sending, and waits for the open calls.
func (a *claimingClients) finish() {
	close(a.stop)
	a.running.Wait()
}

// routersLost marks the calls that are open on routers that are being lost.
func (a *claimingClients) routersLost(addresses []string) {
	for _, w := range a.clients {
		w.routersLost(addresses)
	}
}

func (a *claimingClients) close() {
	for _, w := range a.clients {
		w.close()
	}
}
