package loadtest

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"hillknot/client"
	"hillknot/client/policy"
	"hillknot/internal/rpc"
)

// requester is a client of any kind.
type requester interface {
	// send sends a request, and returns the number of attempts. The error says why the request was not served.
	send(ctx context.Context, request client.Request) (attempts int, err error)
	close()
}

// clientKind makes clients of one kind.
type clientKind struct {
	name string
	// newClient makes a client that calls connected whenever it has opened a connection.
	newClient func(seed uint64, routers []string, connected func()) (requester, error)
}

var (
	plainKind   = clientKind{"plain", newPlainClient}
	libraryKind = clientKind{"library", newLibraryClient}

	// clientKinds are the kinds that CompareClients compares.
	clientKinds = []clientKind{plainKind, libraryKind}
)

// start starts a fleet and a client of this kind for it. The caller closes both.
func (k clientKind) start(program string, options FleetOptions) (*Fleet, requester, error) {
	fleet, err := StartFleet(program, options)
	if err != nil {
		return nil, nil, err
	}
	r, err := k.newClient(1, fleet.listenAddresses(), func() {})
	if err != nil {
		fleet.Close()
		return nil, nil, err
	}
	return fleet, r, nil
}

// libraryClient sends requests with the client library.
type libraryClient struct{ client *client.Client }

// libraryCloseTimeout bounds how long a client of the library takes to close.
const libraryCloseTimeout = 10 * time.Second

func newLibraryClient(seed uint64, routers []string, connected func()) (requester, error) {
	options := policy.Defaults()
	options.Seed = seed
	c, err := client.New(client.Config{Routers: routers, Policy: &options, Observer: func(o client.Observation) {
		if o.What == client.Connected {
			connected()
		}
	}})
	return libraryClient{c}, err
}

func (l libraryClient) send(ctx context.Context, request client.Request) (int, error) {
	response, err := l.client.Do(ctx, request)
	return response.Tries, err
}

func (l libraryClient) close() {
	ctx, cancel := context.WithTimeout(context.Background(), libraryCloseTimeout)
	defer cancel()
	_ = l.client.Close(ctx) // the requests that it withdraws are counted already
}

// plainClient is the client that a program would have without the library: a pool of connections with one request at a time
// on each, routers in round-robin order, and up to two immediate retries after any error.
type plainClient struct {
	routers   []string
	connected func()

	mu       sync.Mutex
	lastUsed int // index of the router that was used last, modulo the number of routers
	idle     map[string][]net.Conn
}

// plainMaxAttempts is the maximum number of attempts of a plain client for a request.
const plainMaxAttempts = 3

func newPlainClient(_ uint64, routers []string, connected func()) (requester, error) {
	return &plainClient{routers: routers, connected: connected, idle: map[string][]net.Conn{}}, nil
}

func (p *plainClient) send(_ context.Context, request client.Request) (attempts int, err error) {
	deadline := time.Now().Add(request.Limit)
	for attempts < plainMaxAttempts && time.Now().Before(deadline) {
		attempts++
		if err = p.attempt(p.nextRouter(), request, deadline, attempts > 1); err == nil {
			return attempts, nil
		}
	}
	return attempts, err
}

// nextRouter returns the address of the next router in round-robin order.
func (p *plainClient) nextRouter() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastUsed++
	return p.routers[p.lastUsed%len(p.routers)]
}

// attempt sends a request to one router.
func (p *plainClient) attempt(address string, request client.Request, deadline time.Time, retry bool) error {
	conn, err := p.acquire(address, deadline)
	if err != nil {
		return err
	}
	header, err := exchange(conn, &rpc.Request{Method: request.Class, Txn: rand.Uint64(), Retry: retry, Item: request.Item,
		Body: request.Body, TimeoutMillis: max(time.Until(deadline).Milliseconds(), 1)}, deadline)
	if err != nil {
		_ = conn.Close() // the error of the exchange is the one to report
		return err
	}
	p.release(address, conn)
	return responseError(header)
}

// acquire returns an idle connection to a router, or a new one.
func (p *plainClient) acquire(address string, deadline time.Time) (net.Conn, error) {
	if conn := p.takeIdle(address); conn != nil {
		return conn, nil
	}
	conn, err := net.DialTimeout("tcp", address, time.Until(deadline))
	if err == nil {
		p.connected()
	}
	return conn, err
}

// takeIdle removes an idle connection from the pool and returns it, or nil if there is none.
func (p *plainClient) takeIdle(address string) net.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[address]
	if len(idle) == 0 {
		return nil
	}
	last := len(idle) - 1
	p.idle[address] = idle[:last]
	return idle[last]
}

// release puts a connection back into the pool.
func (p *plainClient) release(address string, conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[address] = append(p.idle[address], conn)
}

func (p *plainClient) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conns := range p.idle {
		for _, conn := range conns {
			_ = conn.Close() // nothing is in flight on it
		}
	}
	clear(p.idle)
}
