// Package messaging sends messages to single routers, and repeats each until it is acknowledged. It is a state
// machine: it decides what is sent and acknowledged when, does no I/O, reads no clock and draws no random numbers.
//
// A message is for one process of a router, which delivers it at most once, however often and late it arrives. A message
// that was delivered before is acknowledged again with the remembered reply, and one that is too old to be remembered is
// ignored. A late packet therefore never causes a second delivery.
package messaging

import (
	"maps"
	"slices"
	"time"
)

// Packet is encoded data to send to a router.
type Packet struct {
	To   string
	Data []byte
}

// Delivery is a message that was received for the first time.
type Delivery struct {
	From    string
	Process uint64
	ID      uint64
	Body    []byte
}

// Completion is the result of a message that was sent: either the peer acknowledged it with Reply, or Err is the reason
// why it was given up.
type Completion struct {
	ID    uint64
	To    string
	Reply []byte
	Err   error
}

// Messenger is one router's end of all exchanges with its peers. It is not safe for concurrent use.
type Messenger struct {
	settings  Settings
	peers     map[string]*peer
	inFlight  map[uint64]*peer // by message id
	lastID    uint64           // of the latest message sent
	lastQuery uint64
	completed []Completion // not returned by Completions yet
	peerNames []string     // of peers, sorted; nil: must be rebuilt
}

// New returns the messenger of a process that has just started.
func New(settings Settings) *Messenger {
	return &Messenger{settings: settings, peers: map[string]*peer{}, inFlight: map[uint64]*peer{}}
}

// Send queues a message to a router, which is sent until the router acknowledges it or the deadline passes. Completions
// then returns its result under the id that Send returns. The error is a MessageTooLongError or a QueueFullError.
func (m *Messenger) Send(now time.Duration, to string, body []byte, deadline time.Duration) (id uint64, err error) {
	p := m.peer(now, to)
	if len(body) > m.settings.MaxMessageBytes {
		return 0, MessageTooLongError{len(body), m.settings.MaxMessageBytes}
	}
	if p == nil || len(p.outbox.messages) >= m.settings.MaxMessages || p.outbox.bytes+len(body) > m.settings.MaxBytes {
		return 0, QueueFullError{to}
	}
	m.lastID++
	p.outbox.add(&outgoingMessage{
		id:       m.lastID,
		process:  p.process,
		body:     body,
		sendAt:   now,
		backoff:  m.settings.RetryInitial,
		deadline: deadline,
	})
	m.inFlight[m.lastID] = p
	return m.lastID, nil
}

// Cancel gives up a message that is no longer needed. Completions returns no result for it.
func (m *Messenger) Cancel(id uint64) {
	if p := m.inFlight[id]; p != nil {
		m.remove(p, id)
	}
}

func (m *Messenger) remove(p *peer, id uint64) {
	delete(m.inFlight, id)
	p.outbox.remove(id)
}

// complete ends a message in flight to a peer, and adds its result to those for Completions.
func (m *Messenger) complete(p *peer, c Completion) {
	m.remove(p, c.ID)
	m.completed = append(m.completed, c)
}

// Receive processes a packet and returns the messages in it that were received for the first time. An invalid packet is
// ignored.
func (m *Messenger) Receive(now time.Duration, data []byte) []Delivery {
	in, ok := m.decode(data)
	if !ok {
		return nil
	}
	p := m.peer(now, in.From)
	if p == nil {
		return nil
	}
	if in.Query != 0 && len(p.queryReplies) < maxQueryReplies {
		p.queryReplies = append(p.queryReplies, queryReply{in.Process, in.Query})
	}
	m.receiveQueryReply(p, &in)
	if in.Process != p.process {
		m.startQuery(now, p)
		return nil
	}
	p.lastSeenAt = now
	if in.ToProcess != m.settings.Process {
		p.announce = true
		return nil
	}
	m.receiveAcknowledgements(p, in.Acknowledgements)
	return m.receiveMessages(p, in.Messages)
}

// receiveQueryReply learns from the reply to an open query which process of the peer runs now.
func (m *Messenger) receiveQueryReply(p *peer, in *packet) {
	if in.QueryReply == 0 || in.QueryReply != p.query.number || in.ToProcess != m.settings.Process {
		return
	}
	p.query.number = 0
	if p.process != in.Process {
		m.replaceProcess(p, in.Process)
	}
}

func (m *Messenger) receiveAcknowledgements(p *peer, acknowledgements []item) {
	for _, ack := range acknowledgements {
		if m.inFlight[ack.ID] == p {
			m.complete(p, Completion{ID: ack.ID, To: p.name, Reply: ack.Body})
		}
	}
}

// receiveMessages returns the messages that were received for the first time, and acknowledges again those that were
// acknowledged before.
func (m *Messenger) receiveMessages(p *peer, messages []item) (deliveries []Delivery) {
	for _, message := range messages {
		isNew, reply := p.inbox.accept(message.ID, m.settings.ReplyMemory)
		switch {
		case isNew:
			delivery := Delivery{From: p.name, Process: p.process, ID: message.ID, Body: message.Body}
			deliveries = append(deliveries, delivery)
		case reply != nil:
			p.acknowledgements = append(p.acknowledgements, item{ID: message.ID, Body: reply})
		}
	}
	return deliveries
}

// Acknowledge acknowledges a message to its sender with a reply, which must have at least one byte. The same reply is
// sent again if the message arrives again.
func (m *Messenger) Acknowledge(d Delivery, reply []byte) {
	p := m.peers[d.From]
	if p == nil || p.process != d.Process {
		return
	}
	if p.inbox.setReply(d.ID, reply) {
		p.acknowledgements = append(p.acknowledgements, item{ID: d.ID, Body: reply})
	}
}

// Tick gives up messages whose deadline has passed. It is due every few milliseconds; a late call is safe.
func (m *Messenger) Tick(now time.Duration) {
	for _, name := range m.peerNames {
		p := m.peers[name]
		for i := 0; i < len(p.outbox.messages); {
			out := p.outbox.messages[i]
			if now < out.deadline {
				i++
				continue
			}
			m.complete(p, Completion{ID: out.id, To: p.name, Err: NotAcknowledgedError{p.name}})
		}
	}
}

// Completions returns the results of the messages that have ended since the last call.
func (m *Messenger) Completions() []Completion {
	completed := m.completed
	m.completed = nil
	return completed
}

// DuePackets returns the packets to send now. Messages and acknowledgements to the same router share packets up to
// Settings.MaxPacketBytes.
func (m *Messenger) DuePackets(now time.Duration) (packets []Packet) {
	if m.peerNames == nil {
		m.peerNames = slices.Sorted(maps.Keys(m.peers))
	}
	for _, name := range m.peerNames {
		if p := m.peers[name]; !p.hasNothingToSend() {
			packets = m.appendDuePackets(packets, now, p)
		}
	}
	return packets
}

// MaxQueued returns the largest number of messages in flight to one peer.
func (m *Messenger) MaxQueued() (most int) {
	for _, p := range m.peers {
		most = max(most, len(p.outbox.messages))
	}
	return most
}
