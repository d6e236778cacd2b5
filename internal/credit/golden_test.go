package credit

import (
	"maps"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hillknot/internal/cluster/messaging"
	"hillknot/internal/testutil/golden"
)

// Ledgers outlive the releases that write them, and routers of different releases exchange these messages. The files in
// testdata/golden were written at commit 86ccf0f.
//
// The encoded bytes depend on the following:
//   - identityRecord, accountRecord, topUpRecord, transferRecord, message and balanceReport are CBOR arrays
//     (`cbor:",toarray"`), so the order, the types and the number of their exported fields matter, and the names do
//     not. A struct without the field _ and its tag would be written as a map with the names of its fields as keys.
//   - The constants of messageKind are sent as numbers, so their order matters.
//   - The keys of records begin with the constants kindIdentity to kindKnownLedger: "meta", "account/", "topup/",
//     "gift/", "got/", "name/".
//   - The replies are the texts of ackAccepted, ackRejected, ackStale and ackOtherLedger.
//   - A transfer names its ledger in Balances, which versions up to 0.16.0 leave empty: give-taken.hex is one of theirs, and
//     give-addressed.hex the same transfer as it is sent now.
//   - TopUp.fingerprint hashes ID, Account, Amount and Routers, in this order and formatted with "%q %q %d %q"; the
//     ledger holds the hash. A release that hashes differently would reject the whole list of top-ups.

var (
	goldenTopUp             = TopUp{ID: "inv-1", Account: "acme", Amount: 9_000_001, Routers: []string{"r2", "r1", `r"3`}}
	goldenIdentity          = identityRecord{LedgerID: "0123456789abcdef0123456789abcdef", Router: "r1", Confirmed: true}
	goldenAccount           = accountRecord{Rights: 5_000_000_000, Withdrawn: 70_000}
	goldenTopUpRecord       = topUpRecord{Fingerprint: goldenTopUp.fingerprint(), Portion: 3_000_000}
	goldenTransfer          = transferRecord{Sequence: 300, Account: "acme", Amount: 1 << 33}
	goldenOverdrawn         = accountRecord{Rights: -5, Withdrawn: -6}
	goldenNegativeTopUp     = topUpRecord{Fingerprint: goldenTopUp.fingerprint(), Portion: -3}
	goldenCompletedTransfer = transferRecord{Sequence: 301, Account: "acme"}
	goldenReceived          = uint64(70_000)
	goldenOtherLedger       = "fedcba9876543210fedcba9876543210"
)

// One value of each kind of record encodes to the golden bytes and decodes from them.
func TestGoldenRecords(t *testing.T) {
	golden.Nonzero(t, goldenIdentity)
	golden.Nonzero(t, goldenAccount)
	golden.Nonzero(t, goldenTopUpRecord)
	golden.Nonzero(t, goldenTransfer)
	for name, want := range map[string]any{
		"meta":              goldenIdentity,
		"account":           goldenAccount,
		"account-overdrawn": goldenOverdrawn,
		"topup":             goldenTopUpRecord,
		"topup-back":        goldenNegativeTopUp,
		"gift":              goldenTransfer,
		"gift-taken":        goldenCompletedTransfer,
		"got":               goldenReceived,
		"name":              goldenOtherLedger,
	} {
		t.Run(name, func(t *testing.T) {
			file := "line-" + name + ".hex"
			value, err := cbor.Marshal(want) // as Ledger.NextWrite does
			if err != nil {
				t.Fatal(err)
			}
			golden.Same(t, file, value)
			got := reflect.New(reflect.TypeOf(want))
			err = cbor.Unmarshal(golden.Read(t, file), got.Interface())
			if err != nil || !reflect.DeepEqual(got.Elem().Interface(), want) {
				t.Errorf("read as %+v, %v; want %+v", got.Elem(), err, want)
			}
		})
	}
}

// goldenLedger holds the keys of a whole ledger, with the names of the files that hold their values.
var goldenLedger = map[string]string{
	"meta":                     "meta",
	"account/acme":             "account",
	"account/ac/me":            "account-overdrawn",
	"topup/inv-1":              "topup",
	"topup/inv/2":              "topup-back",
	"gift/r2":                  "gift",
	"gift/r3":                  "gift-taken",
	"got/" + goldenOtherLedger: "got",
	"name/r2":                  "name",
}

