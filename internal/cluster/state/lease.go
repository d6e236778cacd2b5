package state

import (
	"slices"
	"time"

	"hillknot/internal/cluster/placement"
)

const (
	maxPendingRequests = 8   // of one budget whose grant may still arrive
	maxLeasesLent      = 256 // of one budget at a time
	lendersPerTick     = 2   // peers that are asked for shares of a budget in one tick
)

// lease is a number of shares that a router other than their owner holds for a time.
type lease struct {
	peer      process // the lender of shares that are borrowed, or the borrower of those that are lent
	shares    int
	expiresAt time.Duration // on this router's clock
}

// pendingRequest is a request for shares whose grant may still arrive.
type pendingRequest struct {
	sequence uint64
	lender   string
	sentAt   time.Duration
}

func (l lease) active(at time.Duration) bool { return at < l.expiresAt }

// activeShares returns the sum of the leases that are active at a time. Of each peer only the largest lease counts, as a
// new lease includes the shares of the previous one.
func activeShares(leases []lease, at time.Duration) int {
	shares := 0
	for i, l := range leases {
		if l.active(at) && isLargestOfPeer(leases, i, at) {
			shares += l.shares
		}
	}
	return shares
}

// isLargestOfPeer reports whether the lease at an index is the largest active one of its peer, or the first of several
// that are equally large.
func isLargestOfPeer(leases []lease, index int, at time.Duration) bool {
	l := leases[index]
	for i, other := range leases {
		if other.peer != l.peer || !other.active(at) {
			continue
		}
		if other.shares > l.shares || other.shares == l.shares && i < index {
			return false
		}
	}
	return true
}

// activeSharesOf returns how many shares the active leases of one peer cover.
func activeSharesOf(leases []lease, peer process, at time.Duration) int {
	shares := 0
	for _, l := range leases {
		if l.peer == peer && l.active(at) {
			shares = max(shares, l.shares)
		}
	}
	return shares
}

func dropExpired(leases []lease, now time.Duration) []lease {
	return slices.DeleteFunc(leases, func(l lease) bool { return !l.active(now) })
}

// requestLeases asks some peers, in round-robin order, for the shares that this router needs in addition to its own. It
// requests borrowed shares again once half of their lease has passed, from the peers whose turn it is then.
func (s *State) requestLeases(now time.Duration, key string, b *budget) {
	if len(s.peers) == 0 || s.startedAt == 0 || s.replaced || b.unshared {
		return
	}
	secured := s.unlentShares(b, now) + activeShares(b.borrowed, now+s.settings.LeaseDuration/2)
	missing := s.neededShares(b, now) - secured
	if missing <= 0 {
		return
	}
	sharesEach := (missing + lendersPerTick - 1) / lendersPerTick
	for range min(lendersPerTick, len(s.peers)) {
		s.sequence++
		request := leaseRequest{borrower: s.self(), budget: key, sequence: s.sequence, shares: sharesEach}
		lender := s.chooseLender()
		if len(b.pending) >= maxPendingRequests {
			b.pending = slices.Delete(b.pending, 0, 1)
		}
		b.pending = append(b.pending, pendingRequest{sequence: request.sequence, lender: lender, sentAt: now})
		s.send(lender, request.message())
	}
}

// chooseLender returns the next peer to ask, in round-robin order. Routers start with different peers.
func (s *State) chooseLender() string {
	if s.lastLender < 0 {
		s.lastLender = placement.StartIndex(s.settings.Self, lenderDuty, len(s.peers))
	}
	s.lastLender = (s.lastLender + 1) % len(s.peers)
	return s.peers[s.lastLender]
}

// receiveLeaseRequest lends shares that this router does not need, up to half of those that it owns. A later process of
// this router, which knows of no leases, may use the other half at once.
func (s *State) receiveLeaseRequest(now time.Duration, request leaseRequest) {
	b := s.budgets[request.budget]
	if b == nil || b.unshared || !s.canLend(now) || len(b.lent) >= maxLeasesLent {
		return
	}
	if request.shares <= 0 || request.borrower.router == s.settings.Self {
		return
	}
	shares := s.lendableShares(b, now, request)
	if shares <= 0 {
		return
	}
	s.refill(b, now)
	expiresAt := now + s.settings.withClockDrift(s.settings.LeaseDuration)
	b.lent = append(b.lent, lease{peer: request.borrower, shares: shares, expiresAt: expiresAt})
	s.refill(b, now) // again, to drop the tokens saved on the lent shares
	grant := leaseGrant{
		lender:          s.self(),
		budget:          request.budget,
		sequence:        request.sequence,
		borrowerProcess: request.borrower.number,
		shares:          shares,
	}
	s.send(request.borrower.router, grant.message())
}

func (s *State) canLend(now time.Duration) bool {
	return !s.settings.Guest && s.phase(now) == phaseActive
}

// lendableShares returns how many shares the borrower may hold under a new lease, which replaces its present one.
func (s *State) lendableShares(b *budget, now time.Duration, request leaseRequest) int {
	lentToBorrower := activeSharesOf(b.lent, request.borrower, now)
	lentToOthers := activeShares(b.lent, now) - lentToBorrower
	return min(
		sharesPerRouter/2-lentToOthers,
		sharesPerRouter-lentToOthers-s.neededShares(b, now),
		lentToBorrower+request.shares,
	)
}

// receiveLeaseGrant accepts shares that were requested. The lease runs from the time of the request, which precedes the
// grant, so it ends for the borrower before it ends for the lender, however long the messages took.
func (s *State) receiveLeaseGrant(now time.Duration, grant leaseGrant) {
	b := s.budgets[grant.budget]
	if b == nil || grant.shares <= 0 || grant.shares > sharesPerRouter/2 {
		return
	}
	if grant.borrowerProcess != s.settings.Process { // lent to an earlier process of this router
		return
	}
	i := slices.IndexFunc(b.pending, func(p pendingRequest) bool {
		return p.sequence == grant.sequence && p.lender == grant.lender.router
	})
	if i < 0 {
		return
	}
	s.refill(b, now)
	expiresAt := b.pending[i].sentAt + s.settings.LeaseDuration
	b.borrowed = append(b.borrowed, lease{peer: grant.lender, shares: grant.shares, expiresAt: expiresAt})
	b.pending = slices.Delete(b.pending, i, i+1)
	s.refill(b, now) // again, so that the new shares earn from now on
}
