package upstream

import "time"

// maxRecentRequests bounds each generation of recentRequests: a client that sends and cancels as fast as it can must
// not fill the memory.
const maxRecentRequests = 1 << 12

// recentRequests remembers requests for one to two times the longest that a client waits, or for less where there are
// very many.
//
// pool.abandoned holds what was given up at an endpoint, by a cancellation or by closing its connection. An endpoint
// reads its connections in no set order: the same request sent again on another one could reach it before it has read
// the cancellation or the close, and it would hold two copies at once. On the same connection a response could cross
// the cancellation and be taken for the new one. So the same request is not sent there again.
//
// connection.unserved holds what got a response on a connection and was not served. A response may come twice, and the
// second one late: it would be taken for that of the next attempt, which may be running.
type recentRequests struct {
	young, old map[string]bool // by txn
	rotatedAt  time.Duration
}

func (r *recentRequests) add(txn string, now, longest time.Duration) {
	if r.young == nil || now-r.rotatedAt > longest || len(r.young) >= maxRecentRequests {
		r.young, r.old, r.rotatedAt = map[string]bool{}, r.young, now
	}
	r.young[txn] = true
}

func (r *recentRequests) has(txn string) bool { return r.young[txn] || r.old[txn] }
