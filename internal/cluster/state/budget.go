package state

import (
	"maps"
	"math"
	"slices"
	"time"
)

// sharesPerRouter is how many shares of a budget a router owns, as long as no more routers than configured are seen.
const sharesPerRouter = 64

// BudgetLimits are what all routers together may spend of a budget.
type BudgetLimits struct {
	Rate  float64 // a second
	Burst float64 // at once, after a pause; at least 2 for each router, so that half of its shares still buy one
}

// budget is this router's holding of one budget.
type budget struct {
	limits   BudgetLimits
	bucket   tokenBucket
	demand   demand
	lent     []lease
	borrowed []lease
	pending  []pendingRequest
	closesAt time.Duration // 0: it stays open
	unshared bool          // its shares are neither lent nor borrowed: there are too many budgets
}

// tokenBucket is what has been saved up on the shares held.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Duration
	shares     int // held at refilledAt
}

// demand is what this router spends, to judge how many shares it needs.
type demand struct {
	rate           float64 // mean of what was spent a second, over about a lease
	spentSinceTick float64 // spent since the last tick
	denied         bool    // something was denied since the last tick
	totalSpent     uint64  // spent since the process started
}

// OpenBudget opens a budget, or keeps it open, until a time (0: for good). Beyond maxSharedBudgets this router spends just
// on the shares that it owns of it. It returns false where there is no room for another one: then CanSpend allows
// everything.
func (s *State) OpenBudget(now time.Duration, key string, limits BudgetLimits, until time.Duration) bool {
	if b := s.budgets[key]; b != nil {
		b.closesAt = until
		return true
	}
	if len(s.budgets) >= maxBudgets || !validName(key) {
		return false
	}
	// It starts with no tokens: an earlier process may have spent all a moment ago.
	s.budgets[key] = &budget{
		limits:   limits,
		bucket:   tokenBucket{refilledAt: now},
		closesAt: until,
		unshared: len(s.budgets) >= maxSharedBudgets,
	}
	return true
}

// CloseBudget closes a budget.
func (s *State) CloseBudget(key string) { delete(s.budgets, key) }

// CanSpend returns whether one more may be spent of a budget now. A budget that is not open allows everything.
func (s *State) CanSpend(now time.Duration, key string) bool {
	b := s.budgets[key]
	if b == nil {
		return true
	}
	s.refill(b, now)
	affordable := b.bucket.tokens >= 1
	b.demand.denied = b.demand.denied || !affordable
	return affordable
}

// Spend takes one from a budget. The caller must have been allowed to by CanSpend at the same time.
func (s *State) Spend(now time.Duration, key string) {
	b := s.budgets[key]
	if b == nil {
		return
	}
	s.refill(b, now)
	b.bucket.tokens--
	b.demand.spentSinceTick++
	b.demand.totalSpent++
}

// totalShares is how many shares a budget is divided into.
func (s *State) totalShares() int { return sharesPerRouter * s.budgetOwners }

// ownedShares is how many shares are this router's to use or to lend. It guards against two processes of one router
// that spend the same shares: a process that is replaced owns none, and one that has just started leaves alone the
// half that an earlier one may have lent.
func (s *State) ownedShares(now time.Duration) int {
	if s.settings.Guest {
		return 0
	}
	switch s.phase(now) {
	case phaseRecovering:
		return sharesPerRouter / 2
	case phaseActive:
		return sharesPerRouter
	}
	return 0
}

// spendableShares is how many shares this router may spend on now.
func (s *State) spendableShares(b *budget, now time.Duration) int {
	if s.replaced {
		return 0
	}
	return s.unlentShares(b, now) + activeShares(b.borrowed, now)
}

// unlentShares is how many of its own shares this router has not lent.
func (s *State) unlentShares(b *budget, now time.Duration) int {
	return max(s.ownedShares(now)-activeShares(b.lent, now), 0)
}

// refill adds the tokens earned since the last refill. Shares that were given away take along what may have been
// saved on them, so what all routers have saved never exceeds the burst. Shares that came back since the last refill
// earned for their borrower meanwhile.
func (s *State) refill(b *budget, now time.Duration) {
	held, total := s.spendableShares(b, now), float64(s.totalShares())
	elapsed := max(now-b.bucket.refilledAt, 0).Seconds()
	earned := float64(min(held, b.bucket.shares)) / total * b.limits.Rate * elapsed
	b.bucket.tokens = min(b.bucket.tokens+earned, float64(held)/total*b.limits.Burst)
	b.bucket.refilledAt = max(b.bucket.refilledAt, now)
	b.bucket.shares = held
}

// How a router judges the shares that it needs. What it does not need can be lent.
const (
	demandHeadroom = 1.25 // of what it has spent lately
	deniedGrowth   = 1.5  // of what it holds, where something was denied
)

// neededShares is how many shares this router wants for itself.
func (s *State) neededShares(b *budget, now time.Duration) int {
	needed := int(math.Ceil(b.demand.rate * demandHeadroom / b.limits.Rate * float64(s.totalShares())))
	if b.demand.denied {
		needed = max(needed, int(math.Ceil(deniedGrowth*float64(s.spendableShares(b, now))))+1)
	}
	return min(needed, s.totalShares())
}

func (s *State) tickBudgets(now time.Duration) {
	for _, key := range slices.Sorted(maps.Keys(s.budgets)) {
		b := s.budgets[key]
		if b.closesAt > 0 && now >= b.closesAt {
			delete(s.budgets, key)
			continue
		}
		s.refill(b, now)
		b.lent, b.borrowed = dropExpired(b.lent, now), dropExpired(b.borrowed, now)
		b.demand.updateRate(s.settings)
		s.requestLeases(now, key, b)
		b.demand.spentSinceTick, b.demand.denied = 0, false
	}
}

// updateRate takes what was spent since the last tick into the mean.
func (d *demand) updateRate(settings Settings) {
	window := settings.LeaseDuration.Seconds()
	d.rate = d.rate*math.Exp(-settings.TickInterval.Seconds()/window) + d.spentSinceTick/window
}

// BudgetStatus is how a budget stands with this router, in shares.
type BudgetStatus struct {
	Key                                     string
	OwnedShares, LentShares, BorrowedShares int
	TotalShares                             int // that the budget is divided into
	Spent                                   uint64
}

// BudgetStatuses returns the status of each open budget, in order of their keys.
func (s *State) BudgetStatuses(now time.Duration) []BudgetStatus {
	var all []BudgetStatus
	for _, key := range slices.Sorted(maps.Keys(s.budgets)) {
		b := s.budgets[key]
		all = append(all, BudgetStatus{
			Key:            key,
			OwnedShares:    s.ownedShares(now),
			LentShares:     activeShares(b.lent, now),
			BorrowedShares: activeShares(b.borrowed, now),
			TotalShares:    s.totalShares(),
			Spent:          b.demand.totalSpent,
		})
	}
	return all
}
