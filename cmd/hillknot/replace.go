package main

import (
	"log/slog"
	"runtime/debug"
	"sync"
	"time"

	"hillknot/internal/config"
	"hillknot/internal/core"
	"hillknot/internal/discovery"
	"hillknot/internal/frontend/msgpackrpc"
	"hillknot/internal/handover"
	"hillknot/internal/netio"
	"hillknot/internal/upstream"
)

// replacement is this process as one that follows another and may be followed. Two processes of a router share
// its limits.
type replacement struct {
	core   *core.Core
	feed   *discovery.Watcher
	up     *upstream.Client
	front  *msgpackrpc.Front
	budget *netio.Budget
	lim    config.Limits

	mu     sync.Mutex
	before bool // a predecessor is beside this process
	beside bool // a process that starts is
	after  bool // and it has taken over
}

// follow waits until this process knows what its predecessor does, and goes on from there. Where that fails it
// starts from what it was told at its start: cautiously, as any new router.
func (r *replacement) follow(p *handover.Predecessor) {
	if !r.feed.WaitForPosition(p.DiscoveryPosition, r.lim.HandoverReach) {
		slog.Warn("journal is behind that of the predecessor", "pos", r.feed.Position(), "predecessor", p.DiscoveryPosition)
	}
	s, err := p.AnnounceReady()
	if err != nil {
		slog.Warn("nothing taken over", "err", err)
		return
	}
	done := make(chan struct{})
	r.core.Post(func() { r.core.ImportMemory(s.Memory); close(done) })
	<-done
	slog.Info("taken over", "members", len(s.Memory.Members), "purges", len(s.Memory.Purges), "objects", len(s.Memory.Objects))
}

// wait sees to the end of the predecessor.
func (r *replacement) wait(p *handover.Predecessor, stop <-chan struct{}) {
	select {
	case <-p.Gone:
		slog.Info("predecessor has ended")
		r.share(func() { r.before = false })
	case <-stop:
	}
}

// DiscoveryPosition implements handover.Process.
func (r *replacement) DiscoveryPosition() int64 { return r.feed.Position() }

// State implements handover.Process. A loop that has no time hands nothing over.
func (r *replacement) State() handover.State {
	got := make(chan handover.State, 1)
	r.core.Post(func() { got <- handover.State{Pos: r.feed.Position(), Memory: r.core.ExportMemory()} })
	t := time.NewTimer(r.lim.HandoverWait / 2)
	defer t.Stop()
	select {
	case s := <-got:
		return s
	case <-t.C:
		return handover.State{}
	}
}

// Beside implements handover.Process.
func (r *replacement) Beside(beside, after bool) {
	slog.Info("successor", "beside", beside, "ready", after)
	r.share(func() { r.beside, r.after = beside, after })
	r.core.Post(func() { r.core.SetSuccessorReady(after) })
}

// share sets the limits by who is beside this process.
func (r *replacement) share(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
	lim := r.lim
	if r.before || r.beside {
		lim = lim.Shared(!r.after)
	}
	debug.SetMemoryLimit(int64(lim.MemoryMB) << 20 * 3 / 4)
	r.budget.SetLimit(lim.HeldBytes)
	r.front.SetMaxConns(lim.ClientConns)
	r.core.Post(func() { r.up.SetMaxConnections(lim.CacheConns) })
}
