package failover

import (
	"maps"
	"slices"
	"time"
)

// replicaSession is a run of this router's orders at one replica, under one lease. When the replica is lost, or takes
// this router for lost, another session follows.
type replicaSession struct {
	replica    string
	number     uint64
	leaseUntil time.Duration // orders may be sent until then
	renewAt    time.Duration // when the lease is to be renewed
	openOrders int
	lost       bool
}

// renewalsPerLease is how many times a lease is renewed in its time.
const renewalsPerLease = 4

// currentSession returns the session for new orders, and starts one if need be. It returns nil if there is no replica.
func (c *Coordinator) currentSession(now time.Duration) *replicaSession {
	session := c.owned.session
	if session != nil && !session.lost && c.alive(session.replica) {
		return session
	}
	// A replica that took this router for lost may hold its orders again, in another session.
	if name := c.bestReplica(nil); name != "" {
		return c.startSession(now, name)
	}
	return nil
}

// startSession goes on with another replica, or another session at the same one.
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

// updateSession takes from a replica's reply, or the failure to get one, how its session stands.
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
	case req.step == stepEnded: // a replica takes an outcome from a lost owner, too, and renews no lease for it
	case answer.Kind == replyAcknowledged: // the replica got the message after it was sent: the lease counts from there
		session.leaseUntil = max(session.leaseUntil, req.sentAt+c.settings.LeaseDuration)
	case answer.Kind == replyLeaseLost:
		c.sessionLost(now, session)
	}
}

// replicaLost ends the session of a replica that does not answer. Orders that it can't pass on go to the next one.
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

// sessionLost ends a session whose replica takes this router for lost: what was not sent yet may be another router's
// by now.
func (c *Coordinator) sessionLost(now time.Duration, session *replicaSession) {
	if session.lost {
		return
	}
	session.lost = true
	session.leaseUntil = 0
	c.trace(eventSessionLost, "", session.replica)
	for _, txn := range slices.Sorted(maps.Keys(c.owned.orders)) {
		o := c.owned.orders[txn]
		if o == nil { // it had ended, and was forgotten as this loop stopped others
			continue
		}
		if o.replication.session == session && !o.state.ended() && !o.state.sent() {
			c.stopOrder(now, txn, o, MayHaveRun, LeaseLostError{session.replica})
		}
	}
}

// renewLeases renews the leases of all sessions with open orders, and drops sessions that have none.
func (c *Coordinator) renewLeases(now time.Duration) {
	c.owned.sessions = slices.DeleteFunc(c.owned.sessions, func(s *replicaSession) bool {
		return s.openOrders <= 0 && s != c.owned.session
	})
	c.currentSession(now)
	for _, session := range c.owned.sessions {
		// A new session asks at once, so that the first order finds a replica that answers.
		unused := session.leaseUntil == 0 && session == c.owned.session
		if (session.openOrders > 0 || unused) && !session.lost && now >= session.renewAt {
			c.renewLease(now, session)
		}
	}
}

// renewLease tells a replica that this router lives. A failure shows from the next message of its session.
func (c *Coordinator) renewLease(now time.Duration, session *replicaSession) {
	session.renewAt = now + c.settings.LeaseDuration/renewalsPerLease
	m := message{Kind: messageStep, Session: session.number}
	_ = c.send(now, session.replica, m, now+c.settings.LeaseDuration, sentMessage{session: session.number})
}
