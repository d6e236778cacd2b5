package loadtest

import (
	"errors"
	"time"

	"hillknot/client"
)

// Settings of the orders that are sent while routers are killed.
const (
	ordersLength = 20                    // units of time
	ordersRate   = 100                   // orders a second
	ordersDelay  = 20 * time.Millisecond // of each answer, in addition to backendMinDelay
)

// orders measures the outcomes of orders while two routers are killed alternately.
func (c *clientComparison) orders() error {
	c.printf("| orders, %d/s for %v, routers killed in turn each %v | ran twice or more | told as served, but did not run "+
		"| told as surely not run, but ran | served | told: may have run |\n| --- | --- | --- | --- | --- | --- |\n",
		ordersRate, c.units(ordersLength), c.unit)
	for _, kind := range clientKinds {
		r, err := ordersWithRouterKills(c.program, kind, c.unit)
		if err != nil {
			return err
		}
		c.printf("| %s | %d of %d | %d | %d | %.1f%% | %d |\n", kind.name, r.RunTwice, r.Sent, r.ServedNotRun, r.DeniedButRun,
			100*float64(r.Served)/float64(r.Sent), r.MayHaveRun)
	}
	c.printf("\n")
	return nil
}

// OrderResult counts orders by their outcomes.
type OrderResult struct {
	Sent         int
	RunTwice     int // orders that ran twice or more
	ServedNotRun int // the client was told that the order was served, but it did not run
	DeniedButRun int // the client was told that the order did not run, but it ran
	Served       int // the client was told that the order was served, and it ran
	MayHaveRun   int // the client was told that the order may have run
}

// OrdersWithRouterKills sends orders with the client library while two routers are killed alternately, one after each unit of
// time, for twenty units. The routers run the given program.
func OrdersWithRouterKills(program string, unit time.Duration) (OrderResult, error) {
	return ordersWithRouterKills(program, libraryKind, unit)
}

// ordersWithRouterKills sends orders with one client of a kind.
func ordersWithRouterKills(program string, kind clientKind, unit time.Duration) (OrderResult, error) {
	fleet, requester, err := kind.start(program, independentFleet(2, false))
	if err != nil {
		return OrderResult{}, err
	}
	fleet.Backend.Set(BackendLoad{Delay: ordersDelay})
	stop, killErr := make(chan struct{}), make(chan error, 1)
	go func() { killErr <- fleet.killAlternately(unit, stop) }()
	outcomes := sendOpenLoop(requester, ordersRate, ordersLength*unit, 1, onlyOrders)
	close(stop)
	err = <-killErr
	requester.close()
	time.Sleep(200 * time.Millisecond) // until requests on their way to a page cache have arrived
	fleet.Close()
	return countOrderResults(outcomes, fleet.Backend), err
}

// countOrderResults compares what clients were told with the orders that ran at the endpoints.
func countOrderResults(outcomes []outcome, backend *Backend) (r OrderResult) {
	for _, o := range outcomes {
		r.Sent++
		ran := backend.ran(o.item)
		if ran > 1 {
			r.RunTwice++
		}
		switch {
		case o.err == nil && ran == 0:
			r.ServedNotRun++
		case o.err == nil:
			r.Served++
		case errors.Is(o.err, client.ErrMayHaveRun):
			r.MayHaveRun++
		case ran > 0:
			r.DeniedButRun++
		}
	}
	return r
}

// killAlternately kills one router after another at an interval until stop is closed, and starts each again a quarter of the
// interval later.
func (f *Fleet) killAlternately(interval time.Duration, stop <-chan struct{}) error {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return nil
		case <-time.After(interval):
		}
		r := f.Routers[i%len(f.Routers)]
		r.Kill()
		time.Sleep(interval / 4)
		if err := r.Start(); err != nil {
			return err
		}
	}
}
