package faultnet

import (
	"math/rand/v2"
	"time"
)

// Step is one fault of a schedule.
type Step struct {
	Delay   time.Duration // after the step before
	Fault   Fault
	Targets []int // the processes that it affects; none for Lossy and Healed
}

// Fault is a kind of fault.
type Fault uint8

// The faults of a schedule. Network.Apply applies those of the network; Killed and Paused are for the caller to carry out.
const (
	Healed          Fault = iota // all faults of the network end
	Partitioned                  // the targets are separated from all others
	OutboundBlocked              // the target receives from all others, and none receives from it
	InboundBlocked               // the target receives from no other, and all receive from it
	Lossy                        // packets are lost and delayed
	Killed                       // the target is killed and started again
	Paused                       // the target is stopped for a while

	faultCount
)

var faultNames = [faultCount]string{"healed", "partitioned", "outbound blocked", "inbound blocked", "lossy", "killed", "paused"}

// String returns the name of the fault.
func (f Fault) String() string { return faultNames[f] }

// Loss and delay while a schedule's step is Lossy.
const (
	lossyLoss     = 0.3
	lossyMaxDelay = 200 * time.Millisecond
)

// Schedule draws faults for a number of processes over a time; mean is the average time between two of them. The same seed
// gives the same schedule. The last step is Healed.
func Schedule(seed uint64, processes int, length, mean time.Duration) []Step {
	random := rand.New(rand.NewPCG(seed, 2))
	var steps []Step
	for elapsed := time.Duration(0); ; {
		delay := time.Duration((0.5 + random.Float64()) * float64(mean))
		step := Step{Delay: delay, Fault: Fault(random.IntN(int(faultCount)))}
		if elapsed += delay; elapsed > length {
			return append(steps, Step{Fault: Healed})
		}
		switch step.Fault {
		case Partitioned:
			step.Targets = random.Perm(processes)[:1+random.IntN(max(processes/2, 1))]
		case OutboundBlocked, InboundBlocked, Killed, Paused:
			step.Targets = []int{random.IntN(processes)}
		}
		steps = append(steps, step)
	}
}

// Apply applies a step's fault of the network. Faults add up until a step is Healed.
func (n *Network) Apply(step Step) {
	switch step.Fault {
	case Healed:
		n.Heal()
	case Partitioned:
		n.Partition(step.Targets)
	case OutboundBlocked:
		n.Block(step.Targets, n.all())
	case InboundBlocked:
		n.Block(n.all(), step.Targets)
	case Lossy:
		n.Impair(lossyLoss, lossyMaxDelay)
	}
}
