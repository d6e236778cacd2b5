package config

import (
	"fmt"
	"net/netip"
	"time"

	"hillknot/balancer"
	"hillknot/internal/cluster/keyring"
	"hillknot/internal/cluster/state"
	"hillknot/internal/jsonfields"
)

// Cluster sets up what the router shares with others that it may talk to.
type Cluster struct {
	Enabled    bool
	Listen     netip.AddrPort // over UDP and TCP
	Advertise  netip.AddrPort // where others reach it
	Peers      []string       // addresses of some others, to join by
	KeyFile    string
	State      state.Settings // Process is set at the start
	WarmUp     state.Terms    // a rate of 0: not shared
	Retries    state.Terms    // the same
	Location   string         // where this router is
	Failover   Failover
	LedgerFile string // the file that must survive a kill
	Credit     Credit
}

// Credit sets up prepaid balances.
type Credit struct {
	Enabled                   bool
	TopUpFile                 string // the file
	AllowUnnamed              bool   // requests without an account are free
	PacingHorizon, DrawWindow time.Duration
	Prices                    map[string]Price // by class
}

// Price is what a request costs, in credits.
type Price struct{ PerRequest, PerMegabyte, Weight float64 }

// Failover sets up how orders outlive their router.
type Failover struct {
	Enabled                                                bool
	Strict                                                 bool
	LeaseDuration, ReplicaTimeout, ClaimTimeout, Retention time.Duration
	MaxRecords, MaxBodyBytes                               int
}

// readFleet reads the block fleet, without which the router talks to no other.
func readFleet(o jsonfields.Object, name string, classes []balancer.Class) Cluster {
	if !o.Has("fleet") {
		return Cluster{}
	}
	if !HasCluster {
		o.Fail("fleet", "needs talk, which this program was built without; make build puts one with it at bin/hillknot-cluster")
		return Cluster{}
	}
	b := o.Object("fleet")
	b.Require("listen", "key_file", "size")
	f := Cluster{Enabled: true, State: state.Defaults(name, 0, b.Count("size", 1, 1))}
	f.State.Guest = b.Bool("guest")
	f.State.Lease = b.Duration("lease_ms", time.Millisecond, f.State.Lease)
	f.State.Verdict = b.Duration("verdict_ms", time.Millisecond, f.State.Verdict)
	f.State.Quorum = b.Count("quorum", 0, 0)
	f.WarmUp, f.Retries = readTerms(b, "cold", f.State.Size), readTerms(b, "retries", f.State.Size)
	f.KeyFile, f.Peers = b.String("key_file", ""), b.Strings("peers")
	f.Listen, _ = netip.ParseAddrPort(address(b, "listen")) // told by address
	f.Advertise = f.Listen
	if b.Has("advertise") {
		f.Advertise, _ = netip.ParseAddrPort(address(b, "advertise"))
	}
	if a := f.Advertise; a.IsValid() && a.Addr().IsUnspecified() {
		b.Fail("advertise", "must name an address that others can call: listen takes any")
	}
	for _, p := range f.Peers {
		if _, err := netip.ParseAddrPort(p); err != nil {
			b.Fail("peers", fmt.Sprintf("holds %q, which is no address with a port", p))
		}
	}
	if f.Location = b.String("place", ""); len(f.Location) > 64 {
		b.Fail("place", "is over 64 bytes")
	}
	f.Failover = readTakeover(b, f)
	if f.Credit = readCredit(b, classes); f.Credit.Enabled {
		b.Require("ledger")
	}
	f.LedgerFile = b.String("ledger", "")
	if err := f.State.Check(); err != nil {
		key := "size"
		switch {
		case b.Has("lease_ms") && f.State.Lease != state.Defaults(name, 0, 1).Lease:
			key = "lease_ms"
		case b.Has("verdict_ms") && f.State.Verdict != state.Defaults(name, 0, 1).Verdict:
			key = "verdict_ms"
		case f.State.Quorum != 0:
			key = "quorum"
		}
		b.Fail(key, "can't be used: "+err.Error())
	}
	if path := f.KeyFile; path != "" {
		if _, err := keyring.Read(path); err != nil {
			b.Fail("key_file", "can't be used: "+err.Error())
		}
	}
	return f
}

