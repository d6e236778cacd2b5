package credit

import (
	"errors"
	"testing"
)

// The replies of other routers change the state as the comment of identityState defines.
func TestIdentityTransitions(t *testing.T) {
	confirm := func(i *identity) { i.markConfirmed() }
	conflict := func(i *identity) { i.markConflict("r2") }
	stale := func(i *identity) { i.markStale("r3") }
	for name, test := range map[string]struct {
		events []func(*identity)
		want   identityState
		err    error
	}{
		"new":                           {nil, identityUnconfirmed, nil},
		"confirmed by all":              {[]func(*identity){confirm}, identityConfirmed, nil},
		"another ledger known":          {[]func(*identity){conflict}, identityConflict, NameTakenError{"r2"}},
		"late conflict once confirmed":  {[]func(*identity){confirm, conflict}, identityConfirmed, nil},
		"stale before the confirmation": {[]func(*identity){stale}, identityStale, StaleLedgerError{"r3"}},
		"stale after the confirmation":  {[]func(*identity){confirm, stale}, identityStale, StaleLedgerError{"r3"}},
		"stale after a conflict":        {[]func(*identity){conflict, stale}, identityStale, StaleLedgerError{"r3"}},
		"conflict after stale":          {[]func(*identity){stale, conflict}, identityStale, StaleLedgerError{"r3"}},
	} {
		t.Run(name, func(t *testing.T) {
			i := newIdentity(Defaults("r1", 1, "ledger"))
			for _, event := range test.events {
				event(&i)
			}
			if i.state != test.want || !errors.Is(i.err, test.err) {
				t.Errorf("state %d, error %v; want %d, %v", i.state, i.err, test.want, test.err)
			}
		})
	}
}

// A process restores the identity that an earlier process has recorded, and rejects the record of another router or
// ledger.
func TestIdentityRestoredFromOwnRecordOnly(t *testing.T) {
	settings := Defaults("r1", 1, "ledger")
	i := newIdentity(settings)
	i.record.Confirmed = true
	if err := i.restoreState(settings); err != nil || i.state != identityConfirmed {
		t.Errorf("restored own record: state %d, error %v", i.state, err)
	}
	for name, record := range map[string]identityRecord{
		"another router": {LedgerID: "ledger", Router: "r2"},
		"another ledger": {LedgerID: "other", Router: "r1"},
	} {
		i := newIdentity(settings)
		i.record = record
		if err := i.restoreState(settings); err == nil {
			t.Errorf("record of %s: restored without an error", name)
		}
	}
}
