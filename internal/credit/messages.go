package credit

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"hillknot/internal/cluster/messaging"
)

// messageKind is the kind of a message between routers. The numbers are sent: they must not change.
type messageKind uint8

const (
	messageBalances        messageKind = iota + 1 // what the sender holds of some accounts
	messageTransferRequest                        // asks for rights
	messageTransfer                               // transfers rights
	messageIdentity                               // asks whether another ledger is known under the sender's name
)

// message is sent as a CBOR array: the order of its fields must not change, and new ones come last.
type message struct {
	_        struct{} `cbor:",toarray"`
	Kind     messageKind
	LedgerID string // of the sender
	Account  string
	Amount   int64
	Sequence uint64 // of a messageTransfer; of a messageIdentity: of the sender's latest transfer to the receiver
	Balances []balanceReport
}

// balanceReport is what a router holds of an account, and how much of it the router spends a second.
type balanceReport struct {
	_       struct{} `cbor:",toarray"`
	Account string
	Amount  int64
	Rate    float64
}

// The words by which messages are acknowledged. They are sent: they must not change.
const (
	ackAccepted = "yes"
	ackRejected = "no"
	ackStale    = "stale" // the receiver has more transfers from the sender's ledger than the sender knows
)

// valid tells whether a message is within the bounds of what a router sends.
func (m *message) valid() bool {
	return m.LedgerID != "" && len(m.LedgerID) <= maxLedgerIDLength && len(m.Balances) <= maxReportedBalances &&
		m.Amount >= 0 && m.Amount <= MaxAmount
}

// sentMessage is a message that waits for its acknowledgement.
type sentMessage struct {
	kind     messageKind
	receiver string
}

// send sends a message until it is acknowledged or the timeout has passed, and tells whether it is on its way. It
// isn't if too many messages to that router are: a later tick tries again.
func (l *Ledger) send(now time.Duration, receiver string, m message, timeout time.Duration) bool {
	m.LedgerID = l.settings.LedgerID
	body, err := cbor.Marshal(&m)
	if err != nil { // a message can always be encoded
		return false
	}
	id, err := l.messenger.Send(now, receiver, body, now+timeout)
	if err != nil {
		return false
	}
	l.unsettled[id] = sentMessage{m.Kind, receiver}
	return true
}

// OutgoingPackets returns the packets that are due. The caller sends them.
func (l *Ledger) OutgoingPackets(now time.Duration) []messaging.Packet {
	return l.messenger.DuePackets(now)
}

// ReceivePacket handles a packet of another router. A packet or message that can't be read is ignored.
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

// acknowledgeWhenDurable accepts a message once all that has changed so far is durable.
func (l *Ledger) acknowledgeWhenDurable(delivery messaging.Delivery) {
	l.writes.whenDurable(func(time.Duration) { l.acknowledge(delivery, ackAccepted) })
}

// handleCompletions handles the acknowledgements and time-outs of messages.
func (l *Ledger) handleCompletions(now time.Duration) {
	for _, completion := range l.messenger.Completions() {
		sent, ok := l.unsettled[completion.ID]
		if !ok {
			continue
		}
		delete(l.unsettled, completion.ID)
		switch sent.kind {
		case messageTransfer:
			l.transferCompleted(now, sent.receiver, completion)
		case messageIdentity:
			l.identityRequestCompleted(sent.receiver, completion)
		}
	}
}