// readTakeover reads the block takeover, without which orders end with their router.
func readTakeover(b jsonfields.Object, f Cluster) Failover {
	if !b.Has("takeover") {
		return Failover{}
	}
	o := b.Object("takeover")
	const ms = time.Millisecond
	t := Failover{Enabled: true, Strict: true, LeaseDuration: o.Duration("lease_ms", ms, 300*ms), ReplicaTimeout: o.Duration("wait_ms", ms, 250*ms),
		ClaimTimeout: o.Duration("claim_ms", ms, 250*ms), Retention: o.Duration("keep_ms", ms, 10*time.Second), MaxRecords: o.Count("records", 4096, 16),
		MaxBodyBytes: o.Count("body_bytes", 4<<10, 0)}
	if o.Has("strict") {
		t.Strict = o.Bool("strict")
	}
	for _, c := range []struct {
		key         string
		n           time.Duration
		least, most time.Duration
	}{
		{"lease_ms", t.LeaseDuration, 100 * ms, time.Minute}, {"wait_ms", t.ReplicaTimeout, 10 * ms, 10 * time.Second},
		{"claim_ms", t.ClaimTimeout, 10 * ms, 10 * time.Second}, {"keep_ms", t.Retention, time.Second, 10 * time.Minute},
	} {
		if c.n < c.least || c.n > c.most {
			o.Fail(c.key, fmt.Sprintf("is not %v to %v", c.least, c.most))
		}
	}
	if t.MaxRecords > 1<<20 {
		o.Fail("records", "is over a million")
	}
	if t.MaxBodyBytes > 16<<10 {
		o.Fail("body_bytes", "is over 16384")
	}
	if f.State.Guest {
		b.Fail("takeover", "does not go with guest: every router that takes orders must be one of size")
	}
	if f.State.Size < 2 {
		b.Fail("size", "is 1: with takeover another router has to keep the orders")
	}
	return t
}

// readCredit reads the block credit, without which requests are free.
func readCredit(b jsonfields.Object, classes []balancer.Class) Credit {
	if !b.Has("credit") {
		return Credit{}
	}
	o := b.Object("credit")
	o.Require("topups", "prices")
	c := Credit{Enabled: true, TopUpFile: o.String("topups", ""), PacingHorizon: o.Duration("rest_s", time.Second, 30*time.Second),
		DrawWindow: o.Duration("chunk_ms", time.Millisecond, time.Second), Prices: map[string]Price{}}
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
	if c.DrawWindow < 10*time.Millisecond || c.DrawWindow > time.Minute {
		o.Fail("chunk_ms", "is not 10 ms to a minute")
	}
	prices := o.Object("prices")
	for _, k := range classes {
		if !prices.Has(k.Name) {
			continue // it is free
		}
		p := prices.Object(k.Name)
		c.Prices[k.Name] = Price{PerRequest: p.Number("each", 0), PerMegabyte: p.Number("per_mb", 0), Weight: p.Number("worth", k.Weight)}
		for _, n := range []string{"each", "per_mb", "worth"} {
			if v := p.Number(n, 0); !(v >= 0 && v <= 1e6) {
				p.Fail(n, "is not 0 to a million")
			}
		}
	}
	return c
}

// readTerms reads what all routers together may spend. The burst buys each router one at least with half of its part.
func readTerms(b jsonfields.Object, name string, size int) state.Terms {
	if !b.Has(name) {
		return state.Terms{}
	}
	o := b.Object(name)
	o.Require("rate")
	t := state.Terms{Rate: o.Number("rate", 0)}
	if t.Burst = o.Number("burst", max(t.Rate/4, 2*float64(size))); t.Burst < 2*float64(size) || t.Burst > 1e6 {
		o.Fail("burst", fmt.Sprintf("is not from 2 for each of %d routers to a million", size))
	}
	if !(t.Rate > 0 && t.Rate <= 1e6) {
		o.Fail("rate", "is not above 0, up to a million")
	}
	return t
}