// A ledger restores every kind of record, and writes each with the same bytes again.
func TestGoldenLedgerRestoredAndRewritten(t *testing.T) {
	var records []Record
	for _, key := range slices.Sorted(maps.Keys(goldenLedger)) {
		records = append(records, Record{key, golden.Read(t, "line-"+goldenLedger[key]+".hex")})
	}
	ledger, err := New(Defaults("r1", 11, goldenIdentity.LedgerID), records)
	if err != nil {
		t.Fatal(err)
	}
	if ledger.identity.record != goldenIdentity {
		t.Errorf("identity %+v, want %+v", ledger.identity.record, goldenIdentity)
	}
	accounts := map[string]accountRecord{}
	for name, a := range ledger.accounts {
		accounts[name] = a.record
	}
	if want := (map[string]accountRecord{"acme": goldenAccount, "ac/me": goldenOverdrawn}); !maps.Equal(accounts, want) {
		t.Errorf("accounts %+v, want %+v", accounts, want)
	}
	if want := map[string]topUpRecord{
		"inv-1": goldenTopUpRecord,
		"inv/2": goldenNegativeTopUp,
	}; !reflect.DeepEqual(ledger.topUps.applied, want) {
		t.Errorf("top-ups %+v, want %+v", ledger.topUps.applied, want)
	}
	if want := map[string]*transfer{
		"r2": {receiver: "r2", state: transferReady, record: goldenTransfer},
		"r3": {receiver: "r3", state: transferIdle, record: goldenCompletedTransfer},
	}; !reflect.DeepEqual(ledger.transfers, want) {
		t.Errorf("transfers %+v, want %+v", ledger.transfers, want)
	}
	if want := map[string]uint64{goldenOtherLedger: goldenReceived}; !reflect.DeepEqual(ledger.received, want) {
		t.Errorf("received %+v, want %+v", ledger.received, want)
	}
	if want := map[string]string{"r2": goldenOtherLedger}; !reflect.DeepEqual(ledger.identity.knownLedgers, want) {
		t.Errorf("known ledgers %+v, want %+v", ledger.identity.knownLedgers, want)
	}
	ledger.writes.markChanged(nil, slices.Collect(maps.Keys(goldenLedger))...)
	if out := ledger.NextWrite(); !reflect.DeepEqual(out, records) {
		t.Errorf("written again as %q, want %q", out, records)
	}
}

// The hash that distinguishes top-ups with the same ID is stored in ledgers and must not change.
func TestGoldenFingerprint(t *testing.T) {
	for name, topUp := range map[string]TopUp{
		"print.hex":      goldenTopUp,
		"print-back.hex": {ID: "inv \"2\"", Account: "ünion", Amount: -5, Routers: []string{"r1"}},
	} {
		fingerprint := topUp.fingerprint()
		golden.Same(t, name, fingerprint[:])
	}
}

var goldenMessages = map[string]message{
	"message.hex": {
		Kind: messageTransfer, LedgerID: goldenIdentity.LedgerID, Account: "acme", Amount: 1 << 33, Sequence: 300,
		Balances: []balanceReport{
			{Account: "acme", Amount: 70_000, Rate: 2.5},
			{Account: "ac/me", Amount: 5, Rate: 1.0 / 3},
		},
	},
	"tell.hex": {
		Kind: messageBalances, LedgerID: goldenIdentity.LedgerID,
		Balances: []balanceReport{{Account: "acme", Amount: 70_000, Rate: 2.5}},
	},
	"beg.hex":   {Kind: messageTransferRequest, LedgerID: goldenIdentity.LedgerID, Account: "acme", Amount: 300},
	"give.hex":  {Kind: messageTransfer, LedgerID: goldenIdentity.LedgerID, Account: "acme", Amount: 300, Sequence: 7},
	"birth.hex": {Kind: messageIdentity, LedgerID: goldenIdentity.LedgerID, Sequence: 7},

	"birth-other.hex": {Kind: messageIdentity, LedgerID: goldenOtherLedger},
	"beg-other.hex":   {Kind: messageTransferRequest, LedgerID: goldenOtherLedger, Account: "acme", Amount: 300},
	"give-other.hex":  {Kind: messageTransfer, LedgerID: goldenOtherLedger, Account: "acme", Amount: 300, Sequence: 1},
	"birth-old.hex":   {Kind: messageIdentity, LedgerID: goldenOtherLedger},

	"give-addressed.hex": {Kind: messageTransfer, LedgerID: goldenIdentity.LedgerID, Account: "acme", Amount: 2_500_000_000, Sequence: 1,
		Balances: []balanceReport{{Account: goldenOtherLedger}}},
}

