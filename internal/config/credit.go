package config

import (
	"fmt"
	"time"

	"hillknot/balancer"
	"hillknot/internal/jsonfields"
)

// Credit configures prepaid credit. The files call it the block credit in the block fleet.
type Credit struct {
	Enabled          bool
	TopUpFile        string           // path of the file with the top-ups
	AllowUnnamed     bool             // requests without an account are free; otherwise they are rejected
	PacingHorizon    time.Duration    // an account whose balance would be used up sooner is paced to make it last this long
	WithdrawalWindow time.Duration    // each withdrawal from the ledger covers the spending of this time
	Prices           map[string]Price // by the name of the class; classes without a price are free
}

// Price is the price of a request, in credits.
type Price struct {
	PerRequest  float64
	PerMegabyte float64
	Weight      float64 // of the class, while the balance is low
}

// readCredit reads the block credit. Without it requests are free.
func readCredit(cluster jsonfields.Object, classes []balancer.Class) Credit {
	if !cluster.Has("credit") {
		return Credit{}
	}
	o := cluster.Object("credit")
	o.Require("topups", "prices")
	c := Credit{
		Enabled:          true,
		TopUpFile:        o.String("topups", ""),
		PacingHorizon:    o.Duration("rest_s", time.Second, 30*time.Second),
		WithdrawalWindow: o.Duration("chunk_ms", ms, time.Second),
	}
	switch unnamed := o.String("unnamed", "refuse"); unnamed {
	case "free":
		c.AllowUnnamed = true
	case "refuse":
	default:
		o.Fail("unnamed", fmt.Sprintf("is %q, but must be \"refuse\" or \"free\"", unnamed))
	}
	if c.PacingHorizon < time.Second || c.PacingHorizon > 24*time.Hour {
		o.Fail("rest_s", "is out of range (1 second to 1 day)")
	}
	if c.WithdrawalWindow < 10*ms || c.WithdrawalWindow > time.Minute {
		o.Fail("chunk_ms", "is out of range (10 ms to 1 minute)")
	}
	c.Prices = readPrices(o.Object("prices"), classes)
	return c
}

// readPrices reads the prices of the classes. Keys of the block that name no class are not read.
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
				p.Fail(key, "is out of range (0 to 1000000)")
			}
		}
	}
	return prices
}
