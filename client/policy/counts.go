package policy

// Counts are the totals of a client since its start.
type Counts struct {
	Calls          uint64 // started
	Tries          uint64 // attempts: calls sent to routers, retries included
	Retries        uint64 // attempts after a call's first
	Moves          uint64 // calls sent on another connection as not a byte had been written on the first
	Claims         uint64 // calls that asked another router for their outcome after their own router was lost
	Crossings      uint64 // calls sent again as they had crossed a router's close of an idle connection
	RefusedLocally uint64 // calls shed by this client without being sent
	OutOfBudget    uint64 // retries that the retry budget did not allow
	Dials          uint64 // connections begun
	Reconnects     uint64 // connections that came up to a router that had been lost
	Ejections      uint64 // routers ejected as outliers
	Drains         uint64 // health checks to which a router said that it takes no clients
	Silent         uint64 // connections given up as a health check was not answered
}

// Counts returns the totals up to now.
func (p *Policy) Counts() Counts { return p.counts }
