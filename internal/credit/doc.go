// Package credit decides what a customer's prepaid balance allows, for one router of a cluster that shares the
// balance. It does no I/O, reads no clock and uses no randomness: the caller reports events together with the time,
// writes the records that Ledger.NextWrite returns and sends the packets that Ledger.OutgoingPackets returns.
// docs/design/credit.md states what the package guarantees, and why.
//
// A balance is divided into rights to spend. Each right has exactly one holder at any time, whatever the network
// does: a top-up itself says how it is divided among named routers, and a right is transferred only after the sender
// has durably recorded it as given away. So all routers together never charge more than was funded, and none has to
// wait for a message to guarantee that.
//
// The files of this package:
//
//   - ledger.go: the Ledger, its periodic tick and what it reports
//   - settings.go, topup.go: prices and bounds; payments and how they are divided
//   - account.go, reservation.go, pacing.go: what this router holds of an account, and what a request may take of it
//   - records.go, writes.go: the durable records, recovery from them, and the queue of writes
//   - messages.go, peers.go: messages between routers, and what other routers have reported
//   - transfers.go: rights on their way from one router to another
//   - identity.go: proof that no other ledger has acted under this router's name
package credit
