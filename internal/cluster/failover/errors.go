package failover

import (
	"fmt"

	"hillknot/internal/operatorhint"
)

// KeeperUnreachable says that no other router holds a record of an order, so it was not sent. It never ran.
type KeeperUnreachable struct{ Tried []string }

func (e KeeperUnreachable) Error() string {
	if len(e.Tried) == 0 {
		return "no other router is alive to keep the order"
	}
	return fmt.Sprintf("no router keeps the order; asked: %q", e.Tried)
}

// Hint implements remedy.Error.
func (KeeperUnreachable) Hint() string {
	return "Bring other routers up, or mend the network between them; with strict = false orders go out unkept."
}

// TableFull says that all routers that were asked had no room for a record.
type TableFull struct{ Keeper string }

func (e TableFull) Error() string { return fmt.Sprintf("%q has no room for a record", e.Keeper) }

// Hint implements remedy.Error.
func (TableFull) Hint() string {
	return "Raise records at all routers, at some 1 kB of memory each, or lower keep_ms."
}

// RightLost says that the keeper holds this router to have been lost: another may have the order.
type RightLost struct{ Keeper string }

func (e RightLost) Error() string {
	return fmt.Sprintf("the right to run the order was lost to %q", e.Keeper)
}

// Hint implements remedy.Error.
func (RightLost) Hint() string {
	return "Find out why this router stood still or was cut off for longer than lease_ms; if that is usual, raise it."
}

// NotWithdrawn says that a keeper did not say in time that it lets go of an order: it may still run it.
type NotWithdrawn struct{ Keeper string }

func (e NotWithdrawn) Error() string {
	return fmt.Sprintf("%q did not say in time that it lets go of the order", e.Keeper)
}

// Hint implements remedy.Error.
func (NotWithdrawn) Hint() string {
	return "Look at the router that kept it: it is down or cut off. The client was told that the order may have run."
}

// MayRun says that an order was claimed of which nobody can tell what became: it may have run.
type MayRun struct{ Why string }

func (e MayRun) Error() string { return "the order may have run: " + e.Why }

// Hint implements remedy.Error.
func (MayRun) Hint() string {
	return "Have the client look up what it ordered before it orders again; its router and that one's keeper were lost together, or it was being sent."
}

// Errors holds an example of each type of this package, as docs/errors.md shows it.
var Errors = []operatorhint.Error{KeeperUnreachable{}, TableFull{"r2"}, RightLost{"r2"}, NotWithdrawn{"r2"}, MayRun{"it was being sent when its router was lost"}}
