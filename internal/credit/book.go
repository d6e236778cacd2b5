package credit

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hillknot/internal/cluster/messaging"
)

// Record is a line of the ledger: a key, and its value, or nil where the line is gone.
type Record struct {
	Key   string
	Value []byte
}

// Ledger is one router's part of all balances. It is not safe for concurrent use.
type Ledger struct {
	set      Settings
	post     *messaging.Messenger
	accounts map[string]*account
	topups   map[string]applied
	list     []TopUp // as read last
	gifts    map[string]*gift
	got      map[string]uint64 // by ledger: the latest gift of it that was taken
	names    map[string]string // ledgers of other routers
	meta     meta
	asked    map[uint64]asked
	births   map[string]bool // others that know no other ledger under this name
	live     []string
	known    map[string]*theirs
	turn     int
	told     time.Duration
	stopped  error // this ledger spends nothing: NameTaken holds back top-ups alone

	dirty  map[string]any // to be written
	flying bool
	after  []func(now time.Duration) // once all that is dirty is written
	then   []func(now time.Duration) // once what is being written is
	failed error
	Totals Totals
}

// Totals count what has happened since the start, in millionths of a credit where they are amounts.
type Totals struct {
	Charged, Released, TransferredOut, TransferredIn  int64
	RejectedExhausted, RejectedPaced, RejectedPending uint64 // refused
}

// meta is what a ledger says of itself.
type meta struct {
	_      struct{} `cbor:",toarray"`
	Ledger string
	Self   string
	Born   bool // all others have said that they know no other ledger under this name
}

// account is what this router holds of one. Rights and Drawn are the ledger's.
type account struct {
	name string
	line accountLine
	wait int64 // of Rights: not written yet, so not to be spent
	free int64 // drawn, and not reserved
	held int64 // reserved
	draw int64 // being drawn

	rate    float64 // spent a second, of late
	spent   int64   // since the latest beat
	level   Level
	pace    float64 // a second, while it is low
	bucket  float64 // of the pace
	at      time.Duration
	denied  bool // something was, since the latest beat
	begged  time.Duration
	charged int64
}

type accountLine struct {
	_      struct{} `cbor:",toarray"`
	Rights int64    // to be drawn or given away; under 0: taken back after it was spent
	Drawn  int64    // ever, less what was brought back
}

// applied is a top-up of which this router has had its part.
type applied struct {
	_     struct{} `cbor:",toarray"`
	Print [32]byte
	Part  int64
}

// gift is rights that are on their way to a router, one after the other.
type gift struct {
	_       struct{} `cbor:",toarray"`
	Seq     uint64
	Account string
	Amount  int64 // 0: none is on its way
	to      string
	written bool
	parcel  uint64
}

// New returns the book of a process that has just started, with what its ledger holds.
func New(set Settings, entries []Record) (*Ledger, error) {
	if err := set.Validate(); err != nil {
		return nil, fmt.Errorf("credit: %w", err)
	}
	b := &Ledger{set: set, post: messaging.New(messaging.Defaults(set.Router, set.Incarnation)), accounts: map[string]*account{}, topups: map[string]applied{},
		gifts: map[string]*gift{}, got: map[string]uint64{}, names: map[string]string{}, asked: map[uint64]asked{}, births: map[string]bool{},
		known: map[string]*theirs{}, dirty: map[string]any{}, meta: meta{Ledger: set.LedgerID, Self: set.Router}}
	for _, e := range entries {
		if err := b.load(e); err != nil {
			return nil, fmt.Errorf("credit: ledger line %q: %w", e.Key, err)
		}
	}
	if b.meta.Ledger != set.LedgerID || b.meta.Self != set.Router {
		return nil, fmt.Errorf("credit: the ledger is %q of %q, not %q of %q", b.meta.Ledger, b.meta.Self, set.LedgerID, set.Router)
	}
	b.dirty["meta"] = b.meta
	return b, nil
}

func (b *Ledger) load(e Record) error {
	kind, name, _ := strings.Cut(e.Key, "/")
	switch kind {
	case "meta":
		return cbor.Unmarshal(e.Value, &b.meta)
	case "account":
		a := b.account(name)
		return cbor.Unmarshal(e.Value, &a.line)
	case "topup":
		var t applied
		err := cbor.Unmarshal(e.Value, &t)
		b.topups[name] = t
		return err
	case "gift":
		g := &gift{to: name, written: true}
		b.gifts[name] = g
		return cbor.Unmarshal(e.Value, g)
	case "got":
		var n uint64
		err := cbor.Unmarshal(e.Value, &n)
		b.got[name] = n
		return err
	case "name":
		var s string
		err := cbor.Unmarshal(e.Value, &s)
		b.names[name] = s
		return err
	}
	return fmt.Errorf("no such kind of line")
}

