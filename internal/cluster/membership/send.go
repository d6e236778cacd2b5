//go:build cluster

package membership

import (
	"sync"
	"sync/atomic"

	"github.com/hashicorp/memberlist"

	"hillknot/internal/cluster/messaging"
	"hillknot/internal/cluster/state"
	"hillknot/internal/logging"
)

// sendQueue holds what waits to be sent, and bounds the reliable sends.
type sendQueue struct {
	waiting       chan outgoingMessage
	broadcasts    memberlist.TransmitLimitedQueue // to all routers, sent along with memberlist's own gossip
	reliableSlots chan struct{}                   // each reliable send occupies one
	reliableSends sync.WaitGroup
	dropped       atomic.Uint64 // messages dropped because the queue was full or too many reliable sends ran
}

// outgoingMessage is encoded content for one router, or for all routers if recipient is empty.
type outgoingMessage struct {
	recipient, replaceKey string
	content               []byte
}

// The first byte of a packet of package messaging selects its handler. No encoded state.Message starts with these bytes.
const (
	orderPacket = 0xf0 + iota
	creditPacket
)

// Send queues messages. It never blocks.
func (a *Agent) Send(messages []state.OutgoingMessage) {
	for _, m := range messages {
		a.outgoing.push(outgoingMessage{recipient: m.Recipient, replaceKey: m.ReplaceKey, content: m.Message.Append(nil)})
	}
}

// SendOrderPackets queues packets of package failover. It never blocks.
func (a *Agent) SendOrderPackets(packets []messaging.Packet) {
	a.outgoing.pushPackets(orderPacket, packets)
}

// SendCreditPackets queues packets of package credit. It never blocks.
func (a *Agent) SendCreditPackets(packets []messaging.Packet) {
	a.outgoing.pushPackets(creditPacket, packets)
}

// DroppedMessages returns how many messages were dropped because the queue was full or too many reliable sends ran.
func (a *Agent) DroppedMessages() uint64 { return a.outgoing.dropped.Load() }

func (q *sendQueue) pushPackets(kind byte, packets []messaging.Packet) {
	for _, p := range packets {
		q.push(outgoingMessage{recipient: p.To, content: append([]byte{kind}, p.Data...)})
	}
}

// push queues a message, or drops it if the queue is full.
func (q *sendQueue) push(m outgoingMessage) {
	select {
	case q.waiting <- m:
	default:
		q.dropped.Add(1)
	}
}

// sendUntil sends queued messages until stop is closed.
func (a *Agent) sendUntil(list *memberlist.Memberlist, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case m := <-a.outgoing.waiting:
			a.outgoing.transmit(list, m)
		}
	}
}

// transmit sends a message. A message for a router that is not alive is dropped.
func (q *sendQueue) transmit(list *memberlist.Memberlist, m outgoingMessage) {
	if m.recipient == "" {
		q.broadcasts.QueueBroadcast(broadcast{m.replaceKey, m.content})
		return
	}
	for _, node := range list.Members() {
		if node.Name == m.recipient {
			q.transmitTo(list, node, m.content)
			return
		}
	}
}

func (q *sendQueue) transmitTo(list *memberlist.Memberlist, node *memberlist.Node, content []byte) {
	if len(content) <= maxPacketBytes {
		logSendError(node.Name, list.SendBestEffort(node, content))
		return
	}
	select {
	case q.reliableSlots <- struct{}{}:
	default:
		q.dropped.Add(1)
		return
	}
	q.reliableSends.Go(func() { // connecting may take a while, and must not delay other messages
		logSendError(node.Name, list.SendReliable(node, content))
		<-q.reliableSlots
	})
}

func logSendError(peer string, err error) {
	if err != nil {
		log.Debug("packet not sent", logging.KeyPeer, peer, logging.KeyError, err)
	}
}

// broadcast is a message for all routers. A later one with the same name replaces it. It implements
// memberlist.NamedBroadcast.
type broadcast struct {
	name    string
	content []byte
}

// Invalidates implements memberlist.Broadcast.
func (b broadcast) Invalidates(other memberlist.Broadcast) bool {
	named, ok := other.(memberlist.NamedBroadcast)
	return ok && named.Name() == b.name
}

// Name implements memberlist.NamedBroadcast.
func (b broadcast) Name() string { return b.name }

// Message implements memberlist.Broadcast.
func (b broadcast) Message() []byte { return b.content }

// Finished implements memberlist.Broadcast.
func (b broadcast) Finished() {}
