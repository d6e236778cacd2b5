package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"hillknot/client"
	"hillknot/client/policy"
	"hillknot/internal/testutil/fakes"
	"hillknot/loadtest"
)

// executions counts the orders that ran, by object.
type executions struct {
	mu    sync.Mutex
	count map[string]int
}

func (e *executions) add(object string) {
	e.mu.Lock()
	e.count[object]++
	e.mu.Unlock()
}

func (e *executions) countOf(object string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.count[object]
}

// answer plays an endpoint that behaves as the body of the order says.
func (e *executions) answer(order fakes.Request) fakes.Reply {
	behaviour := string(order.Body)
	switch behaviour {
	case "refuse":
		return fakes.Reply{Status: "WAIT"}
	case "lack":
		return fakes.Reply{Status: "LACK"}
	}
	e.add(order.Fields["obj"])
	switch behaviour {
	case "fail":
		return fakes.Reply{Status: "BROKE"}
	case "break":
		return fakes.Reply{Disconnect: true}
	case "silence":
		return fakes.Reply{}
	case "late":
		return fakes.Reply{Status: "DONE", Body: []byte("done"), Delay: 160 * time.Millisecond}
	}
	return fakes.Reply{Status: "DONE", Body: []byte("done"), Delay: time.Duration(len(behaviour)%3) * time.Millisecond}
}

// An order runs at most once, even if its answer is lost, and the client knows whether it may have run. The connection is cut or
// stalls at every byte of the request and of the answer; the endpoint disconnects, fails, rejects or is late; or the caller
// cancels while the order is in flight.
func TestOrdersRunAtMostOnce(t *testing.T) {
	for class, configFormat := range map[string]string{
		"new-arrange": orderConfig,
		"play-count":  toSecondDeployment.Replace(orderConfig),
	} {
		t.Run(class, func(t *testing.T) { testOrdersRunAtMostOnce(t, class, configFormat) })
	}
}

func testOrdersRunAtMostOnce(t *testing.T, class, configFormat string) {
	executed := &executions{count: map[string]int{}}
	endpoint, err := fakes.NewCache(anyPort, executed.answer)
	if err != nil {
		t.Fatal(err)
	}
	defer endpoint.Close()
	clients, _ := startRouter(t, configFormat, endpoint.Addr())
	var orders sync.WaitGroup
	var mu sync.Mutex
	outcomes := map[string]int{}
	slots := make(chan struct{}, 64)
	for i := range 1200 {
		slots <- struct{}{}
		orders.Go(func() {
			defer func() { <-slots }()
			got := newOrderCase(i).send(t, executed, class, clients.String())
			mu.Lock()
			outcomes[got]++
			mu.Unlock()
		})
	}
	orders.Wait()
	t.Logf("%v", outcomes)
	for _, want := range []string{"served", "refused", "may have run", "failed"} {
		if outcomes[want] == 0 {
			t.Errorf("no order had the outcome %q; outcomes: %v", want, outcomes)
		}
	}
}

// orderCase is an order and the fault under which it is sent.
type orderCase struct {
	number      int
	object      uint64
	body        string
	connFault   fakes.ConnFault
	cancelAfter time.Duration // 0 if the order is not cancelled
}

// newOrderCase returns the case with a number. The number determines the fault and the object.
func newOrderCase(number int) orderCase {
	random := rand.New(rand.NewPCG(uint64(number), 1))
	c := orderCase{
		number:    number,
		body:      "well",
		connFault: fakes.ConnFault{ReadLimit: -1, WriteLimit: -1, Stall: number%2 == 0},
	}
	switch number / 2 % 4 {
	case 0:
		c.connFault.ReadLimit = 7 + number/8%16 // the answer to a health request has 7 bytes
	case 1:
		c.connFault.WriteLimit = 12 + number/8%130 // a health request has 12 bytes
	case 2:
		c.body = []string{"refuse", "lack", "fail", "break", "silence", "late"}[number/8%6]
	case 3:
		c.cancelAfter = max(time.Nanosecond, time.Duration(random.IntN(5000))*time.Microsecond)
	}
	c.object = random.Uint64()
	return c
}

// send sends the order, checks the result that the client got against the executions, and returns the name of the outcome.
func (c orderCase) send(t *testing.T, executed *executions, class, router string) string {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if c.cancelAfter > 0 {
		time.AfterFunc(c.cancelAfter, cancel)
	}
	library, err := c.newClient(class, router)
	if err != nil {
		t.Error(err)
		return ""
	}
	_, err = library.Do(ctx, client.Request{
		Class: class,
		Item:  c.object,
		Body:  []byte(c.body),
		Limit: 150 * time.Millisecond,
	})
	closeCtx, cancelClose := context.WithTimeout(context.Background(), harnessTimeout)
	defer cancelClose()
	if err := library.Close(closeCtx); err != nil {
		t.Error(err)
	}
	time.Sleep(100 * time.Millisecond) // what was in flight to the endpoint has arrived
	ran := executed.countOf(fmt.Sprintf("%016x", c.object))
	switch mayHaveRun := errors.Is(err, client.ErrMayHaveRun); {
	case ran > 1:
		t.Errorf("case %d ran %d times", c.number, ran)
	case err == nil && ran != 1, err != nil && !mayHaveRun && ran != 0:
		t.Errorf("case %d ran %d times, but the client got the result %v", c.number, ran, err)
	}
	return outcomeOf(err).name
}

// newClient returns a client whose connections have the case's fault.
func (c orderCase) newClient(class, router string) (*client.Client, error) {
	settings := policy.Defaults()
	settings.Seed = uint64(c.number)
	return client.New(client.Config{
		Routers: []string{router},
		Classes: map[string]client.Class{class: {Limit: 2 * time.Second}},
		Policy:  &settings,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
			if err != nil {
				return nil, err
			}
			return fakes.NewFaultyConn(conn, c.connFault), nil
		},
	})
}

// Orders run at most once also if the process of their router is killed while they are in flight.
func TestOrdersRunAtMostOnceWhenRoutersAreKilled(t *testing.T) {
	inParallel(t)
	orders, err := loadtest.OrdersWithRouterKills(program(t), 200*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	wrong := orders.RunTwice + orders.ServedNotRun + orders.DeniedButRun
	if orders.Sent < 300 || wrong > 0 || orders.Served < orders.Sent/4 {
		t.Errorf("%+v", orders)
	}
}
