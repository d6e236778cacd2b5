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

// Ledgers outlive the releases that write them, and routers of different releases exchange these messages. The files of
// testdata/golden were written at commit 86ccf0f.
//
// What reaches the bytes:
//   - meta, accountLine, applied, gift, message and holding are CBOR arrays (`cbor:",toarray"`), so that the order, the types and
//     the number of their exported fields count, and no name does: meta.{Ledger, Self, Born}, accountLine.{Rights, Drawn},
//     applied.{Print, Part}, gift.{Seq, Account, Amount}, message.{Kind, Ledger, Account, Amount, Seq, Told}, holding.{Account,
//     Amount, Rate}. A struct that loses its field _ with the tag is written as a map of its fields' names.
//   - gift keeps its other fields out of the bytes by being unexported: to, written and parcel, if one is exported, are written.
//   - The constants of kind are sent as numbers, so their order counts.
//   - The ledger's keys are texts of Ledger.load and Ledger.change: "meta", "account/", "topup/", "gift/", "got/", "name/".
//   - The answers are the texts yes, no and stale.
//   - Topup.print hashes ID, Account, Amount and Among, in this order and in the form of %q; the ledger holds the hash. A release
//     that hashes otherwise refuses the whole list of top-ups.

var (
	goldenTopup   = TopUp{ID: "inv-1", Account: "acme", Amount: 9_000_001, Routers: []string{"r2", "r1", `r"3`}}
	goldenMeta    = meta{Ledger: "0123456789abcdef0123456789abcdef", Self: "r1", Born: true}
	goldenAccount = accountLine{Rights: 5_000_000_000, Drawn: 70_000}
	goldenApplied = applied{Print: goldenTopup.print(), Part: 3_000_000}
	goldenGift    = gift{Seq: 300, Account: "acme", Amount: 1 << 33}
	goldenGot     = uint64(70_000)
	goldenName    = "fedcba9876543210fedcba9876543210"
)

// One value of each kind of line.
func TestGoldenLines(t *testing.T) {
	golden.Nonzero(t, goldenMeta)
	golden.Nonzero(t, goldenAccount)
	golden.Nonzero(t, goldenApplied)
	golden.Nonzero(t, goldenGift, "to", "written", "parcel")
	for name, want := range map[string]any{"meta": goldenMeta, "account": goldenAccount, "topup": goldenApplied, "gift": goldenGift,
		"got": goldenGot, "name": goldenName, "account-overdrawn": accountLine{Rights: -5, Drawn: -6},
		"topup-back": applied{Print: goldenTopup.print(), Part: -3}, "gift-taken": gift{Seq: 301, Account: "acme"}} {
		t.Run(name, func(t *testing.T) {
			file := "line-" + name + ".hex"
			value, err := cbor.Marshal(want) // as Ledger.NextWrite does
			if err != nil {
				t.Fatal(err)
			}
			golden.Same(t, file, value)
			got := reflect.New(reflect.TypeOf(want))
			if err := cbor.Unmarshal(golden.Read(t, file), got.Interface()); err != nil || !reflect.DeepEqual(got.Elem().Interface(), want) {
				t.Errorf("read as %+v, %v; want %+v", got.Elem(), err, want)
			}
		})
	}
}

// goldenLedger is a whole ledger: its keys, and the files of its values.
var goldenLedger = map[string]string{"meta": "meta", "account/acme": "account", "account/ac/me": "account-overdrawn", "topup/inv-1": "topup",
	"topup/inv/2": "topup-back", "gift/r2": "gift", "gift/r3": "gift-taken", "got/" + goldenName: "got", "name/r2": "name"}

// A book reads every kind of line from the ledger, and writes each as it was.
func TestGoldenBook(t *testing.T) {
	var lines []Record
	for _, key := range slices.Sorted(maps.Keys(goldenLedger)) {
		lines = append(lines, Record{key, golden.Read(t, "line-"+goldenLedger[key]+".hex")})
	}
	b, err := New(Defaults("r1", 11, goldenMeta.Ledger), lines)
	if err != nil {
		t.Fatal(err)
	}
	if b.meta != goldenMeta {
		t.Errorf("meta %+v, want %+v", b.meta, goldenMeta)
	}
	if want := (map[string]accountLine{"acme": goldenAccount, "ac/me": {Rights: -5, Drawn: -6}}); len(b.accounts) != len(want) ||
		b.accounts["acme"].line != want["acme"] || b.accounts["ac/me"].line != want["ac/me"] {
		t.Errorf("accounts %+v, want %+v", b.accounts, want)
	}
	if want := map[string]applied{"inv-1": goldenApplied, "inv/2": {Print: goldenTopup.print(), Part: -3}}; !reflect.DeepEqual(b.topups, want) {
		t.Errorf("top-ups %+v, want %+v", b.topups, want)
	}
	if want := map[string]*gift{"r2": {Seq: 300, Account: "acme", Amount: 1 << 33, to: "r2", written: true},
		"r3": {Seq: 301, Account: "acme", to: "r3", written: true}}; !reflect.DeepEqual(b.gifts, want) {
		t.Errorf("gifts %+v, want %+v", b.gifts, want)
	}
	if want := map[string]uint64{goldenName: goldenGot}; !reflect.DeepEqual(b.got, want) {
		t.Errorf("taken %+v, want %+v", b.got, want)
	}
	if want := map[string]string{"r2": goldenName}; !reflect.DeepEqual(b.names, want) {
		t.Errorf("names %+v, want %+v", b.names, want)
	}
	b.change(nil, slices.Collect(maps.Keys(goldenLedger))...)
	if out := b.NextWrite(); !reflect.DeepEqual(out, lines) {
		t.Errorf("written anew as %q, want %q", out, lines)
	}
}

