// Package prepaidcredit puts prepaid credit into the core: it carries out what credit decides, writes its ledger, and hands requests
// and the packets of other routers to it. Only programs built with the tag cluster have it.
package prepaidcredit

import (
	"errors"
	"log/slog"
	"time"

	"hillknot/internal/cluster/messaging"
	"hillknot/internal/core"
	"hillknot/internal/credit"
	"hillknot/internal/credit/store"
	"hillknot/internal/credit/topups"
	"hillknot/internal/operatorhint"
)

// Transport carries packets between routers. No method may block.
type Transport interface {
	CarryCredit([]messaging.Packet)
	Alive() (others []string, owners int)
}

// Settings set up the purse beside what credit needs.
type Settings struct {
	TopUpFile    string // the file
	AllowUnnamed bool   // requests without an account are free
}

// Extension implements core.Credit. All its methods but ReloadTopUps and Run belong to the core's goroutine.
type Extension struct {
	core    *core.Core
	set     Settings
	book    *credit.Ledger
	ledger  *store.File
	carrier Transport
	writes  chan []store.Record
	results chan error
	writing []credit.Record
	figures []core.Metric
	fresh   time.Duration
	beat    time.Duration
	told    string // the trouble that the log knows of
}

// retryEvery is how often a ledger that could not be written is tried again.
const retryEvery = 500 * time.Millisecond

// Open opens the ledger and reads the top-ups. Set.LedgerID is the ledger's to tell.
func Open(c *core.Core, path string, set credit.Settings, more Settings, carrier Transport) (*Extension, error) {
	l, lines, err := store.Open(path, set.Router)
	if err != nil {
		return nil, err
	}
	entries := make([]credit.Record, len(lines))
	for i, line := range lines {
		entries[i] = credit.Record(line)
	}
	set.LedgerID = l.LedgerID
	p := &Extension{core: c, set: more, ledger: l, carrier: carrier, writes: make(chan []store.Record, 1), results: make(chan error, 1), beat: set.TickInterval}
	if p.book, err = credit.New(set, entries); err == nil {
		err = p.fund(0)
	}
	if err != nil {
		_ = l.Close() // the first error is the one to report
		return nil, err
	}
	return p, nil
}

func (p *Extension) fund(now time.Duration) error {
	list, err := topups.Read(p.set.TopUpFile)
	if err != nil {
		return err
	}
	return p.book.ApplyTopUps(list)
}

// Start begins to hold requests to their accounts.
func (p *Extension) Start() {
	p.core.SetCredit(p)
	p.tick()
}

// Run writes the ledger until stop is closed: a group at a time, which is all that came together while the one before was
// on its way to the disk.
func (p *Extension) Run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case group := <-p.writes:
			p.results <- p.ledger.Write(group)
			p.core.Post(p.written)
		}
	}
}

// written takes how the group that was handed over came out, once.
func (p *Extension) written() {
	var err error
	select {
	case err = <-p.results:
	default:
		return
	}
	lines := p.writing
	p.writing = nil
	p.book.WriteCompleted(p.core.LoopTime(), lines, err)
	if err != nil {
		p.core.Schedule(p.core.LoopTime()+retryEvery, p.write)
		return
	}
	p.write()
}

// write hands the ledger what is to be written, unless something is on its way there.
func (p *Extension) write() {
	if p.writing != nil {
		return
	}
	p.writing = p.book.NextWrite()
	if p.writing == nil {
		return
	}
	group := make([]store.Record, len(p.writing))
	for i, e := range p.writing {
		group[i] = store.Record(e)
	}
	p.writes <- group // there is room: nothing else is on its way
}

func (p *Extension) tick() {
	now := p.core.LoopTime()
	others, _ := p.carrier.Alive()
	p.book.SetPeers(others)
	p.book.Tick(now)
	p.trouble()
	if now >= p.fresh {
		p.fresh = now + p.beat
		p.figures = figures(p.book.Totals, p.book.AccountStatuses(now))
	}
	p.core.Schedule(now+p.beat, p.tick)
}

// trouble tells the log, once, why the ledger is not written or not counted on.
func (p *Extension) trouble() {
	err := errors.Join(p.book.WriteError(), p.book.IdentityError())
	text := ""
	if err != nil {
		text = err.Error()
	}
	if text != p.told && err != nil {
		slog.Error("credit", operatorhint.Attr(err))
	} else if text != p.told {
		slog.Info("credit is well again")
	}
	p.told = text
}

