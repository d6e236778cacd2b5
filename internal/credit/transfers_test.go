package credit

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hillknot/internal/cluster/messaging"
)

// checkConservation reports accounts of which more is held, charged and lost than was funded: rights have appeared from nothing.
func (c *cluster) checkConservation(t *testing.T, name string) {
	t.Helper()
	for account, sum := range c.funded {
		held, charged, lost := c.totalHeld(account), c.charged[account], c.lost[account]
		if held+charged+lost > sum {
			t.Errorf("%s: %d held, %d charged and %d lost of %d funded to %s", name, held, charged, lost, sum, account)
		}
	}
}

// A router that lives on transfers loses its disk. Its new ledger never counts a transfer to the lost one, whether or not the
// acknowledgement was lost and the sender was killed, and gets what the sender still holds.
func TestTransferCountsAtOneLedger(t *testing.T) {
	for _, test := range []struct {
		name                string
		acknowledged, kills bool
		disks               int  // of the receiver that are lost, one after the other
		senderDisk          bool // the sender's disk is lost, too
	}{
		{"acknowledged", true, false, 1, false},
		{"acknowledgement lost", false, false, 1, false},
		{"acknowledgement lost, sender killed", false, true, 1, false},
		{"acknowledgement lost, two disks lost", false, false, 2, false},
		{"acknowledgement lost, disks of sender and receiver lost", false, true, 1, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(1, 3)
			funded := []string{"r0"}
			if test.senderDisk {
				funded = append(funded, "r2") // which remembers the sender's ledger
			}
			c.fund(TopUp{ID: "first", Account: "a", Amount: 30_000_000, Routers: funded}, c.routers...)
			sender, receiver := c.routers[0], c.routers[1]
			receiver.demand["a"] = 20
			for range test.disks {
				for end := c.now + 30*time.Second; receiver.ledger.Totals.TransferredIn == 0 && c.now < end; {
					c.step()
				}
				c.cutLinks[[2]int{receiver.index, sender.index}] = !test.acknowledged
				c.advance(2 * time.Second)
				if test.kills {
					c.kill(sender)
					if test.senderDisk {
						c.replaceDisk(sender)
					}
					c.start(sender)
				}
				c.kill(receiver)
				c.replaceDisk(receiver)
				clear(c.cutLinks)
				c.start(receiver)
			}
			c.advance(20 * time.Second)
			c.checkConservation(t, "after the loss")
			c.advance(400 * time.Second)
			c.checkConservation(t, "at the end")
			if rest := c.totalHeld("a"); rest*50 > c.funded["a"] {
				t.Errorf("%d of %d could not be spent", rest, c.funded["a"])
			}
			c.checkViolations(t)
		})
	}
}

// newSender returns the ledger of r1 with rights of an account, the given record of transfers to r2, and the ledger that it knows
// under that name, if any.
func newSender(t *testing.T, record transferRecord, known string) *Ledger {
	t.Helper()
	values := map[string]any{accountKey("acme"): goldenAccount, transferKey("r2"): record}
	if known != "" {
		values[knownLedgerKey("r2")] = known
	}
	var records []Record
	for key, value := range values {
		encoded, err := cbor.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		records = append(records, Record{key, encoded})
	}
	l, err := New(Defaults("r1", 11, goldenIdentity.LedgerID), records)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// Transfers to the ledger that a ledger of an earlier version has given to go on with the next number. Those to another one have
// a record of their own.
func TestTransferRecordsOfEarlierVersions(t *testing.T) {
	const asks = "the ledger that asks"
	for _, test := range []struct {
		name, known  string
		record       transferRecord
		wantName     string
		wantSequence uint64
	}{
		{"the known ledger", asks, goldenCompletedTransfer, "r2", 302},
		{"another ledger", "the lost ledger", goldenCompletedTransfer, transferName("r2", asks), 1},
		{"another ledger, with a transfer to the lost one", "the lost ledger", goldenTransfer, transferName("r2", asks), 1},
		{"no ledger known", "", goldenCompletedTransfer, transferName("r2", asks), 302},
		{"no ledger known, with a transfer", "", goldenTransfer, "r2", 300},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := newSender(t, test.record, test.known)
			l.receiveTransferRequest("r2", message{Kind: messageTransferRequest, LedgerID: asks, Account: "acme", Amount: 300})
			got := l.transferTo("r2", asks)
			if l.transfers[test.wantName] != got || got.record.Sequence != test.wantSequence {
				t.Errorf("transfer %d with the record %q, want %d with %q", got.record.Sequence, got.name(), test.wantSequence, test.wantName)
			}
		})
	}
}

