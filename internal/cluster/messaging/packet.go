package messaging

import (
	"time"

	"github.com/fxamacker/cbor/v2"
)

// packet is the content of a Packet. Routers of different releases exchange it as a CBOR array: the order, number and
// types of its fields must not change, but their names may.
type packet struct {
	_                struct{} `cbor:",toarray"`
	From             string
	Process          uint64
	ToProcess        uint64 // process that the messages are for; 0: not known yet, and Messages is empty
	Messages         []item
	Acknowledgements []item // of messages that ToProcess sent
	Query            uint64 // number of a query for the process that runs now; QueryReply repeats it in the reply
	QueryReply       uint64
}

// item is a message, or the acknowledgement of a message with the reply to it.
type item struct {
	_    struct{} `cbor:",toarray"`
	ID   uint64
	Body []byte
}

// maxNameBytes bounds the name of a router.
const maxNameBytes = 128

// decode returns the packet that data holds, or false if it is invalid.
func (m *Messenger) decode(data []byte) (packet, bool) {
	var in packet
	if err := cbor.Unmarshal(data, &in); err != nil {
		return in, false
	}
	named := in.From != "" && len(in.From) <= maxNameBytes && in.From != m.settings.Self
	return in, named && in.Process != 0
}

// packetWriter packs the items that are due for one peer into packets. A packet takes items until the next one does not fit.
type packetWriter struct {
	messenger *Messenger
	peer      *peer
	packet    packet
	size      int // of the items in packet, in bytes
	packets   []Packet
}

// itemOverhead is the approximate size of an item without its body, in bytes.
const itemOverhead = 12

// reserve adds the size of an item, and starts another packet for it if it does not fit into the current one.
func (w *packetWriter) reserve(it item) {
	if w.size > 0 && w.size+len(it.Body) > w.messenger.settings.MaxPacketBytes {
		w.flush()
	}
	w.size += len(it.Body) + itemOverhead
}

func (w *packetWriter) addMessage(it item) {
	w.reserve(it)
	w.packet.Messages = append(w.packet.Messages, it)
}

func (w *packetWriter) addAcknowledgement(it item) {
	w.reserve(it)
	w.packet.Acknowledgements = append(w.packet.Acknowledgements, it)
}

// flush completes the packet and starts another.
func (w *packetWriter) flush() {
	data, err := cbor.Marshal(&w.packet)
	if err == nil { // encoding these types cannot fail
		w.packets = append(w.packets, Packet{w.peer.name, data})
	}
	w.begin()
}

func (w *packetWriter) begin() {
	own := w.messenger.settings
	w.packet = packet{From: own.Self, Process: own.Process, ToProcess: w.peer.process}
	w.size = 0
}

// appendDuePackets appends the packets that are due for a peer.
func (m *Messenger) appendDuePackets(packets []Packet, now time.Duration, p *peer) []Packet {
	w := &packetWriter{messenger: m, peer: p, packets: packets}
	w.begin()
	if p.process != 0 {
		p.writeAcknowledgements(w)
		p.writeMessages(w, now, m.settings.RetryMax)
	} else if len(p.outbox.messages) > 0 {
		m.startQuery(now, p)
	}
	queried := p.writeQuery(w, now, m.settings.RetryInitial)
	if w.size > 0 || queried || p.announce {
		p.announce = false
		w.flush()
	}
	p.writeQueryReplies(w)
	return w.packets
}

func (p *peer) writeAcknowledgements(w *packetWriter) {
	for _, ack := range p.acknowledgements {
		w.addAcknowledgement(ack)
	}
	p.acknowledgements = nil
}

// writeMessages writes the messages that are due, and sets when each is due again.
func (p *peer) writeMessages(w *packetWriter, now, retryMax time.Duration) {
	for _, out := range p.outbox.messages {
		if now < out.sendAt {
			continue
		}
		out.sendAt = now + out.backoff
		out.backoff = min(2*out.backoff, retryMax)
		w.addMessage(item{ID: out.id, Body: out.body})
	}
}

// writeQuery writes the open query for the peer's process, if it is due, and reports whether it did. It gives up an expired
// query if no message waits for the reply.
func (p *peer) writeQuery(w *packetWriter, now, interval time.Duration) bool {
	if len(p.outbox.messages) == 0 && now >= p.query.expiresAt {
		p.query.number = 0
	}
	if p.query.number == 0 || now < p.query.sendAt {
		return false
	}
	w.packet.Query = p.query.number
	p.query.sendAt = now + interval
	return true
}

// writeQueryReplies writes the replies to queries, each in a packet of its own, as each is for the process that sent the
// query.
func (p *peer) writeQueryReplies(w *packetWriter) {
	for _, reply := range p.queryReplies {
		w.packet.ToProcess, w.packet.QueryReply = reply.process, reply.number
		w.flush()
	}
	p.queryReplies = nil
}
