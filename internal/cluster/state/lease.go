package state

import (
	"slices"
	"time"

	"hillknot/internal/cluster/placement"
)

const (
	maxPendingRequests = 8   // of one budget whose grant may still come
	maxLeasesLent      = 256 // of one budget that run at once
	lendersPerTick     = 2   // peers that are asked for shares of a budget at a time
)

// lease is a number of shares that have another holder for a time.
type lease struct {
	peer      process // the lender of shares that are borrowed, or the borrower of those that are lent
	shares    int
	expiresAt time.Duration // on this router's clock
}

// pendingRequest is a request for shares whose grant may still come.
type pendingRequest struct {
	sequence uint64
	lender   string
	sentAt   time.Duration
}

func (l lease) active(at time.Duration) bool { return at < l.expiresAt }

// activeShares sums up the leases that run at a time. Of each peer only the largest counts, as a new lease to it
// includes the shares of the one before.
func activeShares(leases []lease, at time.Duration) int {
	shares := 0
	for i, l := range leases {
		if l.active(at) && isLargestOfPeer(leases, i, at) {
			shares += l.shares
		}
	}
	return shares
}

// isLargestOfPeer returns whether the lease at an index is the largest active one of its peer; of equal ones, the first.
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

// activeSharesOf is how many shares one peer holds.
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

// requestLeases asks some peers, in turn, for the shares that this router needs beside those it owns. It asks for a
// lease again once half of it is over, of the peers whose turn it then is.
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

// chooseLender returns the peer whose turn it is to be asked. Routers begin at different peers.
func (s *State) chooseLender() string {
	if s.lastLender < 0 {
		s.lastLender = placement.StartIndex(s.settings.Self, lenderDuty, len(s.peers))
	}
	s.lastLender = (s.lastLender + 1) % len(s.peers)
	return s.peers[s.lastLender]
}

// receiveLeaseRequest lends what is not needed here, up to half of the owned shares: the other half is what a later
// process of this router, which knows of no leases, may use at once.
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
	expiresAt := now + s.settings.outlasting(s.settings.LeaseDuration)
	b.lent = append(b.lent, lease{peer: request.borrower, shares: shares, expiresAt: expiresAt})
	s.refill(b, now) // again: what was saved on the lent shares goes with them
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

// lendableShares is how many shares the borrower may hold under a new lease, which replaces the one it has.
func (s *State) lendableShares(b *budget, now time.Duration, request leaseRequest) int {
	lentToBorrower := activeSharesOf(b.lent, request.borrower, now)
	lentToOthers := activeShares(b.lent, now) - lentToBorrower
	return min(
		sharesPerRouter/2-lentToOthers,
		sharesPerRouter-lentToOthers-s.neededShares(b, now),
		lentToBorrower+request.shares,
	)
}

// receiveLeaseGrant takes shares that were asked for. The lease runs from the time of the request, which came before
// the lender's grant: so it ends here before it ends there, however long the messages took.
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
	s.refill(b, now) // again: the new shares earn from now on
}
