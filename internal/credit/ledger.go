package credit

import (
	"fmt"
	"iter"
	"maps"
	"slices"
	"time"

	"hillknot/internal/cluster/messaging"
)

// Ledger holds one router's part of all balances. It is not safe for concurrent use.
type Ledger struct {
	settings Settings
	accounts map[string]*account
	topUps   topUpRegistry
	identity identity
	writes   writeQueue

	messenger      *messaging.Messenger
	unacknowledged map[uint64]sentMessage // messages that are not acknowledged yet, by message ID
	peers          peerTable
	transfers      map[string]*transfer // by the names of their records
	received       map[string]uint64    // sequence number of the latest transfer received, by the sending ledger's ID

	// Totals may be read at any time between two calls of methods.
	Totals Totals
}

// Totals holds amounts and numbers of requests since the start of the process. Amounts are in millionths of a credit.
type Totals struct {
	Charged, Released             int64
	TransferredOut, TransferredIn int64

	RejectedExhausted, RejectedPaced, RejectedPending uint64 // numbers of requests
}

// New returns the ledger of a process that has just started, restored from the records that its store holds. It returns
// an error if the settings are invalid, a record cannot be decoded, or the records belong to another ledger or router.
func New(settings Settings, records []Record) (*Ledger, error) {
	if err := settings.Validate(); err != nil {
		return nil, fmt.Errorf("credit: %w", err)
	}
	l := &Ledger{
		settings:       settings,
		accounts:       map[string]*account{},
		topUps:         topUpRegistry{applied: map[string]topUpRecord{}},
		identity:       newIdentity(settings),
		writes:         writeQueue{changed: map[string]struct{}{}},
		messenger:      messaging.New(messaging.Defaults(settings.Router, settings.Incarnation)),
		unacknowledged: map[uint64]sentMessage{},
		peers:          peerTable{reports: map[string]*peerReport{}},
		transfers:      map[string]*transfer{},
		received:       map[string]uint64{},
	}
	for _, record := range records {
		if err := l.restore(record); err != nil {
			return nil, fmt.Errorf("credit: restore ledger record %q: %w", record.Key, err)
		}
	}
	if err := l.identity.restoreState(settings); err != nil {
		return nil, fmt.Errorf("credit: %w", err)
	}
	l.writes.markChanged(nil, kindIdentity)
	return l, nil
}

// Tick updates spending rates and levels, withdraws rights before they are needed, and exchanges balances and rights with
// other routers. It is due every Settings.TickInterval; a late call does no harm.
func (l *Ledger) Tick(now time.Duration) {
	l.messenger.Tick(now)
	l.handleCompletions(now)
	for a := range l.sortedAccounts() {
		a.updateRate(l.settings.TickInterval)
		l.updateLevel(now, a)
		l.rebalance(now, a)
		a.rejectedSinceTick = false
	}
	l.reportBalances(now)
	l.resendTransfers(now)
	l.confirmIdentity(now)
}

// Close returns the available rights to the records. Reserve must not be called after it. The caller then writes the
// records that NextWrite returns.
func (l *Ledger) Close() {
	for a := range l.sortedAccounts() {
		l.returnAvailable(a, 0)
	}
}

// AccountStatus describes an account as this router knows it. Amounts are in millionths of a credit.
type AccountStatus struct {
	Account     string
	Level       Level
	Rights      int64 // on record; negative if more was taken back than was left
	Available   int64 // withdrawn, or being withdrawn
	Reserved    int64
	Charged     int64 // by this process
	HeldByPeers int64 // sum of what other routers have lately reported
}

// AccountStatuses returns the status of all accounts, sorted by name.
func (l *Ledger) AccountStatuses(now time.Duration) []AccountStatus {
	var statuses []AccountStatus
	for a := range l.sortedAccounts() {
		statuses = append(statuses, AccountStatus{
			Account:     a.name,
			Level:       a.pacer.level,
			Rights:      a.record.Rights,
			Available:   a.available + a.withdrawing,
			Reserved:    a.reserved,
			Charged:     a.charged,
			HeldByPeers: l.peers.balance(now, a.name),
		})
	}
	return statuses
}

// sortedAccounts returns an iterator over all accounts, sorted by name.
func (l *Ledger) sortedAccounts() iter.Seq[*account] {
	return func(yield func(*account) bool) {
		for _, name := range slices.Sorted(maps.Keys(l.accounts)) {
			if !yield(l.accounts[name]) {
				return
			}
		}
	}
}
