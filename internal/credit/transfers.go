package credit

import (
	"maps"
	"slices"
	"time"

	"hillknot/internal/cluster/messaging"
)

const (
	requestInterval = 100 * time.Millisecond // minimum between two requests for rights of an account
	transferTimeout = 10 * time.Second       // after it the transfer is sent as a new message
)

// transferState is the progress of a transfer at the sending router.
//
//	idle --request--> recording --durable--> ready --send--> sent --accepted--> idle
//	                                          ^ ^              | |
//	                                          | +--otherwise---+ +--other ledger--> suspended
//	                                          +------its ledger asks again----------+
type transferState uint8

const (
	transferIdle      transferState = iota // no transfer is in progress
	transferRecording                      // the record is being written; it must be durable before the transfer is sent
	transferReady                          // the record is durable and the transfer is to be sent
	transferSent                           // the transfer is sent and not acknowledged yet
	transferSuspended                      // the receiver has another ledger now; the lost one may have counted the transfer
)

// transfer is a transfer of rights to the ledger of another router. There is at most one at a time to each ledger.
type transfer struct {
	receiver string
	ledger   string // ID of the receiving ledger; empty: the one that this router knows under the receiver's name
	state    transferState
	record   transferRecord

	recordedHere bool // by this process; an earlier one may have sent it otherwise
	messages     int  // that this process has sent with it
}

// certainlyUnreceived reports whether the transfer has reached no ledger but one that did not accept it: it was sent only once.
func (t *transfer) certainlyUnreceived() bool { return t.recordedHere && t.messages == 1 }

// name returns the name of the transfer's record.
func (t *transfer) name() string { return transferName(t.receiver, t.ledger) }

// maxReceiverLedgers is the highest number of ledgers under one router's name that transfers go to.
const maxReceiverLedgers = 8

// transferTo returns the transfer to a ledger that requests rights, or nil if there are too many ledgers under that router's name.
// Ledgers of version 0.16.0 and earlier do not say to which of a router's ledgers a transfer is.
func (l *Ledger) transferTo(router, ledgerID string) *transfer {
	if t := l.transfers[transferName(router, ledgerID)]; t != nil {
		return t
	}
	known, unnamed := l.identity.knownLedgers[router], l.transfers[router]
	switch {
	case known == ledgerID && unnamed != nil:
		return unnamed
	case known == ledgerID:
		return &transfer{receiver: router}
	case len(l.transfersTo(router)) >= maxReceiverLedgers:
		return nil
	case known != "" || unnamed == nil:
		return &transfer{receiver: router, ledger: ledgerID}
	case unnamed.state != transferIdle: // it may be to this ledger, which takes one after the other
		return unnamed
	}
	return &transfer{receiver: router, ledger: ledgerID, record: transferRecord{Sequence: unnamed.record.Sequence}}
}

// transfersTo returns the transfers to all ledgers of a router, sorted by the names of their records.
func (l *Ledger) transfersTo(router string) (transfers []*transfer) {
	for _, name := range slices.Sorted(maps.Keys(l.transfers)) {
		if t := l.transfers[name]; t.receiver == router {
			transfers = append(transfers, t)
		}
	}
	return transfers
}

// ledgerOf returns the ID of the ledger that a transfer is to, or "" if that is unknown.
func (l *Ledger) ledgerOf(t *transfer) string {
	if t.ledger != "" {
		return t.ledger
	}
	return l.identity.knownLedgers[t.receiver]
}

// requestTransfer requests rights of an account from the router that is known to hold the most of it, at most once per
// requestInterval.
func (l *Ledger) requestTransfer(now time.Duration, a *account) {
	if now < a.transferRequestedAt+requestInterval || l.identity.state == identityStale {
		return
	}
	holder := l.peers.largestHolder(now, a.name)
	if holder == "" {
		return
	}
	a.transferRequestedAt = now
	amount := max(a.projectedSpending(l.settings.WithdrawalWindow, 4)-a.spendable(), 1)
	request := message{Kind: messageTransferRequest, Account: a.name, Amount: amount}
	l.send(now, holder, request, l.settings.TickInterval)
}

// receiveTransferRequest begins a transfer of rights that this router does not need: as many as are requested, or half of
// them if that is more, so that a router that uses the account needs few transfers.
func (l *Ledger) receiveTransferRequest(from string, m message) {
	a := l.accounts[m.Account]
	if a == nil || l.identity.state == identityStale || l.writes.err != nil {
		return
	}
	t := l.transferTo(from, m.LedgerID)
	if t == nil {
		return
	}
	if t.state == transferSuspended {
		t.state = transferReady
	}
	if t.state != transferIdle {
		return
	}
	available := l.transferableRights(a)
	amount := min(available, max(m.Amount, available/2))
	if amount <= 0 {
		return
	}
	l.transfers[t.name()] = t
	l.beginTransfer(t, a, amount)
}

