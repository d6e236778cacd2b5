// Package orderfailover connects a failover.Coordinator to the core. It passes the core's orders and the packets of other
// routers to the coordinator, and carries out the coordinator's actions. Only programs built with the tag cluster contain it.
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

// Transport sends packets to other routers. Its methods must not block.
type Transport interface {
	// SendOrderPackets sends packets of the coordinator, any of which may be lost.
	SendOrderPackets([]messaging.Packet)
	// HasJoined reports whether this process has the router's address in the cluster. From then on no earlier process of the router
	// can receive records of orders.
	HasJoined() bool
	// OrderPeers returns the other routers that are alive and hold records of orders, sorted by name.
	OrderPeers() []failover.Peer
}

// StepHook is called at each step of an order, with the Step and Txn of the failover.Event, unless it is nil. Tests use it to
// kill the process at a given step.
var StepHook func(step, txn string)

// tickInterval is the time between two calls of Coordinator.Tick.
const tickInterval = 20 * time.Millisecond

// metricsInterval is the minimum time between two updates of the metrics.
const metricsInterval = 200 * time.Millisecond

// Extension implements core.OrderFailover. All its methods must be called on the core's goroutine; it starts no goroutine.
type Extension struct {
	core         *core.Core
	coordinator  *failover.Coordinator
	transport    Transport
	writeClasses map[string]bool // by class name: requests of the class write
	logSteps     bool            // log each step of an order at level debug
	metrics      []core.Metric
	metricsDueAt time.Duration // when the metrics are updated next
}

// New returns the extension of a process that has just started. It needs the classes of the core's requests to run orders of
// lost routers. It returns an error that names the first invalid setting.
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

// Start has the core replicate its orders, and starts to tick and to accept records of other routers' orders. The ticks end
// with the core's goroutine.
func (e *Extension) Start() {
	e.core.SetOrderFailover(e)
	e.tick()
}

func (e *Extension) tick() {
	now := e.core.LoopTime()
	if e.transport.HasJoined() {
		e.coordinator.SetPeers(now, e.transport.OrderPeers())
	}
	e.coordinator.Tick(now)
	e.carryOutActions()
	e.core.Schedule(now+tickInterval, e.tick)
	if now >= e.metricsDueAt {
		e.metricsDueAt = now + metricsInterval
		e.metrics = metrics(e.coordinator.Stats())
	}
}

// Receive handles a packet of another router.
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
	e.carryOutActions() // DuePackets may have stopped orders for which there is no replica
}

// carryOutActions carries out the coordinator's actions until there are no more. An action may cause further ones.
func (e *Extension) carryOutActions() {
	for actions := e.coordinator.Actions(); len(actions) > 0; actions = e.coordinator.Actions() {
		e.reportSteps() // report steps before the actions that follow from them
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
	case failover.ActionAnswer:
		e.endWait(a)
	case failover.ActionRun:
		e.runOrder(a.Order)
	case failover.ActionBeginClaim:
		e.core.ClaimGranted(balancer.RequestID(a.ClaimID))
	case failover.ActionSettleClaim:
		e.settleClaim(a)
	}
}

// endWait has the core answer a client that waited for the replica to release its order.
func (e *Extension) endWait(a failover.Action) {
	if a.Err != nil {
		log.Warn("order not released by its replica", logging.KeyRequestID, a.Txn, operatorhint.Attr(a.Err))
		e.core.ReplicaNotReleased(a.Txn)
		return
	}
	e.core.ReplicaReleased(a.Txn)
}

func (e *Extension) settleClaim(a failover.Action) {
	if a.Err != nil {
		log.Warn("outcome of claimed order unknown", logging.KeyRequestID, a.Txn, operatorhint.Attr(a.Err))
	}
	e.core.ClaimAnswered(balancer.RequestID(a.ClaimID), clientAnswer(a.Outcome))
}

// runOrder runs an order of a lost router. No client here gets its answer; only routers that claim the order do.
func (e *Extension) runOrder(o failover.Order) {
	log.Info("order of lost router runs here", logging.KeyRequestID, o.Txn, logging.KeyClass, o.Class)
	object, _ := strconv.ParseUint(o.Item, 16, 64) // an invalid number counts as 0, as on the router that accepted the order
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
			e.coordinator.Abandon(e.core.LoopTime(), o.Txn) // does nothing unless the order was rejected at once
			return a.Verdict
		},
	})
}
