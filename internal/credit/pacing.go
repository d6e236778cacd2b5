package credit

import "time"

// Level classifies how much is left of an account, compared with how fast it is spent.
type Level uint8

// The levels.
const (
	LevelAmple     Level = iota
	LevelLow             // spending is paced
	LevelExhausted       // nothing is left, as far as this router knows
)

// String returns the name of a level as it appears in the names of metrics.
func (l Level) String() string { return [...]string{"ample", "low", "out"}[min(l, LevelExhausted)] }

// lowHysteresis is the factor by which more must be left to leave LevelLow than to enter it.
const lowHysteresis = 1.25

// pacer is a token bucket that limits the spending of an account while its level is LevelLow. A token is a millionth of a
// credit.
type pacer struct {
	level     Level
	rate      float64 // tokens per second
	tokens    float64
	updatedAt time.Duration
}

// burst returns the number of tokens that may be spent at once: those of one second, or enough for two requests that
// cost amount, if that is more.
func (p *pacer) burst(amount int64) float64 { return max(p.rate, 2*float64(amount)) }

// refill adds the tokens for the time since the latest refill, up to the burst.
func (p *pacer) refill(now time.Duration, amount int64) {
	elapsed := max(now-p.updatedAt, 0).Seconds()
	p.tokens = min(p.tokens+p.rate*elapsed, p.burst(amount))
	p.updatedAt = max(p.updatedAt, now)
}

// take removes amount from the tokens and returns true if the tokens cover the amount and the headroom. Otherwise it
// returns false and removes nothing.
func (p *pacer) take(amount int64, headroom float64) bool {
	if p.tokens < float64(amount)+headroom {
		return false
	}
	p.tokens -= float64(amount)
	return true
}

// pace sets the level to LevelLow and the rate so that the remaining amount lasts for the horizon. The rate never falls
// while the level is LevelLow, so that the account is used up in the end.
func (p *pacer) pace(now time.Duration, remaining int64, horizon time.Duration) {
	if p.level != LevelLow {
		p.level, p.rate, p.tokens, p.updatedAt = LevelLow, 0, 0, now
	}
	p.rate = max(p.rate, float64(remaining)/horizon.Seconds())
}

// takeFromPacer takes the cost of a request from a paced account's tokens, and reports whether there were enough. Half of
// the bucket is kept for the classes with the greatest weight.
func (l *Ledger) takeFromPacer(now time.Duration, a *account, price Price, amount int64) bool {
	a.pacer.refill(now, amount)
	headroom := 0.0
	if l.greaterWeightExists(price.Weight) {
		headroom = a.pacer.burst(amount) / 2
	}
	return a.pacer.take(amount, headroom)
}

func (l *Ledger) greaterWeightExists(weight float64) bool {
	for _, price := range l.settings.Prices {
		if price.Weight > weight {
			return true
		}
	}
	return false
}

// updateLevel sets an account's level from the amount that is left and the rate at which it is spent, summed over this
// router and all routers that have reported lately.
func (l *Ledger) updateLevel(now time.Duration, a *account) {
	remaining := float64(a.spendable() + l.peers.balance(now, a.name))
	rate := a.spendingRate + l.peers.spendingRate(now, a.name)
	needed := rate * l.settings.PacingHorizon.Seconds()
	enough := remaining >= needed
	if a.pacer.level == LevelLow {
		enough = remaining > lowHysteresis*needed
	}
	switch {
	case remaining <= 0:
		a.pacer.level = LevelExhausted
	case enough:
		a.pacer.level = LevelAmple
	default:
		a.pacer.pace(now, a.spendable(), l.settings.PacingHorizon)
	}
}