func (b *Ledger) account(name string) *account {
	a := b.accounts[name]
	if a == nil {
		a = &account{name: name}
		b.accounts[name] = a
	}
	return a
}

// ---- The ledger ----

// change has lines written, and something done once they are.
func (b *Ledger) change(after func(now time.Duration), keys ...string) {
	for _, key := range keys {
		kind, name, _ := strings.Cut(key, "/")
		switch kind {
		case "meta":
			b.dirty[key] = b.meta
		case "account":
			b.dirty[key] = b.accounts[name].line
		case "topup":
			b.dirty[key] = b.topups[name]
		case "gift":
			b.dirty[key] = *b.gifts[name]
		case "got":
			b.dirty[key] = b.got[name]
		case "name":
			b.dirty[key] = b.names[name]
		}
	}
	if after != nil {
		b.after = append(b.after, after)
	}
}

// onceWritten has something done once all that was changed so far is written.
func (b *Ledger) onceWritten(f func(now time.Duration)) {
	switch {
	case len(b.dirty) > 0:
		b.after = append(b.after, f)
	case b.flying:
		b.then = append(b.then, f)
	default:
		f(0)
	}
}

// NextWrite returns the lines that are to be written now, all of them or none; nil where there are none, or some are being
// written. Written is called when that is done.
func (b *Ledger) NextWrite() (lines []Record) {
	if b.flying || len(b.dirty) == 0 {
		return nil
	}
	for _, key := range slices.Sorted(maps.Keys(b.dirty)) {
		value, err := cbor.Marshal(b.dirty[key])
		if err != nil { // these types can't fail
			continue
		}
		lines = append(lines, Record{key, value})
	}
	b.flying, b.then, b.after = true, append(b.then, b.after...), nil
	clear(b.dirty)
	return lines
}

// WriteCompleted tells that the lines of the latest Write are on the disk, or why they may not be. What was taken from them stays
// taken; what they were to bring counts once they are written after all.
func (b *Ledger) WriteCompleted(now time.Duration, lines []Record, err error) {
	b.flying, b.failed = false, err
	if err != nil {
		b.failed = LedgerWriteError{err.Error()}
		for _, l := range lines { // as they are by now
			b.change(nil, l.Key)
		}
		return
	}
	then := b.then
	b.then = nil
	for _, f := range then {
		f(now)
	}
}

// WriteError is why the ledger is not written, if it is not.
func (b *Ledger) WriteError() error { return b.failed }

// IdentityError is why this router counts no top-ups, or spends nothing, if that is so.
func (b *Ledger) IdentityError() error { return b.stopped }

// ---- Top-ups ----

// ApplyTopUps takes the file of top-ups, as a whole or not at all. What was counted before is not counted again.
func (b *Ledger) ApplyTopUps(now time.Duration, list []TopUp) error {
	seen, sums := map[string]bool{}, map[string]int64{}
	for _, t := range list {
		if err := t.check(); err != nil {
			return err
		}
		if seen[t.ID] {
			return TopUpRejectedError{t.ID, "it stands there twice"}
		}
		if seen[t.ID] = true; len(sums) > b.set.MaxAccounts {
			return TopUpRejectedError{t.ID, "there are too many accounts"}
		}
		if sums[t.Account] += t.Amount; sums[t.Account] > MaxAmount || sums[t.Account] < -MaxAmount {
			return TopUpRejectedError{t.ID, "the account's top-ups add up to over a trillion"}
		}
		if was, ok := b.topups[t.ID]; ok && was.Print != t.print() {
			return TopUpRejectedError{t.ID, "it was counted before with another account, amount or split"}
		}
	}
	b.list = slices.Clone(list)
	b.count(now)
	return nil
}

// count takes this router's parts of the top-ups that it has not had yet. It does so only once it is sure that no other
// ledger has had them under its name.
func (b *Ledger) count(now time.Duration) {
	for _, t := range b.list {
		a := b.account(t.Account) // known from now on, wherever its rights are
		if _, ok := b.topups[t.ID]; ok || !b.meta.Born || b.stopped != nil {
			continue
		}
		part := t.share(b.set.Router)
		if part < 0 { // what is taken back is taken from what is free, too
			b.bringBack(a, 0)
		}
		b.topups[t.ID] = applied{Print: t.print(), Part: part}
		b.add(a, part, "topup/"+t.ID)
	}
}

