package credit

import (
	"fmt"
	"time"

	"hillknot/internal/cluster/messaging"
)

// identityInterval is the timeout of a request to confirm the identity. After it a new request is sent.
const identityInterval = time.Second

// identityState determines whether this ledger may apply top-ups and spend.
//
//	unconfirmed --all other routers confirm--> confirmed
//	unconfirmed --one router rejects--> conflict
//	any --one router has received later transfers--> stale
type identityState uint8

const (
	identityUnconfirmed identityState = iota // applies no top-ups yet; spends what other routers transfer to it
	identityConfirmed                        // applies top-ups
	identityConflict                         // applies no top-ups: another ledger may have applied them; spends as identityUnconfirmed
	identityStale                            // spends nothing, because the ledger is a copy of an earlier state
)

// identity ensures that only one ledger acts under this router's name, and holds the ledger IDs that this router knows of
// other routers.
type identity struct {
	state identityState
	err   error // NameTakenError in identityConflict, StaleLedgerError in identityStale, else nil

	record       identityRecord
	replies      map[string]bool   // of other routers to this process, by name: whether it has confirmed the identity
	knownLedgers map[string]string // ledger IDs of other routers, by router name
	// requesters holds the latest ledger that has sent an identity request to this process, by router name: a router that has lost its
	// disk has forgotten its reply, and has to be asked again.
	requesters map[string]string
}

func newIdentity(settings Settings) identity {
	return identity{
		record:       identityRecord{LedgerID: settings.LedgerID, Router: settings.Router},
		replies:      map[string]bool{},
		knownLedgers: map[string]string{},
		requesters:   map[string]string{},
	}
}

// restoreState sets the state from the record, which was restored from the store or is new. It returns an error if the
// record belongs to another ledger or router than the settings name.
func (i *identity) restoreState(settings Settings) error {
	if i.record.LedgerID != settings.LedgerID || i.record.Router != settings.Router {
		return fmt.Errorf("the records are of ledger %q of router %q, want ledger %q of router %q",
			i.record.LedgerID, i.record.Router, settings.LedgerID, settings.Router)
	}
	if i.record.Confirmed {
		i.state = identityConfirmed
	}
	return nil
}

// markConfirmed changes the state to identityConfirmed. It is called once all other routers have confirmed the identity.
func (i *identity) markConfirmed() {
	i.state = identityConfirmed
	i.record.Confirmed = true
}

// markConflict changes identityUnconfirmed to identityConflict: peer knows a different ledger under this router's name.
// In all other states it changes nothing.
func (i *identity) markConflict(peer string) {
	if i.state == identityUnconfirmed {
		i.state, i.err = identityConflict, NameTakenError{peer}
	}
}

// markStale changes any state to identityStale: peer has received more transfers from this ledger than the ledger has on
// record.
func (i *identity) markStale(peer string) {
	i.state, i.err = identityStale, StaleLedgerError{peer}
}

// noteRequest records that a ledger of another router has sent an identity request. If it is its first, its router is asked again, too.
func (i *identity) noteRequest(router, ledgerID string) {
	previous, known := i.requesters[router]
	if previous == ledgerID || !known && len(i.requesters) >= maxPeers {
		return
	}
	i.requesters[router] = ledgerID
	delete(i.replies, router)
}

// confirmations returns how many routers have confirmed the identity to this process.
func (i *identity) confirmations() int {
	count := 0
	for _, confirmed := range i.replies {
		if confirmed {
			count++
		}
	}
	return count
}

// IdentityError returns a NameTakenError if this router applies no top-ups because of a conflict, a StaleLedgerError if
// it spends nothing, and nil otherwise.
func (l *Ledger) IdentityError() error { return l.identity.err }

// confirmIdentity asks all other routers among which top-ups are divided whether they know a different ledger under this
// router's name, and asks again until each has replied. If a top-up names this router, it asks the whole cluster, until as many routers as
// there are have replied: there may be no other router among which top-ups are divided, or none that still knows. Only then is
// it certain that no other ledger has received this router's portions. A confirmed ledger also asks each router after each start, until it
// has replied, so that the router knows this ledger, and to learn whether the ledger is stale.
func (l *Ledger) confirmIdentity(now time.Duration) {
	confirmed := l.requestIdentities(now, l.topUps.routers(l.settings.Router))
	if l.topUps.names(l.settings.Router) {
		l.requestIdentities(now, l.peers.alive)
		confirmed = confirmed && l.identity.confirmations() >= l.settings.ClusterSize-1
	}
	if confirmed && len(l.topUps.listed) > 0 && l.identity.state == identityUnconfirmed {
		l.identity.markConfirmed()
		l.writes.markChanged(func(time.Duration) { l.applyListedTopUps() }, kindIdentity)
	}
}

// requestIdentities asks those of the routers that have not replied, unless they are being asked. It reports whether all have confirmed the
// identity.
func (l *Ledger) requestIdentities(now time.Duration, routers []string) (confirmedByAll bool) {
	confirmedByAll = true
	for _, router := range routers {
		confirmed, replied := l.identity.replies[router]
		confirmedByAll = confirmedByAll && confirmed
		if !replied && !l.awaitsIdentityReply(router) {
			l.requestIdentity(now, router)
		}
	}
	return confirmedByAll
}

func (l *Ledger) awaitsIdentityReply(router string) bool {
	for _, sent := range l.unacknowledged {
		if sent == (sentMessage{kind: messageIdentity, receiver: router}) {
			return true
		}
	}
	return false
}

func (l *Ledger) requestIdentity(now time.Duration, router string) {
	request := message{Kind: messageIdentity}
	for _, t := range l.transfersTo(router) {
		request.addSequence(l.ledgerOf(t), t.record.Sequence)
	}
	l.send(now, router, request, identityInterval)
}

// identityRequestCompleted handles the reply to an identity request. Without a reply the router is asked again at a later
// tick.
func (l *Ledger) identityRequestCompleted(router string, completion messaging.Completion) {
	if completion.Err != nil {
		return
	}
	l.identity.replies[router] = string(completion.Reply) == ackAccepted
	switch string(completion.Reply) {
	case ackAccepted:
	case ackStale:
		l.identity.markStale(router)
	default:
		l.identity.markConflict(router)
	}
}

// receiveIdentityRequest rejects a ledger if this router knows a different one under the sender's name, and replies that
// it is stale if this router has received later transfers from it than it has on record. The first ledger that asks under
// a name is accepted, once its ID is durable.
func (l *Ledger) receiveIdentityRequest(delivery messaging.Delivery, m message) {
	l.identity.noteRequest(delivery.From, m.LedgerID)
	known := l.identity.knownLedgers[delivery.From]
	switch {
	case known != "" && known != m.LedgerID:
		l.acknowledge(delivery, ackRejected)
	case l.received[m.LedgerID] > m.sequenceTo(l.settings.LedgerID):
		l.acknowledge(delivery, ackStale)
	case known == m.LedgerID:
		l.acknowledgeWhenDurable(delivery)
	default:
		l.identity.knownLedgers[delivery.From] = m.LedgerID
		l.writes.markChanged(nil, knownLedgerKey(delivery.From))
		l.acknowledgeWhenDurable(delivery)
	}
}