// The hash that tells top-ups of one id apart is in ledgers.
func TestGoldenPrint(t *testing.T) {
	for name, topup := range map[string]TopUp{"print.hex": goldenTopup, "print-back.hex": {ID: "inv \"2\"", Account: "ünion", Amount: -5, Routers: []string{"r1"}}} {
		p := topup.print()
		golden.Same(t, name, p[:])
	}
}

var goldenMessages = map[string]message{
	"message.hex": {Kind: kindGive, Ledger: goldenMeta.Ledger, Account: "acme", Amount: 1 << 33, Seq: 300,
		Told: []holding{{Account: "acme", Amount: 70_000, Rate: 2.5}, {Account: "ac/me", Amount: 5, Rate: 1.0 / 3}}},
	"tell.hex":  {Kind: kindTell, Ledger: goldenMeta.Ledger, Told: []holding{{Account: "acme", Amount: 70_000, Rate: 2.5}}},
	"beg.hex":   {Kind: kindBeg, Ledger: goldenMeta.Ledger, Account: "acme", Amount: 300},
	"give.hex":  {Kind: kindGive, Ledger: goldenMeta.Ledger, Account: "acme", Amount: 300, Seq: 7},
	"birth.hex": {Kind: kindBirth, Ledger: goldenMeta.Ledger, Seq: 7},

	"birth-other.hex": {Kind: kindBirth, Ledger: goldenName},
	"beg-other.hex":   {Kind: kindBeg, Ledger: goldenName, Account: "acme", Amount: 300},
	"give-other.hex":  {Kind: kindGive, Ledger: goldenName, Account: "acme", Amount: 300, Seq: 1},
	"birth-old.hex":   {Kind: kindBirth, Ledger: goldenName},
}

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
	for name, want := range map[string]string{"answer-yes.txt": yes, "answer-no.txt": no, "answer-stale.txt": stale} {
		golden.Same(t, name, []byte(want))
	}
}

// A book takes each message of before, answers it, and writes and sends what follows: the gift that was asked for, byte for byte.
// No rate is reckoned here, as its last bits may differ between machines.
func TestGoldenTaken(t *testing.T) {
	b, err := New(Defaults("r1", 11, goldenMeta.Ledger), []Record{{"account/acme", golden.Read(t, "line-account.hex")}})
	if err != nil {
		t.Fatal(err)
	}
	other := messaging.New(messaging.Defaults("r2", 22))
	replies, now := map[uint64]string{}, time.Second
	turn := func() (bodies [][]byte, lines []Record) {
		for range 8 { // they have to learn of each other first
			now += time.Second / 2
			for _, p := range other.DuePackets(now) {
				b.ReceivePacket(now, p.Data)
			}
			if w := b.NextWrite(); w != nil {
				lines = append(lines, w...)
				b.WriteCompleted(now, w, nil)
			}
			for _, p := range b.OutgoingPackets(now) {
				for _, a := range other.Receive(now, p.Data) {
					bodies = append(bodies, a.Body)
				}
			}
		}
		for _, d := range other.Completions() {
			replies[d.ID] = string(d.Reply)
		}
		return bodies, lines
	}
	turn()
	for _, c := range []struct {
		file, reply string
		sent        string            // file of the message that follows; empty: there is none
		lines       map[string]string // files of the lines written, by their keys
	}{
		{file: "tell.hex", reply: yes},
		{file: "birth-other.hex", reply: yes, lines: map[string]string{"name/r2": "line-name.hex"}},
		{file: "birth.hex", reply: no}, // another ledger under the same name
		{file: "beg-other.hex", reply: yes, sent: "give-taken.hex",
			lines: map[string]string{"account/acme": "line-account-given.hex", "gift/r2": "line-gift-given.hex"}},
		{file: "give-other.hex", reply: yes, lines: map[string]string{"account/acme": "line-account-got.hex", "got/" + goldenName: "line-got-first.hex"}},
		{file: "birth-old.hex", reply: stale}, // it has forgotten what it gave
	} {
		id, err := other.Send(now, "r1", golden.Read(t, c.file), now+time.Minute)
		if err != nil {
			t.Fatal(err)
		}
		bodies, lines := turn()
		if replies[id] != c.reply {
			t.Errorf("%s: answered %q, want %q", c.file, replies[id], c.reply)
		}
		if (len(bodies) == 1) != (c.sent != "") || len(bodies) > 1 || len(lines) != len(c.lines) {
			t.Fatalf("%s: sent %x, wrote %q; want %q, %v", c.file, bodies, lines, c.sent, c.lines)
		}
		for _, body := range bodies {
			golden.Same(t, c.sent, body)
		}
		for _, l := range lines {
			golden.Same(t, c.lines[l.Key], l.Value)
		}
	}
}