// transferableRights returns the rights of an account that this router does not need. If the account is not used here,
// these are all durable rights on record, and the available rights are returned to the record, so that a later request
// can have them.
func (l *Ledger) transferableRights(a *account) int64 {
	if a.spendingRate == 0 {
		l.returnAvailable(a, 0)
		return a.durableRights()
	}
	return a.durableRights() - a.projectedSpending(l.settings.WithdrawalWindow, 2)
}

// beginTransfer takes rights from an account and records that they are given away. Once the record is durable, the
// transfer is sent.
func (l *Ledger) beginTransfer(t *transfer, a *account, amount int64) {
	a.record.Rights -= amount
	t.state, t.recordedHere, t.messages = transferRecording, true, 0
	t.record = transferRecord{Sequence: t.record.Sequence + 1, Account: a.name, Amount: amount}
	l.Totals.TransferredOut += amount
	l.writes.markChanged(func(now time.Duration) {
		t.state = transferReady
		l.sendTransfer(now, t)
	}, accountKey(a.name), transferKey(t.name()))
}

// sendTransfer sends a transfer that is ready.
func (l *Ledger) sendTransfer(now time.Duration, t *transfer) {
	if t.state != transferReady {
		return
	}
	m := message{Kind: messageTransfer, Account: t.record.Account, Amount: t.record.Amount, Sequence: t.record.Sequence}
	m.addressTo(l.ledgerOf(t))
	if l.sendMessage(now, sentMessage{kind: messageTransfer, receiver: t.receiver, transfer: t}, m, transferTimeout) {
		t.state = transferSent
		t.messages++
	}
}

// resendTransfers sends all transfers that are ready: those that an earlier process has left, those that could not be
// sent, and those that were rejected.
func (l *Ledger) resendTransfers(now time.Duration) {
	for _, name := range slices.Sorted(maps.Keys(l.transfers)) {
		l.sendTransfer(now, l.transfers[name])
	}
}

// transferCompleted ends a transfer that was accepted, or whose ledger is not the receiver's any more. Any other transfer is
// sent again, without a limit, until it is accepted: at once after a timeout, at the next tick after a rejection.
func (l *Ledger) transferCompleted(now time.Duration, t *transfer, completion messaging.Completion) {
	t.state = transferReady
	switch {
	case completion.Err != nil:
		l.sendTransfer(now, t)
	case string(completion.Reply) == ackAccepted:
		t.state = transferIdle
		t.record.Amount = 0
		l.writes.markChanged(nil, transferKey(t.name()))
	case string(completion.Reply) == ackOtherLedger:
		l.transferMisaddressed(t)
	}
}

// transferMisaddressed handles a transfer to a ledger that is not the receiver's any more. The rights come back if they certainly
// reached nobody. Otherwise the lost ledger may have counted them, and nobody spends them unless it asks again.
func (l *Ledger) transferMisaddressed(t *transfer) {
	if !t.certainlyUnreceived() {
		t.state = transferSuspended
		return
	}
	amount := t.record.Amount
	t.state = transferIdle
	t.record.Amount = 0
	l.Totals.TransferredOut -= amount
	l.addRights(l.account(t.record.Account), amount, transferKey(t.name()))
}

// receiveTransfer adds the rights of a transfer once, even if it is received several times, and only if it is to this ledger. It
// accepts the transfer only once the rights are durable here.
func (l *Ledger) receiveTransfer(delivery messaging.Delivery, m message) {
	addressee := m.addressee()
	if addressee != "" && addressee != l.settings.LedgerID {
		l.acknowledge(delivery, ackOtherLedger)
		return
	}
	latest := l.received[m.LedgerID]
	if m.Sequence <= latest { // received before
		l.acknowledgeWhenDurable(delivery)
		return
	}
	nameOK := m.Account != "" && len(m.Account) <= maxNameLength
	missing := addressee == "" && m.Sequence != latest+1 // numbers of transfers to this ledger may have gaps, but are in order
	if missing || !nameOK || len(l.accounts) > l.settings.MaxAccounts {
		l.acknowledge(delivery, ackRejected)
		return
	}
	l.received[m.LedgerID] = m.Sequence
	l.Totals.TransferredIn += m.Amount
	l.addRights(l.account(m.Account), m.Amount, receivedKey(m.LedgerID))
	l.acknowledgeWhenDurable(delivery)
}
