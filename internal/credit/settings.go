package credit

import (
	"fmt"
	"math"
	"strings"
	"time"
)

// MaxAmount bounds an amount, and the sum of all top-ups of an account: a trillion credits, in millionths of a credit.
const MaxAmount = int64(1e18)

const (
	maxNameLength     = 128 // bytes, of the name of a router or an account or the ID of a top-up
	maxLedgerIDLength = 64  // bytes
)

// Settings configures one router's ledger.
type Settings struct {
	Router           string           // the name of this router
	Incarnation      uint64           // of this process; above 0, and different for each process of a router
	LedgerID         string           // identifies the ledger; chosen at random when its file was created
	ClusterSize      int              // number of routers in the cluster, including this one
	Prices           map[string]Price // by class of request; a class without a price is free
	PacingHorizon    time.Duration    // an account that would be used up sooner is paced to last for this long
	WithdrawalWindow time.Duration    // a withdrawal covers the spending of this time
	TickInterval     time.Duration    // interval at which Ledger.Tick is due
	MaxAccounts      int              // number of accounts that a ledger may hold
	MaxResponseBytes int              // size of the largest response; a reservation covers its cost
}

// Defaults returns the default settings, without prices, for the given router, process and ledger.
func Defaults(router string, incarnation uint64, ledgerID string) Settings {
	return Settings{
		Router:           router,
		Incarnation:      incarnation,
		LedgerID:         ledgerID,
		ClusterSize:      1,
		PacingHorizon:    30 * time.Second,
		WithdrawalWindow: time.Second,
		TickInterval:     200 * time.Millisecond,
		MaxAccounts:      10_000,
		MaxResponseBytes: 240_000,
	}
}

// Validate returns an error that names the first setting found to be invalid, or nil if all are valid.
func (s Settings) Validate() error {
	nameOK := s.Router != "" && len(s.Router) <= maxNameLength && !strings.Contains(s.Router, ledgerSeparator)
	ledgerOK := s.LedgerID != "" && len(s.LedgerID) <= maxLedgerIDLength
	if !nameOK || !ledgerOK || s.Incarnation == 0 {
		return fmt.Errorf("setting Router is %q, Incarnation %d, LedgerID %q: a name is empty, too long or has a NUL, or the number is 0",
			s.Router, s.Incarnation, s.LedgerID)
	}
	durations := []struct {
		name             string
		value, low, high time.Duration
	}{
		{"PacingHorizon", s.PacingHorizon, time.Second, 24 * time.Hour},
		{"WithdrawalWindow", s.WithdrawalWindow, 10 * time.Millisecond, time.Minute},
		{"TickInterval", s.TickInterval, 10 * time.Millisecond, time.Minute},
	}
	for _, d := range durations {
		if d.value < d.low || d.value > d.high {
			return fmt.Errorf("setting %s is %v, want %v to %v", d.name, d.value, d.low, d.high)
		}
	}
	counts := []struct {
		name        string
		value, high int
	}{
		{"ClusterSize", s.ClusterSize, maxPeers},
		{"MaxAccounts", s.MaxAccounts, 1 << 20},
	}
	for _, c := range counts {
		if c.value < 1 || c.value > c.high {
			return fmt.Errorf("setting %s is %d, want 1 to %d", c.name, c.value, c.high)
		}
	}
	for class, price := range s.Prices {
		if !price.valid() {
			return fmt.Errorf("the price of class %q has a negative value, or an amount over a million credits", class)
		}
	}
	return nil
}

// Price defines what a request of a class costs. Amounts are in millionths of a credit.
type Price struct {
	PerRequest  int64
	PerMegabyte int64   // of the response
	Weight      float64 // priority when funds are low: classes with a greater weight go first
}

// Cost returns what a request with a response of responseBytes bytes costs, rounded up.
func (p Price) Cost(responseBytes int) int64 {
	return p.PerRequest + int64(math.Ceil(float64(p.PerMegabyte)*float64(responseBytes)/1e6))
}

func (p Price) valid() bool {
	const highest = MaxAmount / 1e6
	return p.PerRequest >= 0 && p.PerMegabyte >= 0 && p.PerRequest <= highest && p.PerMegabyte <= highest && p.Weight >= 0
}
