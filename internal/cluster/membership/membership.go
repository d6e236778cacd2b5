//go:build cluster

// Package membership finds which routers of a cluster are alive, and carries their messages, over encrypted gossip
// (memberlist). It makes no decisions: packages state, failover and credit decide what is sent and how it is handled.
//
// No method except Run waits for the network. Messages to send are added to a bounded queue, and dropped if it is full;
// what is known of the peers is read from memory.
package membership

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"hillknot/internal/cluster/keyring"
	"hillknot/internal/cluster/state"
	"hillknot/internal/config"
	"hillknot/internal/logging"
)

var log = logging.For("membership")

const (
	bindRetryInterval = 200 * time.Millisecond
	leaveTimeout      = 50 * time.Millisecond // afterwards the others detect by themselves that this router left
	sendQueueLength   = 1024
	maxReliableSends  = 32 // at a time, each over a TCP connection of its own
	retransmitFactor  = 3  // how often a broadcast is sent, as a multiple of the logarithm of the cluster's size
)

// Agent is this router's node in the gossip cluster. Its methods may be called on any goroutine.
type Agent struct {
	name     string
	settings config.Cluster
	handlers handlers
	keys     gossipKeys
	outgoing sendQueue

	list       atomic.Pointer[memberlist.Memberlist] // nil until Run has bound the address
	fullState  atomic.Pointer[[]byte]                // encoded, for exchanges of the full state
	sizeWarned atomic.Bool
}

// handlers receive what other routers send.
type handlers struct {
	messages func([]state.Message)
	packets  PacketHandlers
}

// PacketHandlers receive the packets of package messaging that other routers send. If a handler is nil, its packets are
// dropped. The handlers are called on goroutines of memberlist, and own the bytes.
type PacketHandlers struct {
	Orders, Credit func([]byte)
}

// New returns the agent of the router name, with the keys of the configured file. Messages of other routers are passed to
// onMessages, and packets to their handlers, on goroutines of memberlist. Nothing is sent or received before Run.
func New(name string, settings config.Cluster, onMessages func([]state.Message), packets PacketHandlers) (*Agent, error) {
	keys, err := keyring.Read(settings.KeyFile)
	if err != nil {
		return nil, keyFileError(settings.KeyFile, err)
	}
	ring, err := memberlist.NewKeyring(keys, keys[0])
	if err != nil {
		return nil, keyFileError(settings.KeyFile, err)
	}
	a := &Agent{
		name:     name,
		settings: settings,
		handlers: handlers{messages: onMessages, packets: packets},
		keys:     gossipKeys{file: settings.KeyFile, ring: ring},
		outgoing: sendQueue{
			waiting:       make(chan outgoingMessage, sendQueueLength),
			reliableSlots: make(chan struct{}, maxReliableSends),
		},
	}
	a.outgoing.broadcasts.RetransmitMult = retransmitFactor
	a.outgoing.broadcasts.NumNodes = a.aliveCount
	a.fullState.Store(&[]byte{})
	return a, nil
}

func keyFileError(file string, err error) error { return fmt.Errorf("fleet keys %s: %w", file, err) }

// Run joins the cluster and takes part in it until stop is closed. Then it leaves the cluster, and returns after all
// goroutines that it started have ended. It must be called only once.
//
// If another process of this router still has the address, Run binds it after that process ends. It repeatedly connects to
// configured peers that are not alive, so that the parts of a partitioned cluster join again.
func (a *Agent) Run(stop <-chan struct{}) {
	list := a.bind(stop)
	if list == nil {
		return
	}
	a.list.Store(list)
	log.Info("cluster joined", logging.KeyListen, a.settings.Listen, logging.KeyAdvertise, a.settings.Advertise)
	var joining sync.WaitGroup
	joining.Go(func() { a.joinPeers(list, stop) })
	a.sendUntil(list, stop)
	_ = list.Leave(leaveTimeout) // if it fails, the others detect that this router is dead
	_ = list.Shutdown()          // it closes sockets, as the end of the process does too
	joining.Wait()
	a.outgoing.reliableSends.Wait()
}

// bind binds the address for gossip as soon as it is free. It returns nil if stop is closed before.
func (a *Agent) bind(stop <-chan struct{}) *memberlist.Memberlist {
	retry := time.NewTicker(bindRetryInterval)
	defer retry.Stop()
	for warned := false; ; {
		list, err := a.createList()
		if err == nil {
			return list
		}
		if !warned {
			log.Warn("cluster not joined yet", logging.KeyListen, a.settings.Listen, logging.KeyError, err)
			warned = true
		}
		select {
		case <-stop:
			return nil
		case <-retry.C:
		}
	}
}
