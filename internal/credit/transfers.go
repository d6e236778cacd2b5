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
//	                                           ^               |
//	                                           +--otherwise----+
type transferState uint8

const (
	transferIdle      transferState = iota // no transfer is in progress
	transferRecording                      // the record is being written; it must be durable before the transfer is sent
	transferReady                          // the record is durable and the transfer is to be sent
	transferSent                           // the transfer is sent and not acknowledged yet
)

// transfer is a transfer of rights to another router. There is at most one at a time to each router.
type transfer struct {
	receiver string
	state    transferState
	record   transferRecord
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
	t := l.transfers[from]
	if t == nil {
		t = &transfer{receiver: from}
	}
	if t.state != transferIdle {
		return
	}
	available := l.transferableRights(a)
	amount := min(available, max(m.Amount, available/2))
	if amount <= 0 {
		return
	}
	l.transfers[from] = t
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
	t.state = transferRecording
	t.record = transferRecord{Sequence: t.record.Sequence + 1, Account: a.name, Amount: amount}
	l.Totals.TransferredOut += amount
	l.writes.markChanged(func(now time.Duration) {
		t.state = transferReady
		l.sendTransfer(now, t)
	}, accountKey(a.name), transferKey(t.receiver))
}

// sendTransfer sends a transfer that is ready.
func (l *Ledger) sendTransfer(now time.Duration, t *transfer) {
	if t.state != transferReady {
		return
	}
	m := message{Kind: messageTransfer, Account: t.record.Account, Amount: t.record.Amount, Sequence: t.record.Sequence}
	if l.send(now, t.receiver, m, transferTimeout) {
		t.state = transferSent
	}
}

// resendTransfers sends all transfers that are ready: those that an earlier process has left, those that could not be
// sent, and those that were rejected.
func (l *Ledger) resendTransfers(now time.Duration) {
	for _, receiver := range slices.Sorted(maps.Keys(l.transfers)) {
		l.sendTransfer(now, l.transfers[receiver])
	}
}

// transferCompleted ends a transfer that was accepted. Any other transfer is sent again, without a limit, until it is
// accepted: at once after a timeout, at the next tick after a rejection.
func (l *Ledger) transferCompleted(now time.Duration, receiver string, completion messaging.Completion) {
	t := l.transfers[receiver]
	t.state = transferReady
	switch {
	case completion.Err != nil:
		l.sendTransfer(now, t)
	case string(completion.Reply) == ackAccepted:
		t.state = transferIdle
		t.record.Amount = 0
		l.writes.markChanged(nil, transferKey(receiver))
	}
}

// receiveTransfer adds the rights of a transfer once, even if it is received several times. It accepts the transfer only
// once the rights are durable here.
func (l *Ledger) receiveTransfer(delivery messaging.Delivery, m message) {
	latest := l.received[m.LedgerID]
	if m.Sequence <= latest { // received before
		l.acknowledgeWhenDurable(delivery)
		return
	}
	nameOK := m.Account != "" && len(m.Account) <= maxNameLength
	if m.Sequence != latest+1 || !nameOK || len(l.accounts) > l.settings.MaxAccounts {
		l.acknowledge(delivery, ackRejected)
		return
	}
	l.received[m.LedgerID] = m.Sequence
	l.Totals.TransferredIn += m.Amount
	l.addRights(l.account(m.Account), m.Amount, receivedKey(m.LedgerID))
	l.acknowledgeWhenDurable(delivery)
}
