// Package state holds one router's replica of the state that the routers of a cluster share: budgets that limit what all
// of them spend together, counters, and the ejection of endpoints that several routers find unhealthy.
//
// It is a pure state machine: no I/O, no clock, no randomness. The caller passes the time and the messages of other
// routers, calls Tick at an interval, and sends what OutgoingMessages returns. Package core does this on its goroutine;
// package membership carries the messages.
//
// Each shared value stays within a bound whatever the network does, as no bound depends on the arrival of a message:
//
//   - A budget is divided into shares. Each router owns a fixed number of them, and may lend up to half of these under
//     a lease that ends for the borrower before it ends for the lender. No share has two holders at a time, so all
//     routers together never spend more than the budget, and a router that receives no messages falls back to the
//     shares that it owns.
//   - A counter only grows, and each router writes its own part of it: a message that arrives late or twice changes
//     nothing.
//   - An ejection needs evidence of several routers, and expires soon after the last evidence was received.
package state

import (
	"fmt"
	"time"

	"hillknot/internal/cluster/placement"
)

// Bounds of what is remembered, whatever other routers send.
const (
	maxNameBytes        = 128 // of the name of a router, budget, counter or endpoint
	maxSharedBudgets    = 512 // budgets open at once whose shares may be lent
	maxBudgets          = 16 * maxSharedBudgets
	maxCounters         = 1024
	maxTrackedEndpoints = 512 // endpoints with health evidence
	maxExtraRouters     = 64  // routers beyond the cluster size that one counter or endpoint remembers
)

func validName(s string) bool { return s != "" && len(s) <= maxNameBytes }

// process identifies a process of a router. Later processes of a router have higher numbers.
type process struct {
	router string
	number uint64
}

// phase is a stage in the life of a process. It determines which of the router's shares the process may use.
type phase uint8

const (
	phaseNew        phase = iota // before the first tick: the process spends only on borrowed shares
	phaseRecovering              // an earlier process may have lent half of the router's shares
	phaseActive                  // every lease that an earlier process granted has expired
	phaseReplaced                // a successor spends in its place
)

// State is one router's replica. It is not safe for concurrent use, and nothing of it survives a restart.
type State struct {
	settings      Settings
	startedAt     time.Duration // time of the first tick; 0: none yet
	replaced      bool          // a successor spends in place of this process
	peers         []string      // other routers that are alive, in order of their names
	budgetOwners  int           // largest number of routers with shares of their own that was seen or configured
	lastLender    int           // index in peers of the router that was asked last; -1: none yet
	sequence      uint64        // of the latest message that carries one
	budgets       map[string]*budget
	counters      map[string]*counter
	endpointsByID map[string]*endpointHealth
	outbox        []OutgoingMessage
}

// New returns the replica of a process that has just started. It spends nothing before the first Tick. The error names
// the first invalid setting.
func New(settings Settings) (*State, error) {
	if err := settings.Check(); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	return &State{
		settings:      settings,
		budgetOwners:  settings.ClusterSize,
		lastLender:    -1,
		budgets:       map[string]*budget{},
		counters:      map[string]*counter{},
		endpointsByID: map[string]*endpointHealth{},
	}, nil
}

func (s *State) self() process { return process{s.settings.Self, s.settings.Process} }

func (s *State) phase(now time.Duration) phase {
	switch {
	case s.replaced:
		return phaseReplaced
	case s.startedAt == 0:
		return phaseNew
	case now < s.startedAt+s.settings.withClockDrift(s.settings.LeaseDuration):
		return phaseRecovering
	}
	return phaseActive
}

// Tick renews leases, sends what has changed and drops what has expired. It is due every Settings.TickInterval; a late
// call, for example after the process was paused, does no harm.
func (s *State) Tick(now time.Duration) {
	if s.startedAt == 0 {
		s.startedAt = max(now, 1)
	}
	s.tickBudgets(now)
	s.broadcastCounters()
	s.expireHealth(now)
}

// SetPeers sets the sorted names of the other routers that are alive, and the number of routers that own shares, including
// this one: as many as are alive, or the largest cluster size that one of them is configured for. If that is more than the
// cluster size configured here, the part of each budget that a router owns shrinks permanently, so that owned shares never
// add up to more than the budget.
func (s *State) SetPeers(others []string, owners int) {
	s.peers = others
	s.budgetOwners = max(s.budgetOwners, owners)
}

// SetReplaced sets whether another process of this router spends in place of this one, which then spends nothing. When that ends, the other
// process may just have lent shares, so this one recovers as after its start.
func (s *State) SetReplaced(now time.Duration, replaced bool) {
	if s.replaced && !replaced && s.startedAt > 0 {
		s.startedAt = now
	}
	s.replaced = replaced
}

// ReceiveMessage processes a message of another router, or of an earlier process of this one. Invalid messages are
// ignored.
func (s *State) ReceiveMessage(now time.Duration, m Message) {
	if !validName(m.From) || !validName(m.Key) {
		return
	}
	switch m.Kind {
	case KindLeaseRequest:
		s.receiveLeaseRequest(now, m.leaseRequest())
	case KindLeaseGrant:
		s.receiveLeaseGrant(now, m.leaseGrant())
	case KindCounterUpdate:
		s.receiveCounterUpdate(m.counterUpdate())
	case KindHealthEvidence:
		s.receiveHealthEvidence(now, m.healthEvidence())
	}
}

// FullState returns the messages that a router without any shared state needs: counters and health evidence, but never
// leases, which are sent to their holder only.
func (s *State) FullState(now time.Duration) []Message {
	return append(s.counterMessages(), s.evidenceMessages(now)...)
}

// Duties that package placement assigns to routers. All routers must use the same strings.
const (
	lenderDuty      = "borrow" // the peer that a router asks first for shares
	probeDutyPrefix = "try "   // the router that probes an ejected endpoint; the id of the endpoint follows
)

// prober returns the router that probes an ejected endpoint for all. It is the same for all routers that see the same
// peers.
func (s *State) prober(endpoint string) string {
	return placement.Assign(probeDutyPrefix+endpoint, append([]string{s.settings.Self}, s.peers...))
}