// Each kind of message, and each reply, encodes to the golden bytes; messages also decode from them.
func TestGoldenMessages(t *testing.T) {
	golden.Nonzero(t, goldenMessages["message.hex"])
	for name, want := range goldenMessages {
		t.Run(name, func(t *testing.T) {
			body, err := cbor.Marshal(&want) // as Ledger.send does
			if err != nil {
				t.Fatal(err)
			}
			golden.Same(t, name, body)
			var got message
			if err := cbor.Unmarshal(golden.Read(t, name), &got); err != nil || !reflect.DeepEqual(got, want) {
				t.Errorf("read as %+v, %v; want %+v", got, err, want)
			}
		})
	}
	for name, want := range map[string]string{
		"answer-yes.txt":   ackAccepted,
		"answer-no.txt":    ackRejected,
		"answer-stale.txt": ackStale,
		"answer-other.txt": ackOtherLedger,
	} {
		golden.Same(t, name, []byte(want))
	}
}

// A ledger acknowledges each golden message, and writes the expected records and sends the requested transfer, byte for
// byte. The test uses no spending rate, because the last bits of its value may differ between machines.
func TestGoldenMessagesReceived(t *testing.T) {
	records := []Record{{"account/acme", golden.Read(t, "line-account.hex")}}
	ledger, err := New(Defaults("r1", 11, goldenIdentity.LedgerID), records)
	if err != nil {
		t.Fatal(err)
	}
	other := messaging.New(messaging.Defaults("r2", 22))
	replies, now := map[uint64]string{}, time.Second
	exchangePackets := func() (bodies [][]byte, written []Record) {
		for range 8 { // the routers have to learn of each other first
			now += time.Second / 2
			for _, p := range other.DuePackets(now) {
				ledger.ReceivePacket(now, p.Data)
			}
			if group := ledger.NextWrite(); group != nil {
				written = append(written, group...)
				ledger.WriteCompleted(now, group, nil)
			}
			for _, p := range ledger.OutgoingPackets(now) {
				for _, delivery := range other.Receive(now, p.Data) {
					bodies = append(bodies, delivery.Body)
				}
			}
		}
		for _, completion := range other.Completions() {
			replies[completion.ID] = string(completion.Reply)
		}
		return bodies, written
	}
	exchangePackets()
	for _, c := range []struct {
		file, reply string
		sent        string            // file of the message that the ledger sends in response, or "" if it sends none
		written     map[string]string // files of the records written, by key
	}{
		{file: "tell.hex", reply: ackAccepted},
		{file: "birth-other.hex", reply: ackAccepted, written: map[string]string{"name/r2": "line-name.hex"}},
		{file: "birth.hex", reply: ackRejected}, // a different ledger under the same name
		{file: "beg-other.hex", reply: ackAccepted, sent: "give-addressed.hex",
			written: map[string]string{"account/acme": "line-account-given.hex", "gift/r2": "line-gift-given.hex"}},
		{file: "give-other.hex", reply: ackAccepted,
			written: map[string]string{"account/acme": "line-account-got.hex", "got/" + goldenOtherLedger: "line-got-first.hex"}},
		{file: "birth-old.hex", reply: ackStale}, // the sender no longer has its transfer on record
	} {
		id, err := other.Send(now, "r1", golden.Read(t, c.file), now+time.Minute)
		if err != nil {
			t.Fatal(err)
		}
		bodies, written := exchangePackets()
		if replies[id] != c.reply {
			t.Errorf("%s: acknowledged with %q, want %q", c.file, replies[id], c.reply)
		}
		if (len(bodies) == 1) != (c.sent != "") || len(bodies) > 1 || len(written) != len(c.written) {
			t.Fatalf("%s: sent %x, wrote %q; want %q, %v", c.file, bodies, written, c.sent, c.written)
		}
		for _, body := range bodies {
			golden.Same(t, c.sent, body)
		}
		for _, record := range written {
			golden.Same(t, c.written[record.Key], record.Value)
		}
	}
}
