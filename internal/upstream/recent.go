package upstream

import "time"

// maxRecentRequests is the maximum number of requests in each generation of recentRequests. It prevents a client that sends
// and cancels as fast as it can from exhausting the memory.
const maxRecentRequests = 1 << 12

// recentRequests remembers requests for one to two times the longest time that a client waits, or for less if there are
// very many. It keeps two generations; add drops the older one whenever it starts a new one.
//
// pool.abandoned holds requests that were abandoned at an endpoint, by a cancellation or by closing their connection. An
// endpoint reads its connections in no particular order. If the same request were sent again on another connection, the
// endpoint could read it before the cancellation or the close, and would hold two copies at the same time. On the same
// connection, a response that crosses the cancellation could be mistaken for the response to the new request. Therefore the
// same request is not sent to the endpoint again.
//
// connection.unserved holds requests that got a response on a connection and were not served. A response may arrive twice,
// the second time late. It would then be mistaken for the response to the next attempt of the request, which may be running.
type recentRequests struct {
	current, previous map[string]bool // generations, by txn
	rotatedAt         time.Duration
}

func (r *recentRequests) add(txn string, now, retention time.Duration) {
	if r.current == nil || now-r.rotatedAt > retention || len(r.current) >= maxRecentRequests {
		r.current, r.previous, r.rotatedAt = map[string]bool{}, r.current, now
	}
	r.current[txn] = true
}

func (r *recentRequests) contains(txn string) bool { return r.current[txn] || r.previous[txn] }
