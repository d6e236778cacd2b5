package orderfailover

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"hillknot/internal/cluster/failover"
	"hillknot/internal/core"
)

// failoverOrder converts a request to the order that its replica stores, under the given txn.
func failoverOrder(q *core.Request, txn string, timeLeft time.Duration) failover.Order {
	return failover.Order{
		Txn:      txn,
		Class:    q.Class,
		Item:     q.ObjectText,
		Account:  q.Account,
		Part:     q.Part,
		Group:    q.Group,
		Digest:   digest(q),
		TimeLeft: timeLeft,
		Body:     q.Body,
	}
}

// digest returns a hash of everything that the client asked for. Routers of different releases compare these hashes, so the
// input of the hash must never change.
func digest(q *core.Request) (sum [sha256.Size]byte) {
	hash := sha256.New()
	for _, field := range [][]byte{[]byte(q.Class), []byte(q.ObjectText), []byte(q.Account), q.Body} {
		hash.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field))))
		hash.Write(field)
	}
	hash.Write(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, q.Part), q.Group))
	hash.Sum(sum[:0])
	return sum
}

// failoverOutcome converts the answer to an order to the order's outcome. mayHaveRun says whether the order may have
// run.
func failoverOutcome(a core.Answer, mayHaveRun bool) failover.Outcome {
	switch {
	case a.Verdict == core.Served:
		return failover.Outcome{Kind: failover.Served, Body: a.Body}
	case a.Verdict == core.Rejected && !mayHaveRun:
		return failover.Outcome{Kind: failover.NeverRan, RetryAfter: a.RetryAfter}
	case a.Verdict == core.Failed:
		return failover.Outcome{Kind: failover.Failed}
	}
	return failover.Outcome{Kind: failover.MayHaveRun}
}

// clientAnswer converts an order's outcome to the answer that its client gets.
func clientAnswer(o failover.Outcome) core.Answer {
	switch o.Kind {
	case failover.Served:
		return core.Answer{Verdict: core.Served, Body: o.Body}
	case failover.NeverRan:
		return core.Answer{Verdict: core.Rejected, RetryAfter: o.RetryAfter}
	}
	return core.Answer{Verdict: core.Failed, Reason: core.ReasonFailed}
}
