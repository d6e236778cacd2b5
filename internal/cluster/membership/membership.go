//go:build cluster

// Package membership finds which routers of a cluster are alive, and carries their messages, over encrypted gossip
// (memberlist). It decides nothing: what is sent, and what follows from it, is for packages state, failover and credit.
//
// No method but Run waits for the network: what is to be sent goes into a bounded queue, and is dropped where that is
// full; what is known of the peers is looked up.
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
	leaveTimeout      = 50 * time.Millisecond // others find out by themselves
	sendQueueLength   = 1024
	maxReliableSends  = 32 // at a time, each over a connection of its own
	retransmitFactor  = 3  // of gossip to all, by the logarithm of the cluster's size
)

// Agent is this router's part in the gossip. Its methods may be called on any goroutine.
type Agent struct {
	name     string
	settings config.Cluster
	handlers handlers
	keys     gossipKeys
	outgoing sendQueue

	list       atomic.Pointer[memberlist.Memberlist] // nil until Run has joined
	fullState  atomic.Pointer[[]byte]                // encoded, for a router that meets this one
	sizeWarned atomic.Bool
}

// handlers take what other routers send.
type handlers struct {
	messages func([]state.Message)
	packets  PacketHandlers
}

// PacketHandlers take the packets of package messaging that other routers send; a nil one drops them. They are called
// on goroutines of memberlist, and own the bytes.
type PacketHandlers struct {
	Orders, Credit func([]byte)
}

// New reads the keys. Messages of other routers are passed to onMessages, and packets to their handlers, on
// goroutines of memberlist. Nothing is sent or received before Run.
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

// Run joins the cluster and takes part in it until stop is closed; then it leaves, and returns once all goroutines
// that it has started have ended. It is called once.
//
// An address that another process of this router still has is taken once that process ends. Configured peers that are
// not alive are called again and again, so that a cluster that was cut joins again.
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
	_ = list.Leave(leaveTimeout) // where it fails, the others take this router for lost
	_ = list.Shutdown()          // it closes sockets, which the end of the process does too
	joining.Wait()
	a.outgoing.reliableSends.Wait()
}

// bind takes the address for gossip, as soon as it is free. It returns nil where stop is closed before.
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
