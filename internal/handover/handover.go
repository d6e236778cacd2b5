// Package handover implements the hot restart of a router: a successor process takes over from its predecessor while
// both run.
//
// The processes communicate over a Unix socket. The predecessor listens on it (SuccessorListener), and the successor
// connects to it (FindPredecessor). The successor sends TAKE when it starts, and the predecessor answers with its
// position in the event log of discovery. The successor sends READY when it is about to accept clients, and the
// predecessor answers with its State. From then on the predecessor may shut down. The connection stays open while both
// processes run, so that each process notices the end of the other. A successor that knows of it sends FOLLOW then, and the
// predecessor answers with SENT for each further request that must not run again.
//
// The two processes may be of different releases. A change of the messages or their content needs another version.
package handover

import (
	"errors"

	"hillknot/internal/logging"
)

var log = logging.For("handover")

var (
	// ErrPredecessorUnavailable reports that the predecessor has ended.
	ErrPredecessorUnavailable = errors.New("predecessor unavailable")
	// errNoAnswer reports that the predecessor has not answered in time. It may still do so.
	errNoAnswer = errors.New("no answer in time")
)

// Process is the running process that a successor takes over from. Its methods may be called from any goroutine.
type Process interface {
	// DiscoveryPosition returns the position in the event log of discovery that the process has reached.
	DiscoveryPosition() int64
	// State returns the state that a successor starts from. It is called when a successor is ready.
	State() State
	// SuccessorChanged is called when a successor has connected, is ready, or has ended. Calls do not overlap. The
	// implementation must not call the SuccessorListener.
	SuccessorChanged(stage SuccessorStage)
}

// SuccessorStage is the stage that a successor has reached. If there are several successors, it is the latest stage of
// any of them.
type SuccessorStage uint8

// The stages, in their order.
const (
	NoSuccessor       SuccessorStage = iota // no successor is connected
	SuccessorStarting                       // a successor is connected, but does not accept clients yet
	SuccessorReady                          // a successor accepts clients
)