// ReceivePacket takes a packet of another router.
func (p *Extension) ReceivePacket(data []byte) { p.book.ReceivePacket(p.core.LoopTime(), data) }

// Flush implements core.Credit.
func (p *Extension) Flush() {
	if p.book.WriteError() == nil {
		p.write()
	}
	if out := p.book.OutgoingPackets(p.core.LoopTime()); len(out) > 0 {
		p.carrier.CarryCredit(out)
	}
}

// ReloadTopUps reads the file of top-ups again. A faulty one changes nothing. It may be called anywhere.
func (p *Extension) ReloadTopUps() error {
	list, err := topups.Read(p.set.TopUpFile)
	if err != nil {
		return err
	}
	done := make(chan error, 1)
	p.core.Post(func() { done <- p.book.ApplyTopUps(list) })
	return <-done
}

// Reserve implements core.Credit.
func (p *Extension) Reserve(q *core.Request) (core.Reservation, error) {
	if q.Account == "" && p.set.AllowUnnamed {
		return nil, nil
	}
	t, err := p.book.Reserve(p.core.LoopTime(), q.Account, q.Class)
	if err != nil {
		return nil, err
	}
	return t, nil
}

// Charge implements core.Credit.
func (p *Extension) Charge(reservation core.Reservation, bytes int) {
	if t, ok := reservation.(credit.Reservation); ok { // else it was free
		p.book.Charge(t, bytes)
	}
}

// Release implements core.Credit.
func (p *Extension) Release(reservation core.Reservation) {
	if t, ok := reservation.(credit.Reservation); ok { // else it was free
		p.book.Release(t)
	}
}

// RetryAfter implements core.Credit.
func (p *Extension) RetryAfter(err error) (wait time.Duration, reason string) {
	var (
		out    credit.FundsExhaustedError
		paced  credit.FundsPacedError
		moving credit.TransferPendingError
		nobody credit.UnknownAccountError
	)
	switch {
	case errors.As(err, &out):
		return out.RetryAfter, "funds-out"
	case errors.As(err, &paced):
		return paced.RetryAfter, "funds-low"
	case errors.As(err, &moving):
		return moving.RetryAfter, "funds-moving"
	case errors.As(err, &nobody):
		return 0, "no-account"
	}
	return time.Second, "credit"
}

// Close implements core.Credit: what is free goes back to the ledger. It waits for the disk, as the router ends.
func (p *Extension) Close() {
	p.book.Close()
	if p.writing != nil { // what is on its way comes first
		p.book.WriteCompleted(p.core.LoopTime(), p.writing, <-p.results)
		p.writing = nil
	}
	var all []store.Record
	for _, e := range p.book.NextWrite() {
		all = append(all, store.Record(e))
	}
	if len(all) > 0 {
		if err := p.ledger.Write(all); err != nil {
			slog.Error("credit not brought back", "err", err)
		}
	}
	_ = p.ledger.Close() // all is written, or was told
}

// Metrics implements core.Credit.
func (p *Extension) Metrics() []core.Metric { return p.figures }

func figures(t credit.Totals, accounts []credit.AccountStatus) []core.Metric {
	out := []core.Metric{
		{Name: "credit_charged", Help: "Charged by this router, in millionths.", Value: uint64(t.Charged), Counter: true},
		{Name: "credit_given", Help: "Rights given to other routers, in millionths.", Value: uint64(t.TransferredOut), Counter: true},
		{Name: "credit_taken", Help: "Rights taken from other routers, in millionths.", Value: uint64(t.TransferredIn), Counter: true},
		{Name: "credit_refused_out", Help: "Requests refused as funds are out.", Value: t.RejectedExhausted, Counter: true},
		{Name: "credit_refused_low", Help: "Requests refused as funds are low and paced.", Value: t.RejectedPaced, Counter: true},
		{Name: "credit_refused_moving", Help: "Requests refused as rights were on their way.", Value: t.RejectedPending, Counter: true},
	}
	levels, held := [3]uint64{}, int64(0)
	for _, a := range accounts {
		levels[a.Level]++
		held += max(a.Rights, 0) + a.Available + a.Reserved
	}
	for l := credit.LevelAmple; l <= credit.LevelExhausted; l++ {
		out = append(out, core.Metric{Name: "credit_accounts_" + l.String(), Help: "Accounts that stand so with this router.", Value: levels[l]})
	}
	return append(out, core.Metric{Name: "credit_held", Help: "Rights that this router holds, in millionths.", Value: uint64(held)})
}
