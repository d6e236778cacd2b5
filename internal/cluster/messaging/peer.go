package messaging

import (
	"maps"
	"slices"
	"time"
)

// peer is another router, represented by its latest known process.
type peer struct {
	name             string
	process          uint64 // 0: not known yet
	outbox           outbox
	inbox            inbox
	acknowledgements []item // to send
	query            query  // for the process that runs now
	queryReplies     []queryReply
	announce         bool // a packet is due, as the peer sent one to another process of this router
	lastSeenAt       time.Duration
}

// outgoingMessage is a message in flight to a peer.
type outgoingMessage struct {
	id       uint64
	process  uint64 // process that the message is for; 0: not known yet
	body     []byte
	sendAt   time.Duration // when it is sent next
	backoff  time.Duration // between that attempt and the one after it
	deadline time.Duration
}

// outbox holds the messages in flight to a peer, in the order of the calls of Send.
type outbox struct {
	messages []*outgoingMessage
	bytes    int // of their bodies
}

func (o *outbox) add(out *outgoingMessage) {
	o.messages = append(o.messages, out)
	o.bytes += len(out.body)
}

func (o *outbox) remove(id uint64) {
	i := slices.IndexFunc(o.messages, func(out *outgoingMessage) bool { return out.id == id })
	if i < 0 {
		return
	}
	o.bytes -= len(o.messages[i].body)
	o.messages = slices.Delete(o.messages, i, i+1)
}

// inbox remembers which messages of a peer's process were received, so that each is delivered at most once.
type inbox struct {
	replies       map[uint64][]byte // by id of a received message; nil: not acknowledged yet
	receivedIDs   []uint64          // the keys of replies, oldest first
	forgottenUpTo uint64            // messages with ids up to this are too old to be remembered, and ignored
}

// accept records a message and returns true if it was received for the first time. Otherwise it returns the reply to send
// again, if there is one. It remembers at most maxReplies messages.
func (b *inbox) accept(id uint64, maxReplies int) (isNew bool, reply []byte) {
	reply, known := b.replies[id]
	if known || id <= b.forgottenUpTo || id == 0 {
		return false, reply
	}
	b.replies[id] = nil
	b.receivedIDs = append(b.receivedIDs, id)
	if len(b.receivedIDs) > maxReplies {
		b.forgottenUpTo = max(b.forgottenUpTo, b.receivedIDs[0])
		delete(b.replies, b.receivedIDs[0])
		b.receivedIDs = b.receivedIDs[1:]
	}
	return true, nil
}

// setReply records the reply to a message. It returns false if the message is no longer remembered.
func (b *inbox) setReply(id uint64, reply []byte) bool {
	if _, known := b.replies[id]; !known {
		return false
	}
	b.replies[id] = reply
	return true
}

// reset forgets the messages of a process that has ended.
func (b *inbox) reset() {
	b.receivedIDs, b.forgottenUpTo = nil, 0
	clear(b.replies)
}

// query asks which process of a peer runs now. Only the reply to an open query can determine it: a process that has ended
// cannot send that reply, however late its packets arrive.
type query struct {
	number    uint64        // 0: no query is open
	sendAt    time.Duration // when it is sent next
	expiresAt time.Duration // when it is given up if no message waits for the reply
}

// queryReply is a reply that is due to a query: the peer's process that sent the query, and the number of the query.
type queryReply struct{ process, number uint64 }

// maxQueryReplies bounds the queries of one peer that wait for a reply.
const maxQueryReplies = 4

// queryLifetime is how long a query is repeated if no message waits for the reply.
const queryLifetime = 2 * time.Second

// hasNothingToSend reports whether there is nothing to send to the peer.
func (p *peer) hasNothingToSend() bool {
	return len(p.outbox.messages) == 0 && len(p.acknowledgements) == 0 && p.query.number == 0 &&
		len(p.queryReplies) == 0 && !p.announce
}

// peer returns the peer of a name, and adds it if needed. If there are too many, it first forgets the peer that was seen
// longest ago among those without messages in flight; if there is none, it returns nil.
func (m *Messenger) peer(now time.Duration, name string) *peer {
	if p := m.peers[name]; p != nil {
		return p
	}
	if len(m.peers) >= m.settings.MaxPeers {
		oldest := m.oldestIdlePeer()
		if oldest == nil {
			return nil
		}
		delete(m.peers, oldest.name)
	}
	p := &peer{name: name, lastSeenAt: now, inbox: inbox{replies: map[uint64][]byte{}}}
	m.peers[name], m.peerNames = p, nil
	return p
}

func (m *Messenger) oldestIdlePeer() *peer {
	var oldest *peer
	for _, name := range slices.Sorted(maps.Keys(m.peers)) {
		p := m.peers[name]
		if len(p.outbox.messages) == 0 && (oldest == nil || p.lastSeenAt < oldest.lastSeenAt) {
			oldest = p
		}
	}
	return oldest
}

// startQuery opens a query for the process of a peer that runs now, unless a query is open already.
func (m *Messenger) startQuery(now time.Duration, p *peer) {
	if p.query.number != 0 {
		return
	}
	m.lastQuery++
	p.query = query{number: m.lastQuery, sendAt: now, expiresAt: now + queryLifetime}
}

// replaceProcess replaces the known process of a peer. Messages for the previous one end with ProcessReplacedError;
// those that are for no process yet are now for the new one and are sent at once.
func (m *Messenger) replaceProcess(p *peer, process uint64) {
	for _, out := range slices.Clone(p.outbox.messages) {
		if out.process == 0 {
			out.process, out.sendAt = process, 0
			continue
		}
		m.complete(p, Completion{ID: out.id, To: p.name, Err: ProcessReplacedError{p.name}})
	}
	p.process, p.acknowledgements = process, nil
	p.inbox.reset()
}
