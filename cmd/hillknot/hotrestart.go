package main

import (
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"hillknot/internal/config"
	"hillknot/internal/core"
	"hillknot/internal/discovery"
	"hillknot/internal/frontend/msgpackrpc"
	"hillknot/internal/handover"
	"hillknot/internal/logging"
	"hillknot/internal/netio"
	"hillknot/internal/upstream"
)

// hotRestart lets this process take part in hot restarts: as the successor of an earlier process, and as the predecessor of
// a later one. While two processes of a router run, they share its limits. It implements handover.Process.
type hotRestart struct {
	core     *core.Core
	watcher  *discovery.Watcher
	upstream *upstream.Client
	clients  *msgpackrpc.Server
	budget   *netio.Budget
	limits   config.Limits
	listener atomic.Pointer[handover.SuccessorListener] // nil: this process can't be replaced

	mu             sync.Mutex
	hasPredecessor bool
	hasSuccessor   bool // a later process is starting or has taken over
	successorReady bool // the successor has taken over
}

// importState waits until this process has received the events of discovery that its predecessor has, and then imports the
// predecessor's state. If that fails, the router starts cautiously, as one without a predecessor does. importState returns
// false if cancel is closed before the predecessor has been told that this process is ready.
func (r *hotRestart) importState(p *handover.Predecessor, cancel <-chan struct{}) bool {
	caughtUp := r.watcher.WaitForPosition(p.DiscoveryPosition, r.limits.HandoverDiscoveryWait, cancel)
	select {
	case <-cancel:
		return false
	default:
	}
	if !caughtUp {
		log.Warn("discovery behind predecessor",
			logging.KeyPosition, r.watcher.Position(), "predecessor_position", p.DiscoveryPosition)
	}
	state, err := p.AnnounceReady()
	if err != nil {
		log.Warn("hot restart without state", logging.KeyError, err)
		r.core.Post(func() { r.core.SetPredecessorUnheard(true) })
		return true
	}
	imported := make(chan struct{})
	r.core.Post(func() {
		r.core.ImportModuleSnapshot(state.Snapshot)
		for _, id := range state.RequestIDs {
			r.core.RememberRequest(id)
		}
		close(imported)
	})
	if state.RequestIDs != nil {
		r.followRequests(p)
	}
	select {
	case <-imported:
	case <-cancel:
		return true // the predecessor has been told that this process is ready
	}
	snapshot := state.Snapshot
	log.Info("hot restart state imported",
		"endpoints", len(snapshot.Endpoints), "purges", len(snapshot.Purges), "objects", len(snapshot.Objects))
	return true
}

// followRequests has the core remember the requests that the predecessor still sends, so that they don't run again here.
func (r *hotRestart) followRequests(p *handover.Predecessor) {
	err := p.Follow(func(id string) {
		r.core.Post(func() { r.core.RememberRequest(id) })
	})
	if err != nil {
		log.Warn("hot restart without state", logging.KeyError, err)
	}
}

// requestRemembered tells successors of a request that must not run again.
func (r *hotRestart) requestRemembered(txn string) {
	if listener := r.listener.Load(); listener != nil {
		listener.RequestSent(txn)
	}
}

// waitForPredecessor waits until the predecessor has answered that it is replaced, and until it has ended. This process then gets what the
// predecessor leaves: the shared budgets, and all of the router's limits. waitForPredecessor returns early if stop is closed.
func (r *hotRestart) waitForPredecessor(p *handover.Predecessor, stop <-chan struct{}) {
	select {
	case <-p.Replaced():
	case <-p.Ended():
	case <-stop:
		return
	}
	r.core.Post(func() { r.core.SetPredecessorUnheard(false) })
	select {
	case <-p.Ended():
		log.Info("predecessor ended")
		r.setPredecessor(false)
	case <-stop:
	}
}

// setPredecessor records whether a predecessor is running, and applies the limits that follow.
func (r *hotRestart) setPredecessor(present bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hasPredecessor = present
	r.applyLimits()
}

// DiscoveryPosition implements handover.Process.
func (r *hotRestart) DiscoveryPosition() int64 { return r.watcher.Position() }

// State implements handover.Process. It returns an empty state if the core does not answer within half of
// Limits.HandoverTimeout.
func (r *hotRestart) State() handover.State {
	exported := make(chan handover.State, 1)
	r.core.Post(func() {
		exported <- handover.State{
			DiscoveryPosition: r.watcher.Position(),
			Snapshot:          r.core.ExportModuleSnapshot(),
			RequestIDs:        append([]string{}, r.core.RememberedRequests()...),
		}
	})
	timeout := time.NewTimer(r.limits.HandoverTimeout / 2)
	defer timeout.Stop()
	select {
	case state := <-exported:
		return state
	case <-timeout.C:
		return handover.State{}
	}
}

// SuccessorChanged implements handover.Process.
func (r *hotRestart) SuccessorChanged(stage handover.SuccessorStage) {
	present, ready := stage != handover.NoSuccessor, stage == handover.SuccessorReady
	log.Info("successor changed", "present", present, "ready", ready)
	r.mu.Lock()
	r.hasSuccessor, r.successorReady = present, ready
	r.applyLimits()
	r.mu.Unlock()
	r.core.Post(func() { r.core.SetSuccessorReady(ready) })
}

// applyLimits sets the limits of this process, which depend on whether another process of the router runs. The caller must
// hold mu.
func (r *hotRestart) applyLimits() {
	limits := r.limits
	if r.hasPredecessor || r.hasSuccessor {
		limits = limits.Shared(!r.successorReady)
	}
	debug.SetMemoryLimit(int64(limits.MemoryMB) << 20 * 3 / 4) // the rest is for memory that the garbage collector does not count
	r.budget.SetLimit(limits.BufferedBytes)
	r.clients.SetMaxConns(limits.ClientConns)
	r.core.Post(func() { r.upstream.SetMaxConnections(limits.UpstreamConns) })
}
