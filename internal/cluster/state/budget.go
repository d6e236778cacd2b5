package state

import (
	"maps"
	"math"
	"slices"
	"time"

	"hillknot/internal/cluster/placement"
)

// part is how many shares a router has of a budget for good, where nobody is over the configured size.
const part = 64

// BudgetLimits are what all routers together may spend.
type BudgetLimits struct {
	Rate  float64 // a second
	Burst float64 // at once, after a rest; at least 2 for each router, so that half of each part still buys one
}

// budget is this router's holding of one budget.
type budget struct {
	terms  BudgetLimits
	tokens float64
	at     time.Duration
	had    int           // shares held then
	end    time.Duration // it is closed by then; 0: it stays
	lent   []lease
	got    []lease
	asks   []ask
	used   float64 // mean of what was spent a second, over about a lease
	spent  float64 // since the latest beat
	denied bool    // something was, since the latest beat
	total  uint64  // ever spent
}

// lease is some shares that have another holder for a time.
type lease struct {
	who     string // lender or borrower
	process uint64
	shares  int
	until   time.Duration // on the own clock
}

// ask is a request for shares whose answer may come.
type ask struct {
	round  uint64
	to     string
	shares int
	sent   time.Duration
}

const (
	asksKept   = 8
	leasesMost = 256 // that run of one budget
)

// OpenBudget opens a budget, or keeps it open, until a time (0: for good). It tells whether there is room for it: where there
// is none, nothing is shared of it, and May says no.
func (s *State) OpenBudget(now time.Duration, key string, t BudgetLimits, until time.Duration) bool {
	if b := s.budgets[key]; b != nil {
		b.end = until
		return true
	}
	if len(s.budgets) >= budgetsMost || !validName(key) {
		return false
	}
	// It starts with nothing: a process before this one may have spent all a moment ago.
	s.budgets[key] = &budget{terms: t, at: now, end: until}
	return true
}

// CloseBudget closes a budget.
func (s *State) CloseBudget(key string) { delete(s.budgets, key) }

// whole is how many shares a budget is cut into.
func (s *State) whole() int { return part * s.crowd }

// sure is when nothing that an earlier process of this router lent is held by anybody any more.
func (s *State) sure() time.Duration { return s.born + s.set.outlasts(s.set.LeaseDuration) }

// own is how many shares are this router's to use or to lend. It guards against two processes of one router that spend
// the same part: one that has been followed spends nothing, and one that has just started leaves alone the half that
// an earlier one may have lent.
func (s *State) own(now time.Duration) int {
	switch {
	case s.set.Guest, s.born == 0, s.retired:
		return 0
	case now < s.sure():
		return part / 2
	}
	return part
}

// lentOut is how many shares others may hold of this router's.
func (b *budget) lentOut(now time.Duration) int { return held(b.lent, now) }

// held sums up the leases that run at a time: of each other holder the largest, as a new loan to it holds what it had.
func held(ls []lease, at time.Duration) (n int) {
	for i, l := range ls {
		more := func(o lease) bool {
			return at < o.until && o.who == l.who && o.process == l.process && o.shares >= l.shares
		}
		if at < l.until && !slices.ContainsFunc(ls[:i], more) && !slices.ContainsFunc(ls[i+1:], func(o lease) bool {
			return more(o) && o.shares > l.shares
		}) {
			n += l.shares
		}
	}
	return n
}

// holds is how many shares this router may spend on now.
func (s *State) holds(b *budget, now time.Duration) int {
	if s.retired {
		return 0
	}
	return max(s.own(now)-b.lentOut(now), 0) + held(b.got, now)
}

// fill brings the tokens up to now. Shares that have gone take what they may have saved with them, so what all routers
// have saved is never over the burst. Shares that came back since the last call earned for who had them meanwhile.
func (s *State) fill(b *budget, now time.Duration) {
	have, whole := s.holds(b, now), float64(s.whole())
	earned := float64(min(have, b.had)) / whole * b.terms.Rate * max(now-b.at, 0).Seconds()
	b.tokens = min(b.tokens+earned, float64(have)/whole*b.terms.Burst)
	b.at, b.had = max(b.at, now), have
}

// CanSpend tells whether one more may be spent of a budget now. A budget that is not open allows all.
func (s *State) CanSpend(now time.Duration, key string) bool {
	b := s.budgets[key]
	if b == nil {
		return true
	}
	s.fill(b, now)
	b.denied = b.denied || b.tokens < 1
	return b.tokens >= 1
}

// Spend spends one. It follows a May that said yes, at the same time.
func (s *State) Spend(now time.Duration, key string) {
	if b := s.budgets[key]; b != nil {
		s.fill(b, now)
		b.tokens, b.spent, b.total = b.tokens-1, b.spent+1, b.total+1
	}
}

// How a router judges what it needs: a quarter more than it has spent lately, or half as much again as it has where
// something was denied. What it does not need so far is to be had by others.
const (
	room    = 1.25
	growth  = 1.5
	askedOf = 2 // others asked at a time
)

