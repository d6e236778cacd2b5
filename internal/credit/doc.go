// Package credit decides which requests a customer's prepaid balance pays for. It does so for one router of a cluster
// that shares the balance. It does no I/O, reads no clock and uses no randomness: the caller reports events together
// with the time, writes the records that Ledger.NextWrite returns and sends the packets that Ledger.OutgoingPackets
// returns. docs/design/credit.md states what the package guarantees, and why.
//
// A balance is divided into rights to spend. Each right has exactly one holder at any time, even if the network loses,
// delays or repeats packets: a top-up itself says how it is divided among named routers, and a right is transferred only
// after the sender has durably recorded it as given away. So all routers together never charge more than was funded, and
// no router has to wait for a message to guarantee that.
//
// The files of this package:
//
//   - ledger.go: the Ledger, its periodic tick, its totals and the status of accounts
//   - settings.go, topup.go: prices and bounds; payments and how they are divided
//   - account.go, reservation.go, pacing.go: this router's part of an account, and how much of it a request may use
//   - records.go, writes.go: the durable records, recovery from them, and the queue of writes
//   - messages.go, peers.go: messages between routers, and the balances that other routers have reported
//   - transfers.go: transfers of rights from one router to another
//   - identity.go: confirmation that no other ledger has acted under this router's name
package credit
