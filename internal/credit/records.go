package credit

import (
	"errors"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

// Record is a durable record of the ledger. Its value is encoded as CBOR.
type Record struct {
	Key   string
	Value []byte
}

// Kinds of records. A key is "kind/name". The kinds are stored in existing ledgers and must not change.
const (
	kindIdentity    = "meta"    // no name; identityRecord
	kindAccount     = "account" // by account; accountRecord
	kindTopUp       = "topup"   // by top-up ID; topUpRecord
	kindTransfer    = "gift"    // by transferName; transferRecord
	kindReceived    = "got"     // by the sending ledger's ID; sequence number of the latest transfer received from it
	kindKnownLedger = "name"    // by router; ID of its ledger
)

func accountKey(account string) string    { return kindAccount + "/" + account }
func topUpKey(id string) string           { return kindTopUp + "/" + id }
func transferKey(name string) string      { return kindTransfer + "/" + name }
func receivedKey(ledgerID string) string  { return kindReceived + "/" + ledgerID }
func knownLedgerKey(router string) string { return kindKnownLedger + "/" + router }

// ledgerSeparator separates the name of a router, which does not contain it, from the ID of a ledger.
const ledgerSeparator = "\x00"

// transferName returns the name of the record of the transfers to a ledger of a router. It is the router's name alone, as in
// version 0.16.0 and earlier, if ledgerID is empty.
func transferName(router, ledgerID string) string {
	if ledgerID == "" {
		return router
	}
	return router + ledgerSeparator + ledgerID
}

// splitKey returns the kind and the name of a record's key.
func splitKey(key string) (kind, name string) {
	kind, name, _ = strings.Cut(key, "/")
	return kind, name
}

// The values of records are CBOR arrays, so the order of their fields must not change; names of fields are not stored.

// identityRecord holds the ID and the router of the ledger.
type identityRecord struct {
	_         struct{} `cbor:",toarray"`
	LedgerID  string
	Router    string
	Confirmed bool // all other routers have confirmed that they know no other ledger under this router's name
}

// accountRecord is the durable part of an account.
type accountRecord struct {
	_         struct{} `cbor:",toarray"`
	Rights    int64    // that can be withdrawn or transferred; negative if more was taken back than was left
	Withdrawn int64    // total, minus the amounts returned to the record
}

// topUpRecord records that this router has applied its portion of a top-up.
type topUpRecord struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint [32]byte
	Portion     int64
}

// transferRecord describes the latest transfer to a ledger.
type transferRecord struct {
	_        struct{} `cbor:",toarray"`
	Sequence uint64   // sequence number among this ledger's transfers to that one, from 1
	Account  string
	Amount   int64 // 0 once the transfer is complete
}

var errUnknownRecordKind = errors.New("unknown kind of record")

// restore adds a record that was read from the store to the ledger. It returns an error if the kind is unknown or the
// value cannot be decoded.
func (l *Ledger) restore(record Record) error {
	kind, name := splitKey(record.Key)
	switch kind {
	case kindIdentity:
		return cbor.Unmarshal(record.Value, &l.identity.record)
	case kindAccount:
		return cbor.Unmarshal(record.Value, &l.account(name).record)
	case kindTopUp:
		return restoreInto(l.topUps.applied, name, record.Value)
	case kindTransfer:
		receiver, ledgerID, _ := strings.Cut(name, ledgerSeparator)
		t := &transfer{receiver: receiver, ledger: ledgerID}
		l.transfers[name] = t
		err := cbor.Unmarshal(record.Value, &t.record)
		if t.record.Amount > 0 {
			t.state = transferReady
		}
		return err
	case kindReceived:
		return restoreInto(l.received, name, record.Value)
	case kindKnownLedger:
		return restoreInto(l.identity.knownLedgers, name, record.Value)
	}
	return errUnknownRecordKind
}

func restoreInto[V any](values map[string]V, name string, encoded []byte) error {
	var value V
	err := cbor.Unmarshal(encoded, &value)
	values[name] = value
	return err
}

// encode returns the record with the given key and its present value.
func (l *Ledger) encode(key string) (Record, error) {
	value, err := cbor.Marshal(l.recordValue(key))
	return Record{key, value}, err
}

func (l *Ledger) recordValue(key string) any {
	kind, name := splitKey(key)
	switch kind {
	case kindIdentity:
		return l.identity.record
	case kindAccount:
		return l.accounts[name].record
	case kindTopUp:
		return l.topUps.applied[name]
	case kindTransfer:
		return l.transfers[name].record
	case kindReceived:
		return l.received[name]
	default: // kindKnownLedger
		return l.identity.knownLedgers[name]
	}
}