// add brings rights into the ledger; they are to be spent once that is written. Rights that are taken are gone at once.
func (b *Ledger) add(a *account, n int64, with ...string) {
	a.line.Rights += n
	if n > 0 {
		a.wait += n
	}
	b.change(func(time.Duration) { a.wait -= max(n, 0) }, append(with, "account/"+a.name)...)
}

// ---- Requests ----

// Reservation is what is reserved for a request.
type Reservation struct {
	Account string
	price   Price // as it was when the request came
	amount  int64
}

// Reserve sets aside what a request may cost at most. An error says why it can't be taken: it never ran.
func (b *Ledger) Reserve(now time.Duration, name, class string) (Reservation, error) {
	a := b.accounts[name]
	if a == nil {
		return Reservation{}, UnknownAccountError{name}
	}
	price := b.set.Prices[class]
	n := price.Cost(b.set.MaxResponseBytes)
	switch {
	case b.stale(): // what it has drawn before it heard that may be spent already, too
		return Reservation{}, b.stopped
	case n == 0:
		return Reservation{Account: name, price: price}, nil
	case a.free < n:
		a.denied = true
		b.draw(a, ahead*n)
		return Reservation{}, b.lacking(now, a, n)
	case a.level == LevelLow && !b.paced(now, a, price, n):
		b.Totals.RejectedPaced++
		a.denied = true
		return Reservation{}, FundsPacedError{name, b.set.TickInterval}
	}
	a.free, a.held = a.free-n, a.held+n
	a.spent += n
	if need := int64(a.rate * b.set.DrawWindow.Seconds()); a.free+a.draw < max(need/2, ahead/2*n) { // the next ones come before the beat
		b.draw(a, max(need, ahead*n))
	}
	return Reservation{name, price, n}, nil
}

// ahead is how many requests are drawn for at least, once an account is in use.
const ahead = 16

// lacking is why nothing can be reserved now.
func (b *Ledger) lacking(now time.Duration, a *account, n int64) error {
	switch own := b.own(a); {
	case own >= n && b.failed != nil:
		return b.failed
	case own >= n, own+b.elsewhere(now, a.name) >= n:
		if own < n {
			b.beg(now, a)
		}
		b.Totals.RejectedPending++
		return TransferPendingError{a.name, 50 * time.Millisecond}
	}
	b.Totals.RejectedExhausted++
	return FundsExhaustedError{a.name, time.Second}
}

// Charge settles a request that was served or may have run: its answer had so many bytes. The rest of what was set aside is
// free again.
func (b *Ledger) Charge(t Reservation, bytes int) int64 {
	n := min(t.price.Cost(bytes), t.amount)
	b.settle(t, n)
	return n
}

// Release settles a request that never ran, or was refused.
func (b *Ledger) Release(t Reservation) { b.settle(t, 0) }

func (b *Ledger) settle(t Reservation, n int64) {
	a := b.accounts[t.Account]
	if a == nil || t.amount == 0 {
		return
	}
	a.held -= t.amount
	a.free += t.amount - n
	a.charged += n
	a.spent -= t.amount - n
	b.Totals.Charged += n
	b.Totals.Released += t.amount - n
}

// draw has rights moved from the ledger into memory, where requests are paid from: as much as is spent in a chunk's time,
// and no less than is needed now.
func (b *Ledger) draw(a *account, need int64) {
	want := max(int64(math.Ceil(a.rate*b.set.DrawWindow.Seconds())), need, 1) - a.free - a.draw
	n := min(want, a.line.Rights-a.wait)
	if n <= 0 || b.stale() || b.failed != nil {
		return
	}
	a.line.Rights, a.line.Drawn, a.draw = a.line.Rights-n, a.line.Drawn+n, a.draw+n
	b.change(func(time.Duration) { a.draw, a.free = a.draw-n, a.free+n }, "account/"+a.name)
}

// ready is what is kept in memory even where nobody asks: enough for the next two requests, so that these need not wait for
// the disk.
func (b *Ledger) ready(a *account) (n int64) {
	for _, p := range b.set.Prices {
		n = max(n, 2*p.Cost(b.set.MaxResponseBytes))
	}
	return min(n, max(a.line.Rights-a.wait, 0)+a.free+a.draw)
}

