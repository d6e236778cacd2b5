package policy

// ActionKind says what an Action asks the caller to do.
type ActionKind uint8

// The kinds of actions, with the fields of Action that each of them sets.
const (
	// ActionDial: open Conn to Router, then report Connected or DialFailed.
	ActionDial ActionKind = iota
	// ActionCheckHealth: ask on Conn whether Router takes clients, then report HealthReceived.
	ActionCheckHealth
	// ActionSend: write Call on Conn once PrepareWrite allows it. Retry marks that a router may have seen the call
	// before.
	ActionSend
	// ActionCancel: tell the router on Conn that nobody waits for Call any more. Its response, if one comes, is not
	// reported.
	ActionCancel
	// ActionClose: close Conn. ConnectionClosed must still be reported, with the calls that were in flight on it.
	ActionClose
	// ActionFinish: Call has ended as Outcome says. It is asked for exactly once for each call.
	ActionFinish
)

// Action is something that the caller has to do.
type Action struct {
	Kind    ActionKind
	Router  int // index of the router, as given to New
	Conn    *Conn
	Call    *Call
	Retry   bool
	Outcome Outcome
}

// Actions returns what is to be done since the last call, in order. The slice is valid until the next call of any
// method of the Policy.
func (p *Policy) Actions() []Action {
	actions := p.actions
	p.actions = p.actions[:0]
	return actions
}

// emit appends an action to those that Actions returns.
func (p *Policy) emit(action Action) { p.actions = append(p.actions, action) }
