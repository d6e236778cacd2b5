package failover

import (
	"fmt"
	"slices"
	"time"

	"hillknot/internal/testutil/timeline"
)

// simOrder is an order of a client, with the answers and runs that are checked against each other.
type simOrder struct {
	txn          string
	deadline     time.Duration
	router       *simRouter // the router that the client asked last
	process      uint64     // of that router when the client asked
	connection   int        // number of the client's connection; each new one has another number
	answered     bool
	answers      []OutcomeKind
	runs         int
	mayHaveRunAt time.Duration // when a claim was settled with reasonBeingSent; 0: never
	ranTooLate   bool          // it was written after mayHaveRunAt
	claims       int
}

// check returns an error if an order ran twice, or if its answers contradict each other or what happened.
func (o *simOrder) check() error {
	switch {
	case o.runs > 1:
		return fmt.Errorf("%s ran %d times", o.txn, o.runs)
	case o.ranTooLate:
		return fmt.Errorf("%s ran after a claim was answered with may have run", o.txn)
	case len(o.answers) > 1:
		return fmt.Errorf("%s: client got the answers %v", o.txn, o.answers)
	case slices.Contains(o.answers, Served) && o.runs != 1:
		return fmt.Errorf("%s was answered as served, but ran %d times", o.txn, o.runs)
	case slices.Contains(o.answers, NeverRan) && o.runs != 0:
		return fmt.Errorf("%s was answered as never run, but ran", o.txn)
	}
	return nil
}

// clientOrder returns the order that every client asks for, with the given txn.
func clientOrder(txn string, timeLeft time.Duration) Order {
	return Order{Txn: txn, Class: "order", Digest: [32]byte{1}, TimeLeft: timeLeft, Body: []byte("body")}
}

// placeOrder has a client send an order to a router.
func (c *simCluster) placeOrder(r *simRouter, timeLeft time.Duration) *simOrder {
	o := &simOrder{txn: fmt.Sprintf("t%d", len(c.orders)), deadline: c.now + timeLeft, router: r, process: r.process}
	c.orders, c.openOrders = append(c.orders, o), append(c.openOrders, o)
	c.onEvent(timeline.Event{Node: "client", Time: c.now, Action: "orders", Subject: o.txn, Peer: r.name})
	q := &simRequest{order: o, txn: o.txn, deadline: r.clock(c.now) + timeLeft}
	c.submit(r, q, clientOrder(o.txn, timeLeft))
	return o
}

// placeClaim has a client claim its order at a router, over a new connection.
func (c *simCluster) placeClaim(r *simRouter, o *simOrder, order Order) {
	c.lastID++
	o.connection++
	o.router, o.process = r, r.process
	r.claims[c.lastID] = &simRequest{
		order:      o,
		txn:        o.txn,
		deadline:   r.clock(c.now) + o.deadline - c.now,
		connection: o.connection,
	}
	c.onEvent(timeline.Event{Node: "client", Time: c.now, Action: "claims", Subject: o.txn, Peer: r.name})
	r.coordinator.Claim(r.clock(c.now), c.lastID, order)
	c.carryOutActions(r)
}

// runClient has a client claim its order at a random router if it lost its router, or at random if that router is paused.
func (c *simCluster) runClient(o *simOrder) {
	lost := o.router.down || o.router.process != o.process || c.now < o.router.pausedUntil && c.random.IntN(100) == 0
	if o.answered || c.now >= o.deadline || !lost {
		return
	}
	c.closeConnection(o)
	r := c.routers[c.random.IntN(len(c.routers))].takingClients()
	if r.down || c.now < r.pausedUntil {
		o.connection++ // the connection attempt failed
		return
	}
	o.claims++
	c.placeClaim(r, o, clientOrder(o.txn, o.deadline-c.now))
}

// closeConnection has the client leave its router. If the router's process is still there, it cancels the order.
func (c *simCluster) closeConnection(o *simOrder) {
	r := o.router
	q := r.requests[o.txn]
	if q == nil || r.process != o.process || r.down {
		return
	}
	c.schedule(r, 0, func() {
		if r.requests[o.txn] == q && q.heldBack == nil {
			delete(r.requests, o.txn)
			r.coordinator.Cancel(r.clock(c.now), o.txn, q.sent)
		}
	})
}

// answer answers the client, if its connection is still open.
func (c *simCluster) answer(q *simRequest, kind OutcomeKind) {
	o := q.order
	if o == nil || q.connection != o.connection || o.answered {
		return
	}
	c.onEvent(timeline.Event{Node: "client", Time: c.now, Action: "told " + kind.String(), Subject: q.txn})
	o.answered, o.answers = true, append(o.answers, kind)
}
