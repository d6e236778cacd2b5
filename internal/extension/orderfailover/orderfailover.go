// Package orderfailover puts work that outlives its router into the core: it carries out what takeover decides, and hands the
// core's orders, and the packets of other routers, to it. Only programs built with the tag cluster have it.
package orderfailover

import (
	"crypto/sha256"
	"encoding/binary"
	"log/slog"
	"strconv"
	"time"

	"hillknot/balancer"
	"hillknot/internal/cluster/failover"
	"hillknot/internal/cluster/messaging"
	"hillknot/internal/core"
	"hillknot/internal/operatorhint"
)

// Transport carries packets between routers. No method may block.
type Transport interface {
	SendOrderPackets([]messaging.Packet)
	OrderPeers() []failover.Peer // alive, and of those that keep orders, in the order of their names
}

// StepHook, if it is set, is called at each step of an order: for tests that kill the process there.
var StepHook func(what, txn string)

// beatEvery is how often what has run out is looked for.
const beatEvery = 20 * time.Millisecond

// figuresEvery is how often figures are made anew.
const figuresEvery = 200 * time.Millisecond

// Extension implements core.OrderFailover. All its methods belong to the core's goroutine.
type Extension struct {
	core    *core.Core
	table   *failover.Coordinator
	carrier Transport
	writes  map[string]bool // by class
	trace   bool
	figures []core.Metric
	fresh   time.Duration // when figures are to be made
}

// New returns the hands of a process that has just started, with the classes of its requests. With trace the log has a
// line for each step of an order.
func New(c *core.Core, set failover.Settings, classes []balancer.Class, carrier Transport, trace bool) (*Extension, error) {
	t, err := failover.New(set)
	if err != nil {
		return nil, err
	}
	h := &Extension{core: c, table: t, carrier: carrier, writes: map[string]bool{}, trace: trace}
	for _, k := range classes {
		h.writes[k.Name] = k.Write
	}
	return h, nil
}

// Start begins to keep and take over orders.
func (h *Extension) Start() {
	h.core.SetOrderFailover(h)
	h.beat()
}

func (h *Extension) beat() {
	now := h.core.LoopTime()
	h.table.SetPeers(now, h.carrier.OrderPeers())
	h.table.Tick(now)
	h.settle()
	h.core.Schedule(now+beatEvery, h.beat)
	if now >= h.fresh {
		h.fresh = now + figuresEvery
		h.figures = figures(h.table.Stats())
	}
}

// Receive takes a packet of another router.
func (h *Extension) Receive(data []byte) {
	h.table.Receive(h.core.LoopTime(), data)
	h.settle()
}

// Flush implements core.OrderFailover.
func (h *Extension) Flush() {
	h.steps()
	if out := h.table.DuePackets(h.core.LoopTime()); len(out) > 0 {
		h.carrier.SendOrderPackets(out)
	}
	h.settle() // what could not be told of ends there
}

// settle carries out what the table decides, until it decides nothing more.
func (h *Extension) settle() {
	for acts := h.table.Actions(); len(acts) > 0; acts = h.table.Actions() {
		h.steps() // before what follows from them
		for _, a := range acts {
			h.act(a)
		}
	}
	h.steps()
}

// steps tells the log, and a test, the steps of orders.
func (h *Extension) steps() {
	for _, e := range h.table.Events() {
		if h.trace {
			slog.Debug("order", "step", e.Step, "txn", e.Txn, "peer", e.Peer)
		}
		if StepHook != nil {
			StepHook(e.Step, e.Txn)
		}
	}
}

func (h *Extension) act(a failover.Action) {
	switch a.Kind {
	case failover.ActionSend:
		h.core.LeaseGranted(a.Txn)
	case failover.ActionStop:
		h.core.LeaseDenied(a.Txn, a.Outcome.Kind == failover.NeverRan, a.Err)
	case failover.ActionRelease:
		if a.Err != nil {
			slog.Warn("order not withdrawn", "txn", a.Txn, operatorhint.Attr(a.Err))
			h.core.OrderNotReleased(a.Txn)
			return
		}
		h.core.OrderReleased(a.Txn)
	case failover.ActionRun:
		h.run(a.Order)
	case failover.ActionBeginClaim:
		h.core.ClaimGranted(balancer.RequestID(a.ClaimID))
	case failover.ActionSettleClaim:
		if a.Err != nil {
			slog.Warn("claim without an answer", "txn", a.Txn, operatorhint.Attr(a.Err))
		}
		h.core.ClaimAnswered(balancer.RequestID(a.ClaimID), answer(a.Outcome))
	}
}

// run runs an order of a router that is lost. Nobody waits for its answer but those who claim it.
func (h *Extension) run(o failover.Order) {
	object, _ := strconv.ParseUint(o.Item, 16, 64) // as the router that took it read it
	slog.Info("order of a lost router is run here", "txn", o.Txn, "class", o.Class)
	h.core.Submit(h.core.NewID(), core.Request{Txn: o.Txn, ObjectText: o.Item, PartText: strconv.FormatUint(o.Part, 10), Class: o.Class,
		Object: object, Part: o.Part, Group: o.Group, Account: o.Account, Timeout: o.TimeLeft, Body: o.Body, Write: h.writes[o.Class],
		Reply: func(a core.Answer) core.Verdict {
			h.table.Abandon(h.core.LoopTime(), o.Txn) // where it was not taken at all
			return a.Verdict
		}})
}

