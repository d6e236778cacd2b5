package failover

// orderState is the state of an order that this router owns, from Replicate until the order is forgotten.
type orderState uint8

const (
	orderQueued              orderState = iota + 1 // its caller has not asked to send it yet
	orderPermissionRequested                       // its caller waits for ActionSend
	orderPermissionGranted                         // its caller got ActionSend, and nothing was written yet
	orderSent                                      // it may have been written to an endpoint
	orderResendRequested                           // it may have been written, and its caller waits for ActionSend again
	orderReleasing                                 // it was rejected without being sent, and its replica has not released it yet
	orderReleasingAfterSend                        // an endpoint got and rejected it, and its replica has not released it yet
	orderEnded                                     // its outcome is known, and it was never sent
	orderEndedAfterSend                            // its outcome is known, and it may have been written
	numOrderStates
)

// orderEvent is an event that may change an order's state.
type orderEvent uint8

const (
	permissionRequested orderEvent = iota // RequestSendPermission was called, and the caller has to wait
	permissionGranted                     // the caller gets ActionSend
	permissionUsed                        // UseSendPermission allowed the caller to write
	finishedReleasing                     // Finish was called while the replica could still pass the order on
	finished                              // Finish was called otherwise
	released                              // the wait for the replica's release is over
	numOrderEvents
)

// orderTransitions holds the state that follows each state after each event. An event without an entry leaves the state
// unchanged.
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

// ended reports whether the outcome is known. The client may still have to wait for it: see releasing.
func (s orderState) ended() bool { return s >= orderReleasing }

// releasing reports whether the client has to wait until the replica releases the order.
func (s orderState) releasing() bool {
	return s == orderReleasing || s == orderReleasingAfterSend
}

// permissionRequested reports whether the caller waits for ActionSend.
func (s orderState) permissionRequested() bool {
	return s == orderPermissionRequested || s == orderResendRequested
}

// permissionGranted reports whether the caller got ActionSend and has not requested permission again since.
func (s orderState) permissionGranted() bool { return s == orderPermissionGranted || s == orderSent }

// sent reports whether the order may have been written to an endpoint.
func (s orderState) sent() bool {
	switch s {
	case orderSent, orderResendRequested, orderReleasingAfterSend, orderEndedAfterSend:
		return true
	}
	return false
}
