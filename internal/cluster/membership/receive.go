//go:build cluster

package membership

import (
	"bytes"

	"hillknot/internal/cluster/state"
	"hillknot/internal/logging"
)

// maxFullStateBytes bounds the full state that is accepted from another router. At most about half as much is sent.
const maxFullStateBytes = 1 << 20

// PublishFullState sets the messages that other routers get when they exchange full states with this one, as when they
// join. Messages after the first half of maxFullStateBytes are left out.
func (a *Agent) PublishFullState(messages []state.Message) {
	var encoded []byte
	for _, m := range messages {
		encoded = m.Append(encoded)
		if len(encoded) > maxFullStateBytes/2 {
			break
		}
	}
	a.fullState.Store(&encoded)
}

// receive passes a packet, or all messages in the content up to the first malformed one, to its handler.
func (a *Agent) receive(content []byte) {
	if len(content) > 0 && content[0] >= orderPacket {
		a.receivePacket(content[0], content[1:])
		return
	}
	var messages []state.Message
	for len(content) > 0 {
		m, rest, err := state.ParseMessage(content)
		if err != nil {
			log.Debug("gossip message malformed", logging.KeyError, err)
			break
		}
		messages, content = append(messages, m), rest
	}
	if len(messages) > 0 {
		a.handlers.messages(messages)
	}
}

// receivePacket passes a packet to its handler. Kinds of later releases are ignored.
func (a *Agent) receivePacket(kind byte, data []byte) {
	var handle func([]byte)
	switch kind {
	case orderPacket:
		handle = a.handlers.packets.Orders
	case creditPacket:
		handle = a.handlers.packets.Credit
	}
	if handle != nil {
		handle(bytes.Clone(data)) // memberlist owns the buffer
	}
}

// delegate implements memberlist.Delegate. Its methods are called on goroutines of memberlist.
type delegate struct{ agent *Agent }

// NodeMeta implements memberlist.Delegate: it returns what this router announces about itself along with its name.
func (d delegate) NodeMeta(int) []byte { return d.agent.meta().encode() }

// NotifyMsg implements memberlist.Delegate: it receives a message.
func (d delegate) NotifyMsg(content []byte) { d.agent.receive(content) }

// GetBroadcasts implements memberlist.Delegate: it returns messages to send along with memberlist's own gossip.
func (d delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.agent.outgoing.broadcasts.GetBroadcasts(overhead, limit)
}

// LocalState implements memberlist.Delegate: it returns the full state for another router.
func (d delegate) LocalState(bool) []byte { return *d.agent.fullState.Load() }

// MergeRemoteState implements memberlist.Delegate: it receives the full state of another router, and ignores one that is
// too long.
func (d delegate) MergeRemoteState(content []byte, _ bool) {
	if len(content) <= maxFullStateBytes {
		d.agent.receive(content)
	}
}
