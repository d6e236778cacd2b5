package failover

import (
	"maps"
	"slices"
	"time"
)

// replicaSession covers consecutive orders of this router that one replica holds under one lease. If the replica is lost,
// or considers this router lost, the session is lost and another one follows.
type replicaSession struct {
	replica    string
	number     uint64
	leaseUntil time.Duration // orders may be sent until then
	renewAt    time.Duration // when the lease is to be renewed
	openOrders int
	lost       bool
}

// renewalsPerLease is the number of renewals within one LeaseDuration.
const renewalsPerLease = 4

// currentSession returns the session for new orders, and starts one if there is none whose replica is alive. It returns
// nil if no other router is alive.
func (c *Coordinator) currentSession(now time.Duration) *replicaSession {
	session := c.owned.session
	if session != nil && !session.lost && c.alive(session.replica) {
		return session
	}
	// A replica that considered this router lost may be chosen again: it holds the orders of a new session.
	if name := c.bestReplica(nil); name != "" {
		return c.startSession(now, name)
	}
	return nil
}

// startSession starts the session for new orders, at another replica or at the same one.
func (c *Coordinator) startSession(now time.Duration, replica string) *replicaSession {
	c.owned.lastSessionNumber++
	session := &replicaSession{replica: replica, number: c.owned.lastSessionNumber, renewAt: now}
	c.owned.session = session
	c.owned.sessions = append(c.owned.sessions, session)
	c.trace(eventReplicaChosen, "", replica)
	return session
}

func (c *Coordinator) sessionByNumber(number uint64) *replicaSession {
	i := slices.IndexFunc(c.owned.sessions, func(s *replicaSession) bool { return s.number == number })
	if i < 0 {
		return nil
	}
	return c.owned.sessions[i]
}

// updateSession updates a session after a replica's reply, or the failure to get one. It renews the lease or marks the
// session as lost.
func (c *Coordinator) updateSession(now time.Duration, req sentMessage, err error, answer reply) {
	session := c.sessionByNumber(req.session)
	if session == nil {
		return
	}
	switch {
	case err != nil:
		if !session.lost {
			c.replicaLost(now, session)
		}
	case req.step == stepEnded: // a replica also acknowledges the outcomes of a lost owner, and renews no lease for them
	case answer.Kind == replyAcknowledged: // the replica got the message after sentAt, so the lease counts from sentAt
		session.leaseUntil = max(session.leaseUntil, req.sentAt+c.settings.LeaseDuration)
	case answer.Kind == replyLeaseLost:
		c.sessionLost(now, session)
	}
}

// replicaLost ends the session of a replica that does not answer. Open orders that the replica may neither pass on nor
// report as MayHaveRun move to the next replica.
func (c *Coordinator) replicaLost(now time.Duration, session *replicaSession) {
	session.lost = true
	c.trace(eventReplicaLost, "", session.replica)
	if c.owned.session == session {
		if name := c.bestReplica([]string{session.replica}); name != "" {
			c.startSession(now, name)
		}
	}
	for _, txn := range slices.Sorted(maps.Keys(c.owned.orders)) {
		o := c.owned.orders[txn]
		r := &o.replication
		if r.session == session && !o.state.ended() && r.exposure < exposedSend {
			r.leaveReplica()
			c.owned.changed = append(c.owned.changed, txn)
		}
	}
}

// sessionLost ends a session whose replica considers this router lost. It stops the orders that were not sent yet, because
// another router may have them by now.
func (c *Coordinator) sessionLost(now time.Duration, session *replicaSession) {
	if session.lost {
		return
	}
	session.lost = true
	session.leaseUntil = 0
	c.trace(eventSessionLost, "", session.replica)
	for _, txn := range slices.Sorted(maps.Keys(c.owned.orders)) {
		o := c.owned.orders[txn]
		if o == nil { // it had ended, and was forgotten when this loop stopped other orders
			continue
		}
		if o.replication.session == session && !o.state.ended() && !o.state.sent() {
			c.stopOrder(now, txn, o, MayHaveRun, LeaseLostError{session.replica})
		}
	}
}

// renewLeases renews the leases of all sessions with open orders, and drops the sessions without open orders except the
// one for new orders.
func (c *Coordinator) renewLeases(now time.Duration) {
	c.owned.sessions = slices.DeleteFunc(c.owned.sessions, func(s *replicaSession) bool {
		return s.openOrders <= 0 && s != c.owned.session
	})
	c.currentSession(now)
	for _, session := range c.owned.sessions {
		// A new session requests its lease at once, so that it is known whether the replica answers when the first order
		// comes.
		unused := session.leaseUntil == 0 && session == c.owned.session
		if (session.openOrders > 0 || unused) && !session.lost && now >= session.renewAt {
			c.renewLease(now, session)
		}
	}
}

// renewLease sends a replica a message that renews this router's lease. A failure to send it is ignored, because
// the next message of the session shows it.
func (c *Coordinator) renewLease(now time.Duration, session *replicaSession) {
	session.renewAt = now + c.settings.LeaseDuration/renewalsPerLease
	m := message{Kind: messageStep, Session: session.number}
	_ = c.send(now, session.replica, m, now+c.settings.LeaseDuration, sentMessage{session: session.number})
}
