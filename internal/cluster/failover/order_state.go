package failover

// orderState is where an order of this router's own stands, from its client's request until its record is forgotten.
type orderState uint8

const (
	orderQueued             orderState = iota + 1 // nobody has asked to send it yet
	orderLeaseRequested                           // its caller waits for ActionSend
	orderLeaseGranted                             // its caller got ActionSend; nothing was written yet
	orderSent                                     // it may have been written
	orderResendRequested                          // the same, and its caller waits for ActionSend again
	orderDroppingReplica                          // rejected unsent; its replica has yet to release it
	orderReleasingAfterSend                       // the same, after it was sent to an endpoint that rejected it
	orderEnded                                    // its outcome is known, and it was never sent
	orderEndedAfterSend
	orderStates
)

// orderEvent is what changes an order's state.
type orderEvent uint8

const (
	leaseRequested    orderEvent = iota // RequestSendPermission, where the caller has to wait
	leaseGranted                        // ActionSend goes out
	leaseUsed                           // UseSendPermission allowed the caller to write
	finishedReleasing                   // Finish, where the replica could still pass the order on
	finished                            // Finish, else
	released                            // the wait for the replica's release is over
	orderEvents
)

// orderTransitions is the life cycle of an order: by state and event, the state that follows. Where there is none,
// the event changes nothing.
var orderTransitions = [orderStates][orderEvents]orderState{
	orderQueued: {
		leaseRequested:    orderLeaseRequested,
		leaseGranted:      orderLeaseGranted,
		leaseUsed:         orderSent,
		finishedReleasing: orderDroppingReplica,
		finished:          orderEnded,
	},
	orderLeaseRequested: {
		leaseGranted:      orderLeaseGranted,
		leaseUsed:         orderSent,
		finishedReleasing: orderDroppingReplica,
		finished:          orderEnded,
	},
	orderLeaseGranted: {
		leaseRequested:    orderLeaseRequested,
		leaseUsed:         orderSent,
		finishedReleasing: orderDroppingReplica,
		finished:          orderEnded,
	},
	orderSent: {
		leaseRequested:    orderResendRequested,
		finishedReleasing: orderReleasingAfterSend,
		finished:          orderEndedAfterSend,
	},
	orderResendRequested: {
		leaseGranted:      orderSent,
		leaseUsed:         orderSent,
		finishedReleasing: orderReleasingAfterSend,
		finished:          orderEndedAfterSend,
	},
	orderDroppingReplica:    {released: orderEnded},
	orderReleasingAfterSend: {released: orderEndedAfterSend},
}

// after returns the state that follows s once e has happened.
func (s orderState) after(e orderEvent) orderState {
	if next := orderTransitions[s][e]; next != 0 {
		return next
	}
	return s
}

// ended tells whether the outcome is known. The client may still have to wait for it: see releasing.
func (s orderState) ended() bool { return s >= orderDroppingReplica }

// releasing tells whether the client waits until the replica lets go of the order.
func (s orderState) releasing() bool {
	return s == orderDroppingReplica || s == orderReleasingAfterSend
}

// leaseRequested tells whether the caller waits for ActionSend.
func (s orderState) leaseRequested() bool {
	return s == orderLeaseRequested || s == orderResendRequested
}

// leaseGranted tells whether the caller got ActionSend, and has not asked anew since.
func (s orderState) leaseGranted() bool { return s == orderLeaseGranted || s == orderSent }

// sent tells whether the order may have been written.
func (s orderState) sent() bool {
	switch s {
	case orderSent, orderResendRequested, orderReleasingAfterSend, orderEndedAfterSend:
		return true
	}
	return false
}