// Close brings what is free back to the ledger. Nothing is reserved any more after it.
func (b *Ledger) Close() {
	for _, name := range slices.Sorted(maps.Keys(b.accounts)) {
		b.bringBack(b.accounts[name], 0)
	}
}

// bringBack returns what is free to the ledger but for so much.
func (b *Ledger) bringBack(a *account, but int64) {
	if n := a.free - but; n > 0 {
		a.free -= n
		a.line.Drawn -= n
		b.add(a, n)
	}
}

func (b *Ledger) stale() bool {
	_, is := b.stopped.(StaleLedgerError)
	return is
}

// ---- Levels ----

// Leaving Low needs more than entering it.
const hysteresis = 1.25

// paced tells whether a request may take from what is paced. Half of the bucket is for the classes of the greatest worth.
func (b *Ledger) paced(now time.Duration, a *account, p Price, n int64) bool {
	b.fill(now, a, n)
	spare := 0.0
	for _, other := range b.set.Prices {
		if other.Weight > p.Weight {
			spare = b.burst(a, n) / 2
		}
	}
	if a.bucket < float64(n)+spare {
		return false
	}
	a.bucket -= float64(n)
	return true
}

// burst is what may be spent at once where it is paced: that of a second, or one request.
func (b *Ledger) burst(a *account, n int64) float64 {
	return max(a.pace, 2*float64(n))
}

func (b *Ledger) fill(now time.Duration, a *account, n int64) {
	a.bucket = min(a.bucket+a.pace*max(now-a.at, 0).Seconds(), b.burst(a, n))
	a.at = max(a.at, now)
}

// own is what this router may still spend of an account.
func (b *Ledger) own(a *account) int64 { return max(a.line.Rights, 0) + a.free + a.draw }

// Tick looks at rates and levels, draws ahead of need, and moves rights to where they are used. It is due every
// Settings.Tick; one that comes late does no harm.
func (b *Ledger) Tick(now time.Duration) {
	b.post.Tick(now)
	b.ends(now)
	keep := math.Exp(-b.set.TickInterval.Seconds() / 2)
	for _, name := range slices.Sorted(maps.Keys(b.accounts)) {
		a := b.accounts[name]
		a.rate = a.rate*keep + float64(max(a.spent, 0))/b.set.TickInterval.Seconds()*(1-keep)
		if a.rate < 1e-3 {
			a.rate = 0
		}
		a.spent = 0
		b.look(now, a)
		need := int64(math.Ceil(a.rate * b.set.DrawWindow.Seconds()))
		ready := b.ready(a)
		if a.free+a.draw < max(need/2, ready) || a.denied {
			b.draw(a, max(need, ready))
		}
		if a.free > 4*max(need, ready) && a.rate == 0 {
			b.bringBack(a, ready) // nobody uses it here
		}
		if b.own(a) < 2*need || a.denied && a.line.Rights <= a.wait {
			b.beg(now, a)
		}
		a.denied = false
	}
	b.tellAll(now)
	b.beBorn(now)
}

// look sets an account's level by what is left and how fast it goes, over all routers as far as they have told.
func (b *Ledger) look(now time.Duration, a *account) {
	left, rate := float64(b.own(a)+b.elsewhere(now, a.name)), a.rate+b.ratesElsewhere(now, a.name)
	last := rate * b.set.PacingHorizon.Seconds()
	switch {
	case left <= 0:
		a.level = LevelExhausted
	case a.level == LevelLow && left > hysteresis*last, a.level == LevelAmple && left >= last, a.level == LevelExhausted && left >= last:
		a.level = LevelAmple
	default:
		if a.level != LevelLow {
			a.bucket, a.at, a.pace = 0, now, 0
		}
		a.level = LevelLow
		// It stays as it was: what is left lasts for the time that is set, and is then used up.
		a.pace = max(a.pace, float64(b.own(a))/b.set.PacingHorizon.Seconds())
	}
}

// AccountStatus is how an account stands with this router.
type AccountStatus struct {
	Account                         string
	Level                           Level
	Rights, Free, Held, Charged, Of int64 // Of: what others have told that they hold
}

// AccountStatuses returns how all accounts stand, in the order of their names.
func (b *Ledger) AccountStatuses(now time.Duration) (out []AccountStatus) {
	for _, name := range slices.Sorted(maps.Keys(b.accounts)) {
		a := b.accounts[name]
		out = append(out, AccountStatus{name, a.level, a.line.Rights, a.free + a.draw, a.held, a.charged, b.elsewhere(now, name)})
	}
	return out
}
