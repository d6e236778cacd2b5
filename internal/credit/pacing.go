package credit

import "time"

// Level is how much is left of an account, compared with how fast it is spent.
type Level uint8

// The levels.
const (
	LevelAmple     Level = iota
	LevelLow             // what is left is paced
	LevelExhausted       // nothing is left, as far as this router knows
)

// String returns the name of a level, as metrics have it.
func (l Level) String() string { return [...]string{"ample", "low", "out"}[min(l, LevelExhausted)] }

// lowHysteresis is how much more has to be left to leave LevelLow than to enter it.
const lowHysteresis = 1.25

// pacer is a token bucket that limits what is spent of an account while its level is LevelLow.
type pacer struct {
	level     Level
	rate      float64 // a second
	tokens    float64
	updatedAt time.Duration
}

// burst returns what may be spent at once: that of a second, or two requests of an amount.
func (p *pacer) burst(amount int64) float64 { return max(p.rate, 2*float64(amount)) }

// refill adds the tokens of the time since the latest refill.
func (p *pacer) refill(now time.Duration, amount int64) {
	elapsed := max(now-p.updatedAt, 0).Seconds()
	p.tokens = min(p.tokens+p.rate*elapsed, p.burst(amount))
	p.updatedAt = max(p.updatedAt, now)
}

// take takes an amount if so much, and a headroom, is there.
func (p *pacer) take(amount int64, headroom float64) bool {
	if p.tokens < float64(amount)+headroom {
		return false
	}
	p.tokens -= float64(amount)
	return true
}

// pace sets the rate so that what is left lasts for the horizon. The rate never falls while the level is LevelLow, so
// the account is used up in the end.
func (p *pacer) pace(now time.Duration, remaining int64, horizon time.Duration) {
	if p.level != LevelLow {
		p.level, p.rate, p.tokens, p.updatedAt = LevelLow, 0, 0, now
	}
	p.rate = max(p.rate, float64(remaining)/horizon.Seconds())
}

// takeFromPacer tells whether a paced account lets a request pass. Half of the bucket is kept for the classes of the
// greatest weight.
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

// updateLevel sets an account's level by what is left and how fast it is spent, at all routers that have reported
// lately.
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
