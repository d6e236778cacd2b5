// Package state decides what routers that may talk share: budgets that are spent once for the whole fleet, counts
// of what happened, and verdicts on page caches that are sick. It does no I/O, reads no clock and draws no chance:
// what happens is told by calls that carry the time, and what is to be said is read with Outbox.
//
// Whatever the network does, each shared figure stays within a bound that needs no message to hold:
//
//   - A budget is cut into shares. Each router has its part of them for good; of that part it may lend up to half, for
//     a time that its own clock outlasts. A share has one holder at most, so all routers together never spend more
//     than the budget, and one that hears nothing falls back to its own part.
//   - A count only grows, and each router writes its own part of it: what is heard late or twice changes nothing.
//   - A verdict needs several routers' evidence and ends by itself, soon after the last evidence for it was heard.
package state

import (
	"fmt"
	"math"
	"time"
)

// Settings set up one router's part of what is shared.
type Settings struct {
	Self             string        // the router's name
	Process          uint64        // of the router; a later process of the name has a higher one
	ClusterSize      int           // routers that have a part of each budget of their own, as the operator configured
	Guest            bool          // this one has none, and lives on what it borrows
	LeaseDuration    time.Duration // how long a share is lent
	TickInterval     time.Duration // between two looks at what is wanted and known
	ClockDrift       float64       // how much quicker or slower than true a clock may run, as a share
	EjectionDuration time.Duration // how long a verdict outlives the last evidence
	Quorum           int           // routers whose evidence makes one; 0: more than half of those alive, two at least
}

// Defaults returns settings for a fleet of so many routers.
func Defaults(self string, process uint64, size int) Settings {
	return Settings{Self: self, Process: process, ClusterSize: size, LeaseDuration: 2 * time.Second, TickInterval: 200 * time.Millisecond, ClockDrift: 0.02,
		EjectionDuration: 3 * time.Second}
}

// Check names the first setting that can't be used.
func (s Settings) Check() error {
	switch {
	case !validName(s.Self):
		return fmt.Errorf("setting Self is %q, not a name of up to %d bytes", s.Self, nameMost)
	case s.ClusterSize < 1 || s.ClusterSize > MaxClusterSize:
		return fmt.Errorf("setting Size is %d, not 1 to %d", s.ClusterSize, MaxClusterSize)
	case s.TickInterval < 10*time.Millisecond || s.LeaseDuration < 4*s.TickInterval || s.LeaseDuration > time.Minute:
		return fmt.Errorf("setting Beat %v, Lease %v: four beats at least must fit in a lease, and that in a minute", s.TickInterval, s.LeaseDuration)
	case s.EjectionDuration < 2*s.TickInterval || s.EjectionDuration > time.Minute:
		return fmt.Errorf("setting Verdict is %v, not two beats to a minute", s.EjectionDuration)
	case !(s.ClockDrift >= 0 && s.ClockDrift <= 0.2):
		return fmt.Errorf("setting Drift is %v, not 0 to 0.2", s.ClockDrift)
	case s.Quorum != 0 && (s.Quorum < 2 || s.Quorum > s.ClusterSize):
		return fmt.Errorf("setting Quorum is %d, neither 0 nor 2 to the size", s.Quorum)
	}
	return nil
}

// outlasts is a time on the own clock after which the same time has surely passed on any other that is allowed.
func (s Settings) outlasts(d time.Duration) time.Duration {
	return time.Duration(math.Ceil(float64(d) * (1 + s.ClockDrift) / (1 - s.ClockDrift)))
}

// MaxClusterSize is the largest fleet.
const MaxClusterSize = 1000

// The bounds of what is held, whatever others say.
const (
	nameMost    = 128
	budgetsMost = 512 // budgets open at once
	countsMost  = 1024
	judgedMost  = 512 // page caches with evidence
	namesMost   = 64  // more names than the size that one count, or one verdict, holds
)

func validName(s string) bool { return s != "" && len(s) <= nameMost }

// OutgoingMessage is a message to be sent: to one router, or to all where To is empty. For all, a later one with the same Key
// takes the place of an earlier one.
type OutgoingMessage struct {
	To, ReplaceKey string
	Message        Message
}

// State is one router's part. It is not safe for concurrent use.
type State struct {
	set     Settings
	born    time.Duration // first beat; 0: none yet
	retired bool          // a successor spends in our place
	live    []string      // others, in order
	crowd   int           // the most routers with a part of their own that were seen at once
	next    int           // of live, who is asked next; -1: nobody was asked yet
	round   uint64
	budgets map[string]*budget
	counts  map[string]*count
	judged  map[string]*judgement
	out     []OutgoingMessage
}

// New returns the part of a router that has just started. Until it has beaten once it spends nothing.
func New(set Settings) (*State, error) {
	if err := set.Check(); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	return &State{set: set, crowd: set.ClusterSize, next: -1, budgets: map[string]*budget{}, counts: map[string]*count{}, judged: map[string]*judgement{}}, nil
}

// OutgoingMessages returns what is to be sent, and forgets it.
func (s *State) OutgoingMessages() []OutgoingMessage {
	out := s.out
	s.out = nil
	return out
}

func (s *State) say(to, key string, m Message) {
	m.From, m.Process = s.set.Self, s.set.Process
	s.out = append(s.out, OutgoingMessage{To: to, ReplaceKey: key, Message: m})
}

// Tick looks at what is wanted and what has run out. It is due every Settings.Tick; one that comes late, as after a
// stop of the process, does no harm.
func (s *State) Tick(now time.Duration) {
	if s.born == 0 {
		s.born = max(now, 1)
	}
	s.beatBudgets(now)
	s.beatCounts()
	s.beatVerdicts(now)
}

// SetPeers tells who else is alive: their names in order, without the own one, and how many routers with a part of their
// own there are, this one counted: as many as are seen, or as any of them was told. Where that is more than the operator
// configured here, each part shrinks, for good: parts that add up to more than the whole would break every bound.
func (s *State) SetPeers(others []string, owners int) {
	s.live = others
	s.crowd = max(s.crowd, owners)
}

// SetReplaced tells whether a successor of this process spends in its place. What has been lent stays lent.
func (s *State) SetReplaced(yes bool) { s.retired = yes }

// ReceiveMessage takes a message of another router, or of an earlier process of this one. What makes no sense is passed over.
func (s *State) ReceiveMessage(now time.Duration, m Message) {
	if !validName(m.From) || !validName(m.Key) {
		return
	}
	switch m.Kind {
	case KindLeaseRequest:
		s.asked(now, m)
	case KindLeaseGrant:
		s.granted(now, m)
	case KindCounterUpdate:
		s.heardCount(m)
	case KindHealthEvidence:
		s.heardEvidence(now, m)
	}
}

// FullState is all that a router which has heard nothing should know: counts and evidence, never leases.
func (s *State) FullState(now time.Duration) []Message {
	return append(s.wholeCounts(), s.wholeEvidence(now)...)
}
