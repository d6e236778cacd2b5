// Package handover is the hot restart of a router: a successor process takes over from its predecessor while both
// run.
//
// They talk over a Unix socket on which the predecessor listens (SuccessorListener) and which the successor finds
// (FindPredecessor). The successor sends TAKE as it starts and is answered with the predecessor's position in the
// event log of discovery; it sends READY once it is about to take clients, and is answered with the predecessor's
// State. From then on the predecessor may shut down. The connection stays open for as long as both live: its end
// tells each that the other has ended.
//
// Processes of different releases meet here. The messages and what is in them stay as they are, or version changes.
package handover

import (
	"errors"

	"hillknot/internal/logging"
)

var log = logging.For("handover")

// ErrPredecessorUnavailable says that the predecessor has ended, or does not answer in time.
var ErrPredecessorUnavailable = errors.New("predecessor unavailable")

// Process is the running process that a successor takes over from. Its methods may be called from any goroutine.
type Process interface {
	// DiscoveryPosition is how far the process has followed the event log of discovery.
	DiscoveryPosition() int64
	// State is what a successor goes on from. It is called as a successor is ready.
	State() State
	// SuccessorChanged is called as a successor connects, is ready, or has ended. Calls come one after the other,
	// and must not call back.
	SuccessorChanged(stage SuccessorStage)
}

// SuccessorStage is how far a successor has come. Where there is more than one, it is the one that has come
// farthest.
type SuccessorStage uint8

// The stages.
const (
	NoSuccessor       SuccessorStage = iota // none is connected
	SuccessorStarting                       // it takes no clients yet
	SuccessorReady                          // it takes clients
)
