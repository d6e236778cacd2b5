package credit

import (
	"fmt"
	"time"

	"hillknot/internal/cluster/messaging"
)

// identityInterval is how long a request to confirm the identity is sent, until a new one is made.
const identityInterval = time.Second

// identityState says what this ledger may do.
//
//	unconfirmed --all others confirm--> confirmed
//	unconfirmed --one rejects--> conflict
//	any --one has received later transfers--> stale
type identityState uint8

const (
	identityUnconfirmed identityState = iota // applies no top-ups yet; spends what others transfer to it
	identityConfirmed                        // applies top-ups
	identityConflict                         // applies no top-ups: another ledger may have applied them; spends as above
	identityStale                            // spends nothing: it is a copy of an earlier state
)

// identity is what makes sure that one ledger alone acts under this router's name, and what this router knows of the
// ledgers of others.
type identity struct {
	state identityState
	err   error // of identityConflict and identityStale: NameTakenError or StaleLedgerError

	record       identityRecord
	confirmedBy  map[string]bool   // routers that have confirmed the identity to this process
	knownLedgers map[string]string // ledger IDs of other routers, by their names
}

func newIdentity(settings Settings) identity {
	return identity{
		record:       identityRecord{LedgerID: settings.LedgerID, Router: settings.Router},
		confirmedBy:  map[string]bool{},
		knownLedgers: map[string]string{},
	}
}

// restoreState sets the state by the record, which was restored from the store, or is new.
func (i *identity) restoreState(settings Settings) error {
	if i.record.LedgerID != settings.LedgerID || i.record.Router != settings.Router {
		return fmt.Errorf("the ledger is %q of %q, not %q of %q",
			i.record.LedgerID, i.record.Router, settings.LedgerID, settings.Router)
	}
	if i.record.Confirmed {
		i.state = identityConfirmed
	}
	return nil
}

// confirm ends identityUnconfirmed: all others have confirmed the identity.
func (i *identity) confirm() {
	i.state = identityConfirmed
	i.record.Confirmed = true
}

// conflict ends identityUnconfirmed: a router knows another ledger under this router's name. In all other states it
// changes nothing.
func (i *identity) conflict(by string) {
	if i.state == identityUnconfirmed {
		i.state, i.err = identityConflict, NameTakenError{by}
	}
}

// stale ends all other states: a router has received more from this ledger than the ledger knows.
func (i *identity) stale(by string) {
	i.state, i.err = identityStale, StaleLedgerError{by}
}

// IdentityError returns why this router applies no top-ups, as a NameTakenError, or spends nothing, as a
// StaleLedgerError; nil if neither is so.
func (l *Ledger) IdentityError() error { return l.identity.err }

// confirmIdentity asks all others among whom top-ups are divided whether they know another ledger under this router's
// name, until all have said that they don't: only then it is certain that nobody else has had this router's portions.
// A ledger that is confirmed asks each router once after each start, too, to learn whether it is stale.
func (l *Ledger) confirmIdentity(now time.Duration) {
	confirmedByAll := true
	for _, router := range l.topUps.routers(l.settings.Router) {
		if l.identity.confirmedBy[router] {
			continue
		}
		confirmedByAll = false
		if !l.awaitsIdentityReply(router) {
			l.requestIdentity(now, router)
		}
	}
	if confirmedByAll && len(l.topUps.listed) > 0 && l.identity.state == identityUnconfirmed {
		l.identity.confirm()
		l.writes.change(func(time.Duration) { l.applyListedTopUps() }, kindIdentity)
	}
}

func (l *Ledger) awaitsIdentityReply(router string) bool {
	for _, sent := range l.unsettled {
		if sent == (sentMessage{messageIdentity, router}) {
			return true
		}
	}
	return false
}

func (l *Ledger) requestIdentity(now time.Duration, router string) {
	request := message{Kind: messageIdentity}
	if t := l.transfers[router]; t != nil {
		request.Sequence = t.record.Sequence
	}
	l.send(now, router, request, identityInterval)
}

// identityRequestCompleted handles the reply of a router that was asked. Without a reply the router is asked again.
func (l *Ledger) identityRequestCompleted(router string, completion messaging.Completion) {
	if completion.Err != nil {
		return
	}
	switch string(completion.Reply) {
	case ackAccepted:
		l.identity.confirmedBy[router] = true
	case ackStale:
		l.identity.stale(router)
	default:
		l.identity.conflict(router)
	}
}

// receiveIdentityRequest replies whether another ledger is known under a router's name, and whether this router has
// received more from the ledger than that one knows. The first ledger that asks is accepted, once that is durable.
func (l *Ledger) receiveIdentityRequest(delivery messaging.Delivery, m message) {
	known := l.identity.knownLedgers[delivery.From]
	switch {
	case known != "" && known != m.LedgerID:
		l.acknowledge(delivery, ackRejected)
	case l.received[m.LedgerID] > m.Sequence:
		l.acknowledge(delivery, ackStale)
	case known == m.LedgerID:
		l.acknowledgeWhenDurable(delivery)
	default:
		l.identity.knownLedgers[delivery.From] = m.LedgerID
		l.writes.change(nil, knownLedgerKey(delivery.From))
		l.acknowledgeWhenDurable(delivery)
	}
}
