package credit

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	maxReportedBalances = 24   // accounts in one message
	maxReportReceivers  = 8    // routers that receive the reports of one tick
	maxPeers            = 1024 // routers whose reports are kept
	maxPeerAccounts     = 4096 // accounts that are kept of each router

	// reportLifetime is how long a report is used after it was received.
	reportLifetime = 5 * time.Second
)

// peerTable holds what the other routers have reported. It guides pacing and requests for transfers; no guarantee
// depends on it.
type peerTable struct {
	alive        []string               // sorted names
	reports      map[string]*peerReport // by router name
	nextReceiver int                    // index into alive of the router that receives the next report
	reportedAt   time.Duration          // time of this router's latest report
}

// peerReport holds the balances that another router has reported.
type peerReport struct {
	receivedAt time.Duration
	balances   map[string]balanceReport // by account
}

func (r *peerReport) recent(now time.Duration) bool { return now-r.receivedAt < reportLifetime }

// balance returns the sum of the amounts that other routers have lately reported for an account, at most MaxAmount.
func (p *peerTable) balance(now time.Duration, account string) int64 {
	sum := int64(0)
	for _, report := range p.reports {
		if report.recent(now) {
			sum += max(report.balances[account].Amount, 0)
		}
	}
	return min(sum, MaxAmount)
}

// spendingRate returns the sum of the spending rates, in millionths of a credit per second, that other routers have
// lately reported for an account.
func (p *peerTable) spendingRate(now time.Duration, account string) float64 {
	sum := 0.0
	for _, name := range slices.Sorted(maps.Keys(p.reports)) { // sorted, because the sum of floats depends on the order
		if report := p.reports[name]; report.recent(now) {
			sum += report.balances[account].Rate
		}
	}
	return sum
}

// largestHolder returns the router that is alive and has lately reported the largest amount of an account, or "" if none
// has reported any.
func (p *peerTable) largestHolder(now time.Duration, account string) string {
	holder, largest := "", int64(0)
	for _, name := range p.alive {
		report := p.reports[name]
		if report == nil || !report.recent(now) {
			continue
		}
		if amount := report.balances[account].Amount; amount > largest {
			holder, largest = name, amount
		}
	}
	return holder
}

// SetPeers sets the names of the other routers that are alive, sorted.
func (l *Ledger) SetPeers(alive []string) { l.peers.alive = alive }

// reportBalances sends this router's balances to up to maxReportReceivers other routers. Each call continues with the
// routers that follow those of the previous call.
func (l *Ledger) reportBalances(now time.Duration) {
	p := &l.peers
	if len(p.alive) == 0 || now < p.reportedAt+l.settings.TickInterval {
		return
	}
	p.reportedAt = now
	receivers := min(len(p.alive), maxReportReceivers)
	balances := l.balanceReports()
	for chunk := range slices.Chunk(balances, maxReportedBalances) {
		for i := range receivers {
			receiver := p.alive[(p.nextReceiver+i)%len(p.alive)]
			l.send(now, receiver, message{Kind: messageBalances, Balances: chunk}, l.settings.TickInterval)
		}
		if len(balances) > 4*maxReportedBalances { // the other accounts are reported once they are among those spent fastest
			break
		}
	}
	p.nextReceiver = (p.nextReceiver + receivers) % len(p.alive)
}

// balanceReports returns the reports of all accounts, sorted by descending spending rate.
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

// receiveBalances stores what another router has reported for accounts that this router knows.
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
