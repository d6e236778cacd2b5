//go:build cluster

package membership

import (
	"bytes"

	"hillknot/internal/cluster/state"
	"hillknot/internal/logging"
)

// maxFullStateBytes bounds the full state that is accepted of another router. One half of it is sent at most.
const maxFullStateBytes = 1 << 20

// PublishFullState sets what a router that knows nothing of this one yet is sent when they meet.
func (a *Agent) PublishFullState(all []state.Message) {
	var encoded []byte
	for _, m := range all {
		encoded = m.Append(encoded)
		if len(encoded) > maxFullStateBytes/2 {
			break
		}
	}
	a.fullState.Store(&encoded)
}

// receive passes on a packet, or all messages that the content holds, up to the first malformed one.
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

// receivePacket passes on a packet. The kinds of later releases are ignored.
func (a *Agent) receivePacket(kind byte, data []byte) {
	var handle func([]byte)
	switch kind {
	case orderPacket:
		handle = a.handlers.packets.Orders
	case creditPacket:
		handle = a.handlers.packets.Credit
	}
	if handle != nil {
		handle(bytes.Clone(data)) // the buffer is memberlist's
	}
}

// delegate implements memberlist.Delegate. Its methods are called on goroutines of memberlist.
type delegate struct{ agent *Agent }

// NodeMeta implements memberlist.Delegate: what this router tells of itself along with its name.
func (d delegate) NodeMeta(int) []byte { return d.agent.meta().encode() }

// NotifyMsg implements memberlist.Delegate: a message came.
func (d delegate) NotifyMsg(content []byte) { d.agent.receive(content) }

// GetBroadcasts implements memberlist.Delegate: it returns messages that go along with memberlist's own gossip.
func (d delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.agent.outgoing.broadcasts.GetBroadcasts(overhead, limit)
}

// LocalState implements memberlist.Delegate: it returns the full state for another router.
func (d delegate) LocalState(bool) []byte { return *d.agent.fullState.Load() }

// MergeRemoteState implements memberlist.Delegate: it takes the full state of another router.
func (d delegate) MergeRemoteState(content []byte, _ bool) {
	if len(content) <= maxFullStateBytes {
		d.agent.receive(content)
	}
}
