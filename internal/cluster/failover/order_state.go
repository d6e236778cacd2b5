package failover

// orderState is where an order of this router's own stands, from its client's request until its record is forgotten.
type orderState uint8

const (
	orderQueued              orderState = iota + 1 // nobody has asked to send it yet
	orderPermissionRequested                       // its caller waits for ActionSend
	orderPermissionGranted                         // its caller got ActionSend; nothing was written yet
	orderSent                                      // it may have been written
	orderResendRequested                           // the same, and its caller waits for ActionSend again
	orderReleasing                                 // rejected unsent; its replica has yet to release it
	orderReleasingAfterSend                        // the same, after it was sent to an endpoint that rejected it
	orderEnded                                     // its outcome is known, and it was never sent
	orderEndedAfterSend
	numOrderStates
)

// orderEvent is what changes an order's state.
type orderEvent uint8

const (
	permissionRequested orderEvent = iota // RequestSendPermission, where the caller has to wait
	permissionGranted                     // ActionSend goes out
	permissionUsed                        // UseSendPermission allowed the caller to write
	finishedReleasing                     // Finish, where the replica could still pass the order on
	finished                              // Finish, else
	released                              // the wait for the replica's release is over
	numOrderEvents
)

// orderTransitions is the life cycle of an order: by state and event, the state that follows. Where there is none,
// the event changes nothing.
var orderTransitions = [numOrderStates][numOrderEvents]orderState{
	orderQueued: {
		permissionRequested: orderPermissionRequested,
		permissionGranted:   orderPermissionGranted,
		permissionUsed:      orderSent,
		finishedReleasing:   orderReleasing,
		finished:            orderEnded,
	},
	orderPermissionRequested: {
		permissionGranted: orderPermissionGranted,
		permissionUsed:    orderSent,
		finishedReleasing: orderReleasing,
		finished:          orderEnded,
	},
	orderPermissionGranted: {
		permissionRequested: orderPermissionRequested,
		permissionUsed:      orderSent,
		finishedReleasing:   orderReleasing,
		finished:            orderEnded,
	},
	orderSent: {
		permissionRequested: orderResendRequested,
		finishedReleasing:   orderReleasingAfterSend,
		finished:            orderEndedAfterSend,
	},
	orderResendRequested: {
		permissionGranted: orderSent,
		permissionUsed:    orderSent,
		finishedReleasing: orderReleasingAfterSend,
		finished:          orderEndedAfterSend,
	},
	orderReleasing:          {released: orderEnded},
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
func (s orderState) ended() bool { return s >= orderReleasing }

// releasing tells whether the client waits until the replica lets go of the order.
func (s orderState) releasing() bool {
	return s == orderReleasing || s == orderReleasingAfterSend
}

// permissionRequested tells whether the caller waits for ActionSend.
func (s orderState) permissionRequested() bool {
	return s == orderPermissionRequested || s == orderResendRequested
}

// permissionGranted tells whether the caller got ActionSend, and has not asked anew since.
func (s orderState) permissionGranted() bool { return s == orderPermissionGranted || s == orderSent }

// sent tells whether the order may have been written.
func (s orderState) sent() bool {
	switch s {
	case orderSent, orderResendRequested, orderReleasingAfterSend, orderEndedAfterSend:
		return true
	}
	return false
}
