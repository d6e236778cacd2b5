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

	// Balances of a messageTransfer has one entry, whose Account is the ID of the receiving ledger. Balances of a messageIdentity has
	// one for each ledger under the receiver's name, with its ID and the Sequence of the latest transfer to it. Versions up to 0.16.0
	// send no such entries and pass over them.
	Balances []balanceReport
}

// addressTo names the ledger that a transfer is to. An empty ID names none.
func (m *message) addressTo(ledgerID string) {
	if ledgerID != "" {
		m.Balances = []balanceReport{{Account: ledgerID}}
	}
}

// addressee returns the ID of the ledger that a transfer is to, or "" if the sender has not named it.
func (m *message) addressee() string {
	if len(m.Balances) != 1 {
		return ""
	}
	return m.Balances[0].Account
}

// addSequence adds the sequence number of the latest transfer to a ledger, whose ID is empty if it is unknown.
func (m *message) addSequence(ledgerID string, sequence uint64) {
	m.Sequence = max(m.Sequence, sequence)
	m.Balances = append(m.Balances, balanceReport{Account: ledgerID, Amount: int64(sequence)})
}

// sequenceTo returns the sequence number of the sender's latest transfer to a ledger, or 0 if there was none.
func (m *message) sequenceTo(ledgerID string) (sequence uint64) {
	if len(m.Balances) == 0 {
		return m.Sequence
	}
	for _, entry := range m.Balances {
		if entry.Account == ledgerID || entry.Account == "" {
			sequence = max(sequence, uint64(entry.Amount))
		}
	}
	return sequence
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

	// ackOtherLedger rejects a transfer to another ledger than the receiver's. Only a sender that names the ledger gets it.
	ackOtherLedger = "other"
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
	transfer *transfer // of a messageTransfer
}

// send sends a message repeatedly until it is acknowledged or the timeout has passed, and reports whether the messenger
// has taken it. The messenger takes no message while too many to the same router are in flight. The caller may then try
// again at a later tick.
func (l *Ledger) send(now time.Duration, receiver string, m message, timeout time.Duration) bool {
	return l.sendMessage(now, sentMessage{kind: m.Kind, receiver: receiver}, m, timeout)
}

// sendMessage does what send does, with the description of the message.
func (l *Ledger) sendMessage(now time.Duration, sent sentMessage, m message, timeout time.Duration) bool {
	m.LedgerID = l.settings.LedgerID
	body, err := cbor.Marshal(&m)
	if err != nil { // does not happen: a message can always be encoded
		return false
	}
	id, err := l.messenger.Send(now, sent.receiver, body, now+timeout)
	if err != nil {
		return false
	}
	l.unacknowledged[id] = sent
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
			l.transferCompleted(now, sent.transfer, completion)
		case messageIdentity:
			l.identityRequestCompleted(sent.receiver, completion)
		}
	}
}
