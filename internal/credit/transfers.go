package credit

import (
	"maps"
	"slices"
	"time"

	"hillknot/internal/cluster/messaging"
)

const (
	requestInterval = 100 * time.Millisecond // between two requests for rights of an account
	transferTimeout = 10 * time.Second       // then the transfer is sent anew
)

// transferState is the progress of a transfer at the router that gives rights away.
//
//	idle --request--> recording --durable--> ready --send--> sent --accepted--> idle
//	                                           ^               |
//	                                           +--otherwise----+
type transferState uint8

const (
	transferIdle      transferState = iota // none is under way
	transferRecording                      // its record is being written; it must not be sent before that is durable
	transferReady                          // durable, to be sent
	transferSent                           // not acknowledged yet
)

// transfer is the transfer of rights to another router. There is one at a time to each.
type transfer struct {
	receiver string
	state    transferState
	record   transferRecord
}

// requestTransfer asks the router that is known to hold most of an account for rights.
func (l *Ledger) requestTransfer(now time.Duration, a *account) {
	if now < a.requestedAt+requestInterval || l.identity.state == identityStale {
		return
	}
	to := l.peers.richest(now, a.name)
	if to == "" {
		return
	}
	a.requestedAt = now
	amount := max(a.spentWithin(l.settings.WithdrawalWindow, 4)-a.spendable(), 1)
	request := message{Kind: messageTransferRequest, Account: a.name, Amount: amount}
	l.send(now, to, request, l.settings.TickInterval)
}

// receiveTransferRequest begins a transfer of rights that are not needed here: as many as are requested, or half of them
// if that is more, so that a router that uses the account needs few transfers.
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

// transferableRights returns the rights of an account that are not needed here. If the account isn't used here, these
// are all rights on record, and what is available is returned to the record, so that a later request can have it.
func (l *Ledger) transferableRights(a *account) int64 {
	if a.spendingRate == 0 {
		l.returnAvailable(a, 0)
		return a.durableRights()
	}
	return a.durableRights() - a.spentWithin(l.settings.WithdrawalWindow, 2)
}

// beginTransfer takes rights from an account and records that they are given away. Once that is durable they are sent.
func (l *Ledger) beginTransfer(t *transfer, a *account, amount int64) {
	a.record.Rights -= amount
	t.state = transferRecording
	t.record = transferRecord{Sequence: t.record.Sequence + 1, Account: a.name, Amount: amount}
	l.Totals.TransferredOut += amount
	l.writes.change(func(now time.Duration) {
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

// resendTransfers sends all transfers that are ready: those that a process before this one has left, and those that
// could not be sent.
func (l *Ledger) resendTransfers(now time.Duration) {
	for _, to := range slices.Sorted(maps.Keys(l.transfers)) {
		l.sendTransfer(now, l.transfers[to])
	}
}

// transferCompleted ends a transfer that was accepted. Any other is sent again, until it is accepted, however long that
// takes: at once after a time-out, at the next tick after a rejection.
func (l *Ledger) transferCompleted(now time.Duration, to string, completion messaging.Completion) {
	t := l.transfers[to]
	t.state = transferReady
	switch {
	case completion.Err != nil:
		l.sendTransfer(now, t)
	case string(completion.Reply) == ackAccepted:
		t.state = transferIdle
		t.record.Amount = 0
		l.writes.change(nil, transferKey(to))
	}
}

// receiveTransfer adds the rights of a transfer, once. It is accepted only when they are durable here.
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
