package faultnet

import (
	"math/rand/v2"
	"time"
)

// Step is one step of a schedule: a fault, its targets and the delay before it.
type Step struct {
	Delay   time.Duration // time since the previous step; for the first one, since the start
	Fault   Fault
	Targets []int // numbers of the processes that the fault affects; none for Lossy and Healed
}

// Fault is a kind of fault.
type Fault uint8

// The faults of a schedule. Network.Apply applies the faults of the network; the caller has to carry out Killed and Paused.
const (
	Healed          Fault = iota // all faults of the network end
	Partitioned                  // the targets are separated from all other processes
	OutboundBlocked              // the target receives from all other processes, but none of them receives from it
	InboundBlocked               // the target receives from no other process, but all of them receive from it
	Lossy                        // packets are lost and delayed
	Killed                       // the target is killed and restarted
	Paused                       // the target is stopped for a time and then resumed

	faultCount
)

var faultNames = [faultCount]string{"healed", "partitioned", "outbound blocked", "inbound blocked", "lossy", "killed", "paused"}

// String returns the name of the fault, as in "outbound blocked".
func (f Fault) String() string { return faultNames[f] }

// The impairment of the network after a Lossy step: the fraction of the packets and new connections that
// are lost, and the largest delay of the other packets.
const (
	lossyPacketLoss = 0.3
	lossyMaxDelay   = 200 * time.Millisecond
)

// Schedule draws a random schedule of faults for processes that are numbered from 0. The steps span at most length, at an
// average interval of meanInterval. The last step is Healed. The same arguments give the same schedule.
func Schedule(seed uint64, processes int, length, meanInterval time.Duration) []Step {
	random := rand.New(rand.NewPCG(seed, 2))
	var steps []Step
	for elapsed := time.Duration(0); ; {
		delay := time.Duration((0.5 + random.Float64()) * float64(meanInterval))
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

// Apply applies the fault of a step to the network; it ignores Killed and Paused. Faults accumulate until a Healed step.
func (n *Network) Apply(step Step) {
	switch step.Fault {
	case Healed:
		n.Heal()
	case Partitioned:
		n.Partition(step.Targets)
	case OutboundBlocked:
		n.Block(step.Targets, n.allProcesses())
	case InboundBlocked:
		n.Block(n.allProcesses(), step.Targets)
	case Lossy:
		n.Impair(lossyPacketLoss, lossyMaxDelay)
	}
}