// needs is how many shares a router wants for itself.
func (s *State) needs(b *budget, now time.Duration) int {
	n := int(math.Ceil(b.used * room / b.terms.Rate * float64(s.whole())))
	if b.denied {
		n = max(n, int(math.Ceil(growth*float64(s.holds(b, now))))+1)
	}
	return min(n, s.whole())
}

func (s *State) beatBudgets(now time.Duration) {
	for _, key := range slices.Sorted(maps.Keys(s.budgets)) {
		b := s.budgets[key]
		if b.end > 0 && now >= b.end {
			delete(s.budgets, key)
			continue
		}
		s.fill(b, now)
		over := s.set.LeaseDuration.Seconds()
		gone := func(l lease) bool { return now >= l.until }
		b.lent, b.got = slices.DeleteFunc(b.lent, gone), slices.DeleteFunc(b.got, gone)
		b.used = b.used*math.Exp(-s.set.TickInterval.Seconds()/over) + b.spent/over
		s.borrow(now, key, b)
		b.spent, b.denied = 0, false
	}
}

// borrow asks others, a few at a time and in turn, for what is wanted beside the own part. A lease is asked for anew
// when half of it is over, by then of whoever's turn it is.
func (s *State) borrow(now time.Duration, key string, b *budget) {
	if len(s.live) == 0 || s.born == 0 || s.retired {
		return
	}
	sure := max(s.own(now)-b.lentOut(now), 0) + held(b.got, now+s.set.LeaseDuration/2)
	want := s.needs(b, now) - sure
	if want <= 0 {
		return
	}
	if s.next < 0 {
		s.next = placement.StartIndex(s.set.Self, "borrow", len(s.live))
	}
	for range min(askedOf, len(s.live)) {
		s.next, s.round = (s.next+1)%len(s.live), s.round+1
		to, shares := s.live[s.next], (want+askedOf-1)/askedOf
		if len(b.asks) >= asksKept {
			b.asks = slices.Delete(b.asks, 0, 1)
		}
		b.asks = append(b.asks, ask{s.round, to, shares, now})
		s.say(to, "", Message{Kind: KindLeaseRequest, Key: key, Sequence: s.round, Shares: shares})
	}
}

// asked lends what is not needed here, up to half of the own part: the other half is what a process that follows this
// one, and knows of no loans, may use at once.
func (s *State) asked(now time.Duration, m Message) {
	b := s.budgets[m.Key]
	if b == nil || len(b.lent) >= leasesMost || s.set.Guest || s.born == 0 || now < s.sure() || s.retired || m.Shares <= 0 || m.From == s.set.Self {
		return
	}
	has := held(slices.DeleteFunc(slices.Clone(b.lent), func(l lease) bool { return l.who != m.From || l.process != m.Process }), now)
	others := b.lentOut(now) - has // a new loan stands in place of the one that runs
	shares := min(part/2-others, part-others-s.needs(b, now), has+m.Shares)
	if shares <= 0 {
		return
	}
	s.fill(b, now)
	b.lent = append(b.lent, lease{m.From, m.Process, shares, now + s.set.outlasts(s.set.LeaseDuration)})
	s.fill(b, now) // what was saved on the shares lent goes with them
	s.say(m.From, "", Message{Kind: KindLeaseGrant, Key: m.Key, Sequence: m.Sequence, Value: m.Process, Shares: shares})
}

// granted takes shares that were asked for. Their time runs from the asking, which came before the lender's grant: so it
// ends here first, whatever time the messages took.
func (s *State) granted(now time.Duration, m Message) {
	b := s.budgets[m.Key]
	if b == nil || m.Shares <= 0 || m.Shares > part/2 || m.Value != s.set.Process { // or lent to a process before this one
		return
	}
	i := slices.IndexFunc(b.asks, func(a ask) bool { return a.round == m.Sequence && a.to == m.From })
	if i < 0 {
		return
	}
	s.fill(b, now)
	b.got = append(b.got, lease{m.From, m.Process, m.Shares, b.asks[i].sent + s.set.LeaseDuration})
	b.asks = slices.Delete(b.asks, i, i+1)
	s.fill(b, now) // they earn from now on
}

// BudgetStatus is how a budget stands with this router.
type BudgetStatus struct {
	Key                                   string
	OwnShares, LentShares, BorrowedShares int // shares: of its own, lent to others, borrowed
	TotalShares                           int // shares that the budget is cut into
	Spent                                 uint64
}

// BudgetStatuses are the budgets that are open, in order.
func (s *State) BudgetStatuses(now time.Duration) (all []BudgetStatus) {
	for _, key := range slices.Sorted(maps.Keys(s.budgets)) {
		b := s.budgets[key]
		all = append(all, BudgetStatus{key, s.own(now), b.lentOut(now), held(b.got, now), s.whole(), b.total})
	}
	return all
}