// order is a request as its keeper knows it.
func order(q *core.Request, txn string, left time.Duration) failover.Order {
	o := failover.Order{Txn: txn, Class: q.Class, Item: q.ObjectText, Account: q.Account, Part: q.Part, Group: q.Group, TimeLeft: left, Body: q.Body}
	sum := sha256.New()
	for _, s := range [][]byte{[]byte(q.Class), []byte(q.ObjectText), []byte(q.Account), q.Body} {
		sum.Write(binary.BigEndian.AppendUint64(nil, uint64(len(s))))
		sum.Write(s)
	}
	sum.Write(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, q.Part), q.Group))
	sum.Sum(o.Digest[:0])
	return o
}

// Replicate implements core.OrderFailover.
func (h *Extension) Replicate(q *core.Request, left time.Duration) error {
	return h.table.Replicate(h.core.LoopTime(), order(q, q.Txn, left))
}

// Claim implements core.OrderFailover.
func (h *Extension) Claim(id balancer.RequestID, q *core.Request, left time.Duration) {
	h.table.Claim(h.core.LoopTime(), uint64(id), order(q, q.ResumesTxn, left))
	h.settle()
}

// CancelClaim implements core.OrderFailover.
func (h *Extension) CancelClaim(id balancer.RequestID) { h.table.CancelClaim(uint64(id)) }

// RequestLease implements core.OrderFailover.
func (h *Extension) RequestLease(txn string) {
	h.table.RequestLease(h.core.LoopTime(), txn)
	h.settle()
}

// UseLease implements core.OrderFailover.
func (h *Extension) UseLease(txn string) bool {
	yes := h.table.UseLease(h.core.CurrentTime(), txn)
	h.steps()
	return yes
}

// Finish implements core.OrderFailover.
func (h *Extension) Finish(txn string, a core.Answer, ran bool) (wait bool) {
	wait = h.table.Finish(h.core.LoopTime(), txn, outcome(a, ran))
	h.Flush() // the outcome is on its way before the client has it
	return wait
}

// StopWaiting implements core.OrderFailover.
func (h *Extension) StopWaiting(txn string) { h.table.StopWaiting(h.core.LoopTime(), txn) }

// Cancel implements core.OrderFailover.
func (h *Extension) Cancel(txn string, ran bool) { h.table.Cancel(h.core.LoopTime(), txn, ran) }

// Metrics implements core.OrderFailover.
func (h *Extension) Metrics() []core.Metric { return h.figures }

// outcome is what an answer tells of its order.
func outcome(a core.Answer, ran bool) failover.Outcome {
	switch {
	case a.Verdict == core.Served:
		return failover.Outcome{Kind: failover.Served, Body: a.Body}
	case a.Verdict == core.Rejected && !ran:
		return failover.Outcome{Kind: failover.NeverRan, RetryAfter: a.RetryAfter}
	case a.Verdict == core.Failed:
		return failover.Outcome{Kind: failover.Failed}
	}
	return failover.Outcome{Kind: failover.MayHaveRun}
}

// answer is what a client is told of an outcome.
func answer(o failover.Outcome) core.Answer {
	switch o.Kind {
	case failover.Served:
		return core.Answer{Verdict: core.Served, Body: o.Body}
	case failover.NeverRan:
		return core.Answer{Verdict: core.Rejected, RetryAfter: o.RetryAfter}
	}
	return core.Answer{Verdict: core.Failed, Reason: core.ReasonFailed}
}

func figures(f failover.Stats) []core.Metric {
	return []core.Metric{
		{Name: "hand_orders", Help: "Orders taken and kept by another router.", Value: f.OrdersReplicated, Counter: true},
		{Name: "hand_unkept", Help: "Orders refused, as no router kept them.", Value: f.OrdersWithoutReplica, Counter: true},
		{Name: "hand_rights_lost", Help: "Orders given up, as another router may have them.", Value: f.LeasesLost, Counter: true},
		{Name: "hand_records", Help: "Records taken for other routers.", Value: f.RecordsStored, Counter: true},
		{Name: "hand_full", Help: "Records turned away for want of room.", Value: f.RecordsRejected, Counter: true},
		{Name: "hand_owners_lost", Help: "Routers whose orders this one took over.", Value: f.OwnersLost, Counter: true},
		{Name: "hand_taken_over", Help: "Orders of lost routers.", Value: f.OrdersTakenOver, Counter: true},
		{Name: "hand_ran", Help: "Orders of lost routers run here without their client.", Value: f.OrdersRun, Counter: true},
		{Name: "hand_claims", Help: "Claims of clients that lost a router.", Value: f.Claims, Counter: true},
		{Name: "hand_claims_answered", Help: "Claims answered with what became of the order.", Value: f.ClaimsAnswered, Counter: true},
		{Name: "hand_given", Help: "Orders of lost routers given to a claimant.", Value: f.OrdersGiven, Counter: true},
		{Name: "hand_claims_unknown", Help: "Claims of orders that surely never went out.", Value: f.ClaimsOfUnsent, Counter: true},
		{Name: "hand_claims_may_have_run", Help: "Claims told that the order may have run.", Value: f.ClaimsMayHaveRun, Counter: true},
		{Name: "hand_kept", Help: "Records held for other routers.", Value: uint64(f.Records)},
		{Name: "hand_waiting", Help: "Parcels under way to the router to which most are.", Value: uint64(f.MaxQueued)},
	}
}
