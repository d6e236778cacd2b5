package failover

import (
	"errors"
	"fmt"

	"hillknot/internal/operatorhint"
)

// ReplicaUnreachableError reports that no other router holds a record of an order, so the order was not sent. It never ran.
type ReplicaUnreachableError struct{ Tried []string }

func (e ReplicaUnreachableError) Error() string {
	if len(e.Tried) == 0 {
		return "no other router is alive to hold a record of the order"
	}
	return fmt.Sprintf("no other router holds a record of the order; asked: %q", e.Tried)
}

// Hint implements operatorhint.Error.
func (ReplicaUnreachableError) Hint() string {
	return "Start other routers, or repair the network between them; with strict = false orders are sent without a record."
}

// ReplicaFullError reports that a router had no room for the record of an order. Where it ends the order, that router was
// the last one asked.
type ReplicaFullError struct{ Replica string }

func (e ReplicaFullError) Error() string {
	return fmt.Sprintf("router %q has no room for another record of an order", e.Replica)
}

// Hint implements operatorhint.Error.
func (ReplicaFullError) Hint() string {
	return "Raise records on all routers, at about 1 kB of memory per record, or lower keep_ms."
}

// LeaseLostError reports that the replica considers this router lost, so another router may have the order. Replica is
// empty if the coordinator no longer holds the order as open.
type LeaseLostError struct{ Replica string }

func (e LeaseLostError) Error() string {
	return fmt.Sprintf("the lease for sending the order was lost at router %q", e.Replica)
}

// Hint implements operatorhint.Error.
func (LeaseLostError) Hint() string {
	return "Find out why this router was paused or cut off for longer than lease_ms; if that is usual, raise lease_ms."
}

// NotReleasedError reports that a replica did not release an order in time, so the replica may still run the order.
type NotReleasedError struct{ Replica string }

func (e NotReleasedError) Error() string {
	return fmt.Sprintf("router %q did not release its record of the order in time", e.Replica)
}

// Hint implements operatorhint.Error.
func (NotReleasedError) Hint() string {
	return "Check the router that holds the record: it is down or cut off. The client was told that the order may have run."
}

// MayHaveRunError reports that no router that could be asked knows for certain what became of a claimed order.
type MayHaveRunError struct{ Reason string }

func (e MayHaveRunError) Error() string { return "the order may have run: " + e.Reason }

// Hint implements operatorhint.Error.
func (MayHaveRunError) Hint() string {
	return "Have the client look up the result of its order before it orders again; " +
		"the order's router and its replica were lost together, or the order was being sent."
}

// noReplicaError returns the reason why no replica holds an order: last if it is a ReplicaFullError, or else that none of
// the tried routers could be reached.
func noReplicaError(last error, tried []string) error {
	var full ReplicaFullError
	if errors.As(last, &full) {
		return last
	}
	return ReplicaUnreachableError{tried}
}

// Errors holds an example of each error type of this package, for the table in docs/errors.md.
var Errors = []operatorhint.Error{
	ReplicaUnreachableError{},
	ReplicaFullError{"r2"},
	LeaseLostError{"r2"},
	NotReleasedError{"r2"},
	MayHaveRunError{reasonBeingSent},
}