// A transfer whose ledger is gone comes back if it was sent once, to the new ledger. Otherwise nobody has its rights until its
// ledger asks again.
func TestTransferToLostLedger(t *testing.T) {
	const lost = "the lost ledger"
	for _, test := range []struct {
		name     string
		messages int
		restored bool
		want     transferState
	}{
		{"sent once", 1, false, transferIdle},
		{"sent twice", 2, false, transferSuspended},
		{"by an earlier process", 1, true, transferSuspended},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := newSender(t, goldenTransfer, lost)
			transferred := l.transfers["r2"]
			transferred.messages, transferred.recordedHere = test.messages, !test.restored
			l.transferCompleted(time.Second, transferred, messaging.Completion{Reply: []byte(ackOtherLedger)})
			rights := goldenAccount.Rights
			if test.want == transferIdle {
				rights += goldenTransfer.Amount
			}
			if transferred.state != test.want || l.accounts["acme"].record.Rights != rights {
				t.Errorf("state %d with %d rights, want %d with %d", transferred.state, l.accounts["acme"].record.Rights, test.want, rights)
			}
			if test.want == transferSuspended {
				l.receiveTransferRequest("r2", message{LedgerID: lost, Account: "acme", Amount: 300})
				if transferred.state != transferReady {
					t.Errorf("state %d once the ledger asks again, want %d", transferred.state, transferReady)
				}
			}
		})
	}
}

// A request of a lost ledger comes late, while a transfer to the new one is under way. It begins a transfer of its own, whose
// rights come back once the new ledger has refused it, and does not touch the other.
func TestLateRequestOfLostLedger(t *testing.T) {
	const lost, present = "the lost ledger", "the new ledger"
	l := newSender(t, goldenCompletedTransfer, lost)
	request := func(ledgerID string) *transfer {
		l.receiveTransferRequest("r2", message{LedgerID: ledgerID, Account: "acme", Amount: 300})
		if group := l.NextWrite(); group != nil {
			l.WriteCompleted(time.Second, group, nil)
		}
		return l.transferTo("r2", ledgerID)
	}
	toPresent := request(present)
	held := l.accounts["acme"].record.Rights
	toLost := request(lost)
	if toPresent.state != transferSent || toLost.state != transferSent || l.accounts["acme"].record.Rights >= held {
		t.Fatalf("states %d and %d, want two transfers that are sent", toPresent.state, toLost.state)
	}
	l.transferCompleted(time.Second, toLost, messaging.Completion{Reply: []byte(ackOtherLedger)})
	if got := l.accounts["acme"].record.Rights; got != held || toPresent.state != transferSent {
		t.Errorf("%d rights and state %d after the refusal, want %d and %d", got, toPresent.state, held, transferSent)
	}
	l.transferCompleted(time.Second, toPresent, messaging.Completion{Reply: []byte(ackAccepted)})
	if toPresent.state != transferIdle || l.accounts["acme"].record.Rights != held {
		t.Errorf("state %d and %d rights at the end, want %d and %d", toPresent.state, l.accounts["acme"].record.Rights, transferIdle, held)
	}
}

// Only so many ledgers of one router get transfers.
func TestLedgersOfReceiverBounded(t *testing.T) {
	l := newSender(t, goldenCompletedTransfer, "the first")
	for i := range 3 * maxReceiverLedgers {
		l.receiveTransferRequest("r2", message{LedgerID: fmt.Sprint(i), Account: "acme", Amount: 1})
	}
	if got := len(l.transfersTo("r2")); got != maxReceiverLedgers {
		t.Errorf("transfers to %d ledgers, want %d", got, maxReceiverLedgers)
	}
}

// The sequence number that an identity request gives for a ledger is that of the transfers to it; versions that do not tell
// ledgers apart give one number.
func TestSequenceOfIdentityRequest(t *testing.T) {
	addressed := message{}
	addressed.addSequence("x", 5)
	addressed.addSequence("y", 2)
	unnamed := addressed
	unnamed.addSequence("", 3)
	for _, test := range []struct {
		name string
		m    message
		want map[string]uint64
	}{
		{"earlier version", message{Sequence: 7}, map[string]uint64{"x": 7, "z": 7}},
		{"by ledger", addressed, map[string]uint64{"x": 5, "y": 2, "z": 0}},
		{"one of an unknown ledger", unnamed, map[string]uint64{"x": 5, "y": 3, "z": 3}},
	} {
		for ledgerID, want := range test.want {
			if got := test.m.sequenceTo(ledgerID); got != want {
				t.Errorf("%s: %d for %s, want %d", test.name, got, ledgerID, want)
			}
		}
	}
}

// Transfers that name the ledger may leave numbers out, which other ledgers of the router have, but one with a lower number is late
// and does not count. Those of earlier versions leave out none.
func TestNumbersOfReceivedTransfers(t *testing.T) {
	l := newSender(t, goldenCompletedTransfer, "")
	received := int64(0)
	for _, test := range []struct {
		sequence uint64
		ledger   string
		counts   bool
	}{
		{2, "", false}, {1, "", true}, {1, "", false}, {5, goldenIdentity.LedgerID, true}, {3, goldenIdentity.LedgerID, false},
		{5, goldenIdentity.LedgerID, false}, {6, goldenOtherLedger, false}, {7, "", false}, {6, "", true},
	} {
		m := message{Kind: messageTransfer, LedgerID: goldenOtherLedger, Account: "acme", Amount: 300, Sequence: test.sequence}
		m.addressTo(test.ledger)
		l.receiveTransfer(messaging.Delivery{From: "r2"}, m)
		if test.counts {
			received += m.Amount
		}
		if got := l.Totals.TransferredIn; got != received {
			t.Fatalf("%d received after transfer %d to ledger %q, want %d", got, test.sequence, test.ledger, received)
		}
	}
}
