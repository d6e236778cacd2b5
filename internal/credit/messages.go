package credit

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"hillknot/internal/cluster/messaging"
)

// messageKind is the kind of a message between routers. Its values are sent on the wire and must not change.
type messageKind uint8

const (
	messageBalances        messageKind = iota + 1 // reports the sender's part of some accounts
	messageTransferRequest                        // requests rights
	messageTransfer                               // transfers rights
	messageIdentity                               // asks whether a different ledger is known under the sender's name
)

// message is sent as a CBOR array: the order of its fields must not change, and new fields come last.
type message struct {
	_        struct{} `cbor:",toarray"`
	Kind     messageKind
	LedgerID string // of the sender
	Account  string
	Amount   int64
	Sequence uint64 // of a transfer; in a messageIdentity: of the sender's latest transfer to the receiver
	Balances []balanceReport
}

// balanceReport holds a router's part of an account, and how fast the router spends it.
type balanceReport struct {
	_       struct{} `cbor:",toarray"`
	Account string
	Amount  int64   // in millionths of a credit
	Rate    float64 // in millionths of a credit per second
}

// Replies with which messages are acknowledged. They are sent on the wire and must not change.
const (
	ackAccepted = "yes"
	ackRejected = "no"
	ackStale    = "stale" // the receiver has received later transfers from the sender's ledger than it has on record
)

// valid reports whether a message is within the bounds that every router keeps to.
func (m *message) valid() bool {
	return m.LedgerID != "" && len(m.LedgerID) <= maxLedgerIDLength && len(m.Balances) <= maxReportedBalances &&
		m.Amount >= 0 && m.Amount <= MaxAmount
}

// sentMessage describes a message that has been sent and is not acknowledged yet.
type sentMessage struct {
	kind     messageKind
	receiver string
}

// send sends a message repeatedly until it is acknowledged or the timeout has passed, and reports whether the messenger
// has taken it. The messenger takes no message while too many to the same router are in flight. The caller may then try
// again at a later tick.
func (l *Ledger) send(now time.Duration, receiver string, m message, timeout time.Duration) bool {
	m.LedgerID = l.settings.LedgerID
	body, err := cbor.Marshal(&m)
	if err != nil { // does not happen: a message can always be encoded
		return false
	}
	id, err := l.messenger.Send(now, receiver, body, now+timeout)
	if err != nil {
		return false
	}
	l.unacknowledged[id] = sentMessage{m.Kind, receiver}
	return true
}

// OutgoingPackets returns the packets that are due. The caller sends them.
func (l *Ledger) OutgoingPackets(now time.Duration) []messaging.Packet {
	return l.messenger.DuePackets(now)
}

// ReceivePacket handles a packet from another router. A packet that cannot be decoded is ignored; a message that cannot
// be decoded or is not valid is rejected.
func (l *Ledger) ReceivePacket(now time.Duration, data []byte) {
	for _, delivery := range l.messenger.Receive(now, data) {
		l.handleMessage(now, delivery)
	}
	l.handleCompletions(now)
}

func (l *Ledger) handleMessage(now time.Duration, delivery messaging.Delivery) {
	var m message
	if err := cbor.Unmarshal(delivery.Body, &m); err != nil || !m.valid() {
		l.acknowledge(delivery, ackRejected)
		return
	}
	switch m.Kind {
	case messageBalances:
		l.receiveBalances(now, delivery.From, m.Balances)
		l.acknowledge(delivery, ackAccepted)
	case messageTransferRequest:
		l.receiveTransferRequest(delivery.From, m)
		l.acknowledge(delivery, ackAccepted)
	case messageTransfer:
		l.receiveTransfer(delivery, m)
	case messageIdentity:
		l.receiveIdentityRequest(delivery, m)
	default:
		l.acknowledge(delivery, ackRejected)
	}
}

func (l *Ledger) acknowledge(delivery messaging.Delivery, reply string) {
	l.messenger.Acknowledge(delivery, []byte(reply))
}

// acknowledgeWhenDurable accepts a message once all records that have changed so far are durable.
func (l *Ledger) acknowledgeWhenDurable(delivery messaging.Delivery) {
	l.writes.whenDurable(func(time.Duration) { l.acknowledge(delivery, ackAccepted) })
}

// handleCompletions handles acknowledgements and timeouts of messages.
func (l *Ledger) handleCompletions(now time.Duration) {
	for _, completion := range l.messenger.Completions() {
		sent, ok := l.unacknowledged[completion.ID]
		if !ok {
			continue
		}
		delete(l.unacknowledged, completion.ID)
		switch sent.kind {
		case messageTransfer:
			l.transferCompleted(now, sent.receiver, completion)
		case messageIdentity:
			l.identityRequestCompleted(sent.receiver, completion)
		}
	}
}
