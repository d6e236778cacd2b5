package state

import (
	"maps"
	"math"
	"slices"
	"time"
)

// sharesPerRouter is how many shares of a budget a router owns, as long as no more routers than configured are seen.
const sharesPerRouter = 64

// BudgetLimits bounds what all routers together may spend of a budget, in tokens.
type BudgetLimits struct {
	Rate  float64 // per second
	Burst float64 // at once after a pause; at least 2 per router, so that half of its shares still allow one
}

// budget is this router's state of one budget.
type budget struct {
	limits   BudgetLimits
	bucket   tokenBucket
	demand   demand
	lent     []lease
	borrowed []lease
	pending  []pendingRequest
	closesAt time.Duration // 0: never
	unshared bool          // its shares are neither lent nor borrowed, as too many budgets were open before it
}

// tokenBucket holds the tokens saved up on the shares that this router may spend on.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Duration
	shares     int // that this router could spend on at refilledAt
}

// demand tracks what this router spends, to determine how many shares it needs.
type demand struct {
	rate           float64 // mean tokens spent per second, over about one lease duration
	spentSinceTick float64 // tokens spent since the last tick
	denied         bool    // CanSpend returned false since the last tick
	totalSpent     uint64  // tokens spent since the budget was opened
}

// OpenBudget opens a budget until a time (0: without end). If it is open already, only its end changes. A budget that is
// opened beyond maxSharedBudgets is not shared: this router spends only on the shares that it owns of it. OpenBudget
// returns false if there is no room for another budget or the key is not a valid name; CanSpend then allows everything.
func (s *State) OpenBudget(now time.Duration, key string, limits BudgetLimits, until time.Duration) bool {
	if b := s.budgets[key]; b != nil {
		b.closesAt = until
		return true
	}
	if len(s.budgets) >= maxBudgets || !validName(key) {
		return false
	}
	// The bucket starts empty: an earlier process may have spent all tokens a moment ago.
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

// CanSpend reports whether one token of a budget may be spent now. A budget that is not open allows everything.
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

// Spend takes one token from a budget. CanSpend must have allowed it at the same time.
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

// totalShares returns how many shares a budget is divided into.
func (s *State) totalShares() int { return sharesPerRouter * s.budgetOwners }

// ownedShares returns how many shares this router owns, to use or to lend. It prevents two processes of one router from
// spending on the same shares: a process that is replaced owns none, and one that has just started does not use the
// half that an earlier process may have lent.
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

// spendableShares returns how many shares this router may spend on now: its own that are not lent, and those that it
// has borrowed.
func (s *State) spendableShares(b *budget, now time.Duration) int {
	if s.replaced {
		return 0
	}
	return s.unlentShares(b, now) + activeShares(b.borrowed, now)
}

// unlentShares returns how many of its own shares this router has not lent.
func (s *State) unlentShares(b *budget, now time.Duration) int {
	return max(s.ownedShares(now)-activeShares(b.lent, now), 0)
}

// refill adds the tokens earned since the last refill. The tokens that may have been saved on shares that were given
// away are dropped, so the tokens of all routers together never exceed the burst. Shares that came back since the last
// refill add nothing for that time, in which they earned for their borrower.
func (s *State) refill(b *budget, now time.Duration) {
	held, total := s.spendableShares(b, now), float64(s.totalShares())
	elapsed := max(now-b.bucket.refilledAt, 0).Seconds()
	earned := float64(min(held, b.bucket.shares)) / total * b.limits.Rate * elapsed
	b.bucket.tokens = min(b.bucket.tokens+earned, float64(held)/total*b.limits.Burst)
	b.bucket.refilledAt = max(b.bucket.refilledAt, now)
	b.bucket.shares = held
}

// Factors for the number of shares that a router needs. It can lend those that it does not need.
const (
	demandHeadroom = 1.25 // of its recent rate
	deniedGrowth   = 1.5  // of the shares that it may spend on, if CanSpend returned false
)

// neededShares returns how many shares this router needs for itself.
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

// updateRate adds what was spent since the last tick to the mean, which decays exponentially.
func (d *demand) updateRate(settings Settings) {
	window := settings.LeaseDuration.Seconds()
	d.rate = d.rate*math.Exp(-settings.TickInterval.Seconds()/window) + d.spentSinceTick/window
}

// BudgetStatus describes this router's part of a budget.
type BudgetStatus struct {
	Key                                     string
	OwnedShares, LentShares, BorrowedShares int
	TotalShares                             int    // that the budget is divided into
	Spent                                   uint64 // tokens, since the budget was opened
}

// BudgetStatuses returns the status of each open budget, in the order of their keys.
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
