// Package credit decides what a customer's prepaid balance allows, for one router of a fleet that shares the balance. It does
// no I/O, reads no clock and draws no chance: what happens is told by calls that carry the time; what is to be written to
// the disk, and to be sent, is read with Write and Out. What it promises and why stands in docs/design/credit.md.
//
// A balance is cut into rights to spend. Each has one holder, whatever the network does: a top-up is split among named
// routers by the top-up itself, and a right moves only after its giver has it written down as given. So all routers
// together never charge more than was funded, and none needs a message to know that.
package credit

import (
	"crypto/sha256"
	"fmt"
	"math"
	"slices"
	"time"
)

// Settings set up one router's part.
type Settings struct {
	Router           string
	Incarnation      uint64
	LedgerID         string           // the name of this router's ledger, drawn once as it was made
	Prices           map[string]Price // by class
	PacingHorizon    time.Duration    // once it would last for less than this, what is left is paced to last so long
	DrawWindow       time.Duration    // what is spent in so long is drawn from the ledger at a time
	TickInterval     time.Duration
	MaxAccounts      int // that are known, at most
	MaxResponseBytes int // bytes of the largest answer
}

// Defaults returns settings without prices.
func Defaults(self string, process uint64, ledger string) Settings {
	return Settings{Router: self, Incarnation: process, LedgerID: ledger, PacingHorizon: 30 * time.Second, DrawWindow: time.Second, TickInterval: 200 * time.Millisecond, MaxAccounts: 10_000, MaxResponseBytes: 240_000}
}

// Price is what a request of a class costs, in millionths of a credit.
type Price struct {
	PerRequest  int64
	PerMegabyte int64
	Weight      float64 // where funds are low, classes of greater worth go first
}

// Cost is the price of a request whose answer has so many bytes.
func (p Price) Cost(bytes int) int64 {
	return p.PerRequest + int64(math.Ceil(float64(p.PerMegabyte)*float64(bytes)/1e6))
}

// MaxAmount bounds an amount, and the sum of all top-ups of an account: a trillion credits.
const MaxAmount = int64(1e18)

// Validate names the first setting that can't be used.
func (s Settings) Validate() error {
	switch {
	case s.Router == "" || len(s.Router) > 128 || s.Incarnation == 0 || s.LedgerID == "" || len(s.LedgerID) > 64:
		return fmt.Errorf("setting Self is %q, Process %d, Ledger %q: names, and a number above 0", s.Router, s.Incarnation, s.LedgerID)
	case s.PacingHorizon < time.Second || s.PacingHorizon > 24*time.Hour:
		return fmt.Errorf("setting Rest is %v, not a second to a day", s.PacingHorizon)
	case s.DrawWindow < 10*time.Millisecond || s.DrawWindow > time.Minute || s.TickInterval < 10*time.Millisecond || s.TickInterval > time.Minute:
		return fmt.Errorf("setting Chunk is %v, Beat %v, not 10 ms to a minute", s.DrawWindow, s.TickInterval)
	case s.MaxAccounts < 1 || s.MaxAccounts > 1<<20:
		return fmt.Errorf("setting Accounts is %d, not 1 to a million", s.MaxAccounts)
	}
	for class, p := range s.Prices {
		if p.PerRequest < 0 || p.PerMegabyte < 0 || p.PerRequest > MaxAmount/1e6 || p.PerMegabyte > MaxAmount/1e6 || !(p.Weight >= 0) {
			return fmt.Errorf("the price of %q is under 0, or over any balance", class)
		}
	}
	return nil
}

// TopUp is a payment, as the file of top-ups has it. One with an amount under 0 takes back what is not spent.
type TopUp struct {
	ID      string
	Account string
	Amount  int64    // in millionths of a credit
	Routers []string // the routers that it is split among; once a line is written this stays as it is
}

const nameMost = 128

func (t TopUp) check() error {
	switch {
	case t.ID == "" || len(t.ID) > nameMost || t.Account == "" || len(t.Account) > nameMost:
		return TopUpRejectedError{t.ID, "its id or its account is empty, or over 128 bytes"}
	case t.Amount == 0 || t.Amount > MaxAmount || t.Amount < -MaxAmount:
		return TopUpRejectedError{t.ID, "its amount is 0, or over a trillion"}
	case len(t.Routers) == 0 || len(t.Routers) > 1000:
		return TopUpRejectedError{t.ID, "it is split among no routers, or over a thousand"}
	}
	for i, name := range t.Routers {
		if name == "" || len(name) > nameMost || slices.Contains(t.Routers[:i], name) {
			return TopUpRejectedError{t.ID, "a router that it is split among has no name, or stands there twice"}
		}
	}
	return nil
}

// share is a router's part of a top-up. All parts add up to the whole: who comes first among the routers has what is left.
func (t TopUp) share(self string) int64 {
	among := slices.Sorted(slices.Values(t.Routers))
	i := slices.Index(among, self)
	if i < 0 {
		return 0
	}
	n := int64(len(among))
	part := t.Amount / n
	if rest := t.Amount - part*n; i == 0 {
		part += rest
	}
	return part
}

// print tells top-ups of one id apart.
func (t TopUp) print() [32]byte {
	return sha256.Sum256(fmt.Appendf(nil, "%q %q %d %q", t.ID, t.Account, t.Amount, slices.Sorted(slices.Values(t.Routers))))
}

// Level is how an account stands.
type Level uint8

// The levels.
const (
	LevelAmple Level = iota
	LevelLow         // what is left is paced
	LevelExhausted
)

func (l Level) String() string { return [...]string{"ample", "low", "out"}[min(l, LevelExhausted)] }
