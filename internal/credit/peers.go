package credit

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	maxReportedBalances = 24   // accounts in one message
	maxReportReceivers  = 8    // routers that are reported to at a time
	maxPeers            = 1024 // routers whose reports are remembered
	maxPeerAccounts     = 4096 // accounts that are remembered of each

	// reportLifetime is how long a report counts.
	reportLifetime = 5 * time.Second
)

// peerTable is what is known of the other routers. It guides pacing and requests; no guarantee rests on it.
type peerTable struct {
	alive        []string // in order
	reports      map[string]*peerReport
	nextReceiver int // index into alive: who is reported to next
	reportedAt   time.Duration
}

// peerReport is what another router has reported.
type peerReport struct {
	receivedAt time.Duration
	balances   map[string]balanceReport // by account
}

func (r *peerReport) recent(now time.Duration) bool { return now-r.receivedAt < reportLifetime }

// balance returns how much other routers have lately reported that they hold of an account.
func (p *peerTable) balance(now time.Duration, account string) int64 {
	sum := int64(0)
	for _, report := range p.reports {
		if report.recent(now) {
			sum += max(report.balances[account].Amount, 0)
		}
	}
	return min(sum, MaxAmount)
}

// spendingRate returns how much other routers have lately reported that they spend of an account a second.
func (p *peerTable) spendingRate(now time.Duration, account string) float64 {
	sum := 0.0
	for _, name := range slices.Sorted(maps.Keys(p.reports)) { // in order: the sum of floats depends on it
		if report := p.reports[name]; report.recent(now) {
			sum += report.balances[account].Rate
		}
	}
	return sum
}

// richest returns the router that is alive and has reported the most of an account; empty if none has any.
func (p *peerTable) richest(now time.Duration, account string) string {
	best, most := "", int64(0)
	for _, name := range p.alive {
		report := p.reports[name]
		if report == nil || !report.recent(now) {
			continue
		}
		if amount := report.balances[account].Amount; amount > most {
			best, most = name, amount
		}
	}
	return best
}

// SetPeers sets the names of the other routers that are alive, in order.
func (l *Ledger) SetPeers(alive []string) { l.peers.alive = alive }

// reportBalances reports what this router holds to some other routers, in turn.
func (l *Ledger) reportBalances(now time.Duration) {
	p := &l.peers
	if len(p.alive) == 0 || now < p.reportedAt+l.settings.TickInterval {
		return
	}
	p.reportedAt = now
	receivers := min(len(p.alive), maxReportReceivers)
	balances := l.balanceReports()
	for part := range slices.Chunk(balances, maxReportedBalances) {
		for i := range receivers {
			to := p.alive[(p.nextReceiver+i)%len(p.alive)]
			l.send(now, to, message{Kind: messageBalances, Balances: part}, l.settings.TickInterval)
		}
		if len(balances) > 4*maxReportedBalances { // only those used most; the others wait until these are used less
			break
		}
	}
	p.nextReceiver = (p.nextReceiver + receivers) % len(p.alive)
}

// balanceReports returns reports of all accounts; those that are spent fastest come first.
func (l *Ledger) balanceReports() []balanceReport {
	var reports []balanceReport
	for a := range l.sortedAccounts() {
		reports = append(reports, balanceReport{Account: a.name, Amount: a.spendable(), Rate: a.spendingRate})
	}
	slices.SortStableFunc(reports, func(x, y balanceReport) int {
		return int(math.Copysign(1, y.Rate-x.Rate))
	})
	return reports
}

// receiveBalances remembers what another router has reported of accounts that this router knows.
func (l *Ledger) receiveBalances(now time.Duration, from string, balances []balanceReport) {
	report := l.peers.reports[from]
	if report == nil {
		if len(l.peers.reports) >= maxPeers {
			return
		}
		report = &peerReport{balances: map[string]balanceReport{}}
		l.peers.reports[from] = report
	}
	report.receivedAt = now
	for _, balance := range balances {
		if len(report.balances) >= maxPeerAccounts || !balance.valid() || l.accounts[balance.Account] == nil {
			continue
		}
		report.balances[balance.Account] = balance
	}
}

func (b *balanceReport) valid() bool {
	return len(b.Account) <= maxNameLength &&
		b.Amount >= 0 && b.Amount <= MaxAmount &&
		b.Rate >= 0 && b.Rate <= float64(MaxAmount)
}
