package policy

// ActionKind says what an Action asks the caller to do.
type ActionKind uint8

// The kinds of actions, with the fields of Action that each of them uses.
const (
	// ActionDial asks the caller to open Conn to Router, and then to report Connected or DialFailed.
	ActionDial ActionKind = iota
	// ActionCheckHealth asks the caller to send a health check on Conn, which asks Router whether it accepts clients,
	// and then to report HealthReceived.
	ActionCheckHealth
	// ActionSend asks the caller to write Call on Conn once PrepareWrite allows it. Retry is set if a router may have
	// seen the call before.
	ActionSend
	// ActionCancel asks the caller to tell the router on Conn that the response to Call is no longer needed. A
	// response that still arrives must not be reported.
	ActionCancel
	// ActionClose asks the caller to close Conn. ConnectionClosed must still be reported, with the calls that were in
	// flight on Conn.
	ActionClose
	// ActionFinish reports that Call has ended with Outcome. It is emitted exactly once for each call.
	ActionFinish
)

// Action is an operation that the policy asks the caller to carry out.
type Action struct {
	Kind    ActionKind
	Router  int // index of the router, as given to New
	Conn    *Conn
	Call    *Call
	Retry   bool
	Outcome Outcome
}

// Actions returns the actions that were emitted since its last call, in order. The slice is valid until the next call
// of any method of the Policy.
func (p *Policy) Actions() []Action {
	actions := p.actions
	p.actions = p.actions[:0]
	return actions
}

// emit appends an action to those that Actions returns.
func (p *Policy) emit(action Action) { p.actions = append(p.actions, action) }
