package failover

import (
	"errors"
	"fmt"

	"hillknot/internal/operatorhint"
)

// ReplicaUnreachableError says that no other router holds a record of an order, so it was not sent. It never ran.
type ReplicaUnreachableError struct{ Tried []string }

func (e ReplicaUnreachableError) Error() string {
	if len(e.Tried) == 0 {
		return "no other router is alive to keep the order"
	}
	return fmt.Sprintf("no router keeps the order; asked: %q", e.Tried)
}

// Hint implements operatorhint.Error.
func (ReplicaUnreachableError) Hint() string {
	return "Bring other routers up, or mend the network between them; with strict = false orders go out unkept."
}

// ReplicaFullError says that all routers that were asked had no room for a record.
type ReplicaFullError struct{ Replica string }

func (e ReplicaFullError) Error() string {
	return fmt.Sprintf("%q has no room for a record", e.Replica)
}

// Hint implements operatorhint.Error.
func (ReplicaFullError) Hint() string {
	return "Raise records at all routers, at some 1 kB of memory each, or lower keep_ms."
}

// LeaseLostError says that the replica takes this router for lost: another router may have the order.
type LeaseLostError struct{ Replica string }

func (e LeaseLostError) Error() string {
	return fmt.Sprintf("the right to run the order was lost to %q", e.Replica)
}

// Hint implements operatorhint.Error.
func (LeaseLostError) Hint() string {
	return "Find out why this router stood still or was cut off for longer than lease_ms; if that is usual, raise it."
}

// NotReleasedError says that a replica did not release an order in time: it may still run it.
type NotReleasedError struct{ Replica string }

func (e NotReleasedError) Error() string {
	return fmt.Sprintf("%q did not say in time that it lets go of the order", e.Replica)
}

// Hint implements operatorhint.Error.
func (NotReleasedError) Hint() string {
	return "Look at the router that kept it: it is down or cut off. The client was told that the order may have run."
}

// MayHaveRunError says that nobody can tell what became of an order that was claimed.
type MayHaveRunError struct{ Reason string }

func (e MayHaveRunError) Error() string { return "the order may have run: " + e.Reason }

// Hint implements operatorhint.Error.
func (MayHaveRunError) Hint() string {
	return "Have the client look up what it ordered before it orders again; " +
		"its router and that one's keeper were lost together, or it was being sent."
}

// noReplicaError returns why no replica holds an order: the last one had no room, or none that was tried answered.
func noReplicaError(last error, tried []string) error {
	var full ReplicaFullError
	if errors.As(last, &full) {
		return last
	}
	return ReplicaUnreachableError{tried}
}

// Errors holds an example of each type of this package, as docs/errors.md shows it.
var Errors = []operatorhint.Error{
	ReplicaUnreachableError{},
	ReplicaFullError{"r2"},
	LeaseLostError{"r2"},
	NotReleasedError{"r2"},
	MayHaveRunError{reasonBeingSent},
}
