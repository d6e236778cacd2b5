package config

import (
	"fmt"
	"time"

	"hillknot/balancer"
	"hillknot/internal/jsonfields"
)

// Credit configures prepaid balances.
type Credit struct {
	Enabled       bool
	TopUpFile     string
	AllowUnnamed  bool             // requests without an account are free; else they are rejected
	PacingHorizon time.Duration    // a balance that would last for less is paced to last so long
	DrawWindow    time.Duration    // the spending of so long is drawn from the ledger at a time
	Prices        map[string]Price // by class; classes without a price are free
}

// Price is what a request costs, in credits.
type Price struct {
	PerRequest  float64
	PerMegabyte float64
	Weight      float64 // of the class, where funds are low
}

// readCredit reads the block credit, without which requests are free.
func readCredit(cluster jsonfields.Object, classes []balancer.Class) Credit {
	if !cluster.Has("credit") {
		return Credit{}
	}
	o := cluster.Object("credit")
	o.Require("topups", "prices")
	c := Credit{
		Enabled:       true,
		TopUpFile:     o.String("topups", ""),
		PacingHorizon: o.Duration("rest_s", time.Second, 30*time.Second),
		DrawWindow:    o.Duration("chunk_ms", ms, time.Second),
	}
	switch unnamed := o.String("unnamed", "refuse"); unnamed {
	case "free":
		c.AllowUnnamed = true
	case "refuse":
	default:
		o.Fail("unnamed", fmt.Sprintf("is %q, neither \"refuse\" nor \"free\"", unnamed))
	}
	if c.PacingHorizon < time.Second || c.PacingHorizon > 24*time.Hour {
		o.Fail("rest_s", "is not a second to a day")
	}
	if c.DrawWindow < 10*ms || c.DrawWindow > time.Minute {
		o.Fail("chunk_ms", "is not 10 ms to a minute")
	}
	c.Prices = readPrices(o.Object("prices"), classes)
	return c
}

func readPrices(o jsonfields.Object, classes []balancer.Class) map[string]Price {
	prices := map[string]Price{}
	for _, class := range classes {
		if !o.Has(class.Name) {
			continue // it is free
		}
		p := o.Object(class.Name)
		prices[class.Name] = Price{
			PerRequest:  p.Number("each", 0),
			PerMegabyte: p.Number("per_mb", 0),
			Weight:      p.Number("worth", class.Weight),
		}
		for _, key := range []string{"each", "per_mb", "worth"} {
			if v := p.Number(key, 0); !(v >= 0 && v <= 1e6) {
				p.Fail(key, "is not 0 to a million")
			}
		}
	}
	return prices
}
