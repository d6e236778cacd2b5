package main

import (
	"runtime/debug"
	"sync"
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

// hotRestart is this process in a hot restart: as the successor of one process and the predecessor of the next. Two
// processes of a router share its limits. It implements handover.Process.
type hotRestart struct {
	core     *core.Core
	watcher  *discovery.Watcher
	upstream *upstream.Client
	clients  *msgpackrpc.Server
	budget   *netio.Budget
	limits   config.Limits

	mu             sync.Mutex
	hasPredecessor bool
	hasSuccessor   bool // a process that starts
	successorReady bool // and it has taken over
}

// importState waits until this process has seen the events of discovery that its predecessor has, and goes on from its
// state. Where that fails the router starts as any new one: cautiously. It returns false if cancel is closed before the
// predecessor was told anything.
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
		return true
	}
	imported := make(chan struct{})
	r.core.Post(func() {
		r.core.ImportSnapshot(state.Snapshot)
		close(imported)
	})
	<-imported
	snapshot := state.Snapshot
	log.Info("hot restart state imported",
		"endpoints", len(snapshot.Endpoints), "purges", len(snapshot.Purges), "objects", len(snapshot.Objects))
	return true
}

// waitForPredecessor takes the whole of the limits once the predecessor has ended.
func (r *hotRestart) waitForPredecessor(p *handover.Predecessor, stop <-chan struct{}) {
	select {
	case <-p.Ended():
		log.Info("predecessor ended")
		r.setPredecessor(false)
	case <-stop:
	}
}

func (r *hotRestart) setPredecessor(present bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hasPredecessor = present
	r.applyLimits()
}

// DiscoveryPosition implements handover.Process.
func (r *hotRestart) DiscoveryPosition() int64 { return r.watcher.Position() }

// State implements handover.Process. A core that does not answer in time hands over nothing.
func (r *hotRestart) State() handover.State {
	exported := make(chan handover.State, 1)
	r.core.Post(func() {
		exported <- handover.State{DiscoveryPosition: r.watcher.Position(), Snapshot: r.core.ExportSnapshot()}
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

// applyLimits sets the limits by which other process of the router runs. The caller holds mu.
func (r *hotRestart) applyLimits() {
	limits := r.limits
	if r.hasPredecessor || r.hasSuccessor {
		limits = limits.Shared(!r.successorReady)
	}
	debug.SetMemoryLimit(int64(limits.MemoryMB) << 20 * 3 / 4) // the rest is for what the collector does not see
	r.budget.SetLimit(limits.BufferedBytes)
	r.clients.SetMaxConns(limits.ClientConns)
	r.core.Post(func() { r.upstream.SetMaxConnections(limits.UpstreamConns) })
}
