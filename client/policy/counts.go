package policy

// Counts holds the totals of a client since its start.
type Counts struct {
	Calls          uint64 // calls started
	Tries          uint64 // attempts: calls sent to routers, including retries
	Retries        uint64 // attempts after a call's first
	Moves          uint64 // calls sent on another connection because no byte had been written on the first
	Claims         uint64 // calls that asked another router for their outcome after their own router was lost
	Crossings      uint64 // calls sent again because they crossed a router's close of an idle connection
	RefusedLocally uint64 // calls shed by this client without being sent
	OutOfBudget    uint64 // retries that the retry budget did not allow
	Dials          uint64 // dials started
	Reconnects     uint64 // connections established to a router that had been lost
	Ejections      uint64 // routers ejected as outliers
	Drains         uint64 // health checks in which a router reported that it accepts no clients
	Silent         uint64 // connections closed because a health check was not answered
}

// Counts returns the totals up to now.
func (p *Policy) Counts() Counts { return p.counts }
