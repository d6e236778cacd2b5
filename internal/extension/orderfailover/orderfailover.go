// Package orderfailover ties failover of orders into the core: it carries out what a failover.Coordinator decides,
// and passes the core's orders and other routers' packets to it. Only programs built with the tag cluster contain it.
package orderfailover

import (
	"context"
	"log/slog"
	"strconv"
	"time"

	"hillknot/balancer"
	"hillknot/internal/cluster/failover"
	"hillknot/internal/cluster/messaging"
	"hillknot/internal/core"
	"hillknot/internal/logging"
	"hillknot/internal/operatorhint"
)

var log = logging.For("failover")

// Transport sends packets to other routers. No method may block.
type Transport interface {
	// SendOrderPackets sends packets of the coordinator. Packets may be lost.
	SendOrderPackets([]messaging.Packet)
	// OrderPeers returns the other routers that are alive and hold records of orders, in the order of their names.
	OrderPeers() []failover.Peer
}

// StepHook is called at each step of an order, unless it is nil, with one of the texts of failover.Event. Tests kill
// the process there.
var StepHook func(step, txn string)

// tickInterval is how often the coordinator looks at what has expired.
const tickInterval = 20 * time.Millisecond

// metricsInterval is how old metrics may be.
const metricsInterval = 200 * time.Millisecond

// Extension implements core.OrderFailover. All its methods are called on the core's goroutine, and it starts none.
type Extension struct {
	core         *core.Core
	coordinator  *failover.Coordinator
	transport    Transport
	writeClasses map[string]bool // classes whose requests write
	logSteps     bool            // each step of an order is logged, at level debug
	metrics      []core.Metric
	metricsDueAt time.Duration // when metrics are made anew
}

// New returns the extension of a process that has just started. It has to know the classes of the core's requests, to
// run those of lost routers. An error says which setting can't be used.
func New(
	c *core.Core, settings failover.Settings, classes []balancer.Class, transport Transport,
) (*Extension, error) {
	coordinator, err := failover.New(settings)
	if err != nil {
		return nil, err
	}
	e := &Extension{
		core:         c,
		coordinator:  coordinator,
		transport:    transport,
		writeClasses: map[string]bool{},
		logSteps:     log.Enabled(context.Background(), slog.LevelDebug),
	}
	for _, class := range classes {
		e.writeClasses[class.Name] = class.Write
	}
	return e, nil
}

// Start has the core replicate its orders, and begins to hold other routers'. It ends with the core's goroutine.
func (e *Extension) Start() {
	e.core.SetOrderFailover(e)
	e.tick()
}

func (e *Extension) tick() {
	now := e.core.LoopTime()
	e.coordinator.SetPeers(now, e.transport.OrderPeers())
	e.coordinator.Tick(now)
	e.carryOutActions()
	e.core.Schedule(now+tickInterval, e.tick)
	if now >= e.metricsDueAt {
		e.metricsDueAt = now + metricsInterval
		e.metrics = metrics(e.coordinator.Stats())
	}
}

// Receive takes a packet of another router.
func (e *Extension) Receive(data []byte) {
	e.coordinator.Receive(e.core.LoopTime(), data)
	e.carryOutActions()
}

// Flush implements core.OrderFailover.
func (e *Extension) Flush() {
	e.reportSteps()
	if packets := e.coordinator.DuePackets(e.core.LoopTime()); len(packets) > 0 {
		e.transport.SendOrderPackets(packets)
	}
	e.carryOutActions() // of orders that no replica could be told of
}

// carryOutActions does what the coordinator decides, until it decides nothing more.
func (e *Extension) carryOutActions() {
	for actions := e.coordinator.Actions(); len(actions) > 0; actions = e.coordinator.Actions() {
		e.reportSteps() // before what follows from them
		for _, action := range actions {
			e.carryOut(action)
		}
	}
	e.reportSteps()
}

// reportSteps logs the steps of orders, and calls StepHook for each.
func (e *Extension) reportSteps() {
	for _, event := range e.coordinator.Events() {
		if e.logSteps {
			log.Debug("order step",
				logging.KeyStep, event.Step, logging.KeyRequestID, event.Txn, logging.KeyPeer, event.Peer)
		}
		if StepHook != nil {
			StepHook(event.Step, event.Txn)
		}
	}
}

func (e *Extension) carryOut(a failover.Action) {
	switch a.Kind {
	case failover.ActionSend:
		e.core.SendPermissionGranted(a.Txn)
	case failover.ActionStop:
		e.core.SendPermissionDenied(a.Txn, a.Outcome.Kind == failover.NeverRan, a.Err)
	case failover.ActionReplicaDropped:
		e.replicaDropped(a)
	case failover.ActionRun:
		e.runOrder(a.Order)
	case failover.ActionBeginClaim:
		e.core.ClaimGranted(balancer.RequestID(a.ClaimID))
	case failover.ActionSettleClaim:
		e.settleClaim(a)
	}
}

func (e *Extension) replicaDropped(a failover.Action) {
	if a.Err != nil {
		log.Warn("order not released by its replica", logging.KeyRequestID, a.Txn, operatorhint.Attr(a.Err))
		e.core.ReplicaNotDropped(a.Txn)
		return
	}
	e.core.ReplicaDropped(a.Txn)
}

func (e *Extension) settleClaim(a failover.Action) {
	if a.Err != nil {
		log.Warn("outcome of claimed order unknown", logging.KeyRequestID, a.Txn, operatorhint.Attr(a.Err))
	}
	e.core.ClaimAnswered(balancer.RequestID(a.ClaimID), clientAnswer(a.Outcome))
}

// runOrder runs an order of a lost router. Nobody gets its answer but routers that claim the order.
func (e *Extension) runOrder(o failover.Order) {
	log.Info("order of lost router runs here", logging.KeyRequestID, o.Txn, logging.KeyClass, o.Class)
	object, _ := strconv.ParseUint(o.Item, 16, 64) // a faulty number counts as 0, as at the router that took the order
	e.core.Submit(e.core.NewID(), core.Request{
		Txn:        o.Txn,
		ObjectText: o.Item,
		PartText:   strconv.FormatUint(o.Part, 10),
		Class:      o.Class,
		Object:     object,
		Part:       o.Part,
		Group:      o.Group,
		Account:    o.Account,
		Timeout:    o.TimeLeft,
		Body:       o.Body,
		Write:      e.writeClasses[o.Class],
		Reply: func(a core.Answer) core.Verdict {
			e.coordinator.Abandon(e.core.LoopTime(), o.Txn) // it does nothing unless the order was rejected at once
			return a.Verdict
		},
	})
}
