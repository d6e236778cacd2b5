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

// Fleet sets up what the router shares with others that it may talk to.
type Fleet struct {
	On        bool
	Listen    netip.AddrPort // over UDP and TCP
	Advertise netip.AddrPort // where others reach it
	Peers     []string       // addresses of some others, to join by
	KeyFile   string
	State     state.Settings // Process is set at the start
	Cold      state.Terms    // a rate of 0: not shared
	Retries   state.Terms    // the same
	Place     string         // where this router is
	Takeover  Takeover
	Ledger    string // the file that must survive a kill
	Credit    Credit
}

// Credit sets up prepaid balances.
type Credit struct {
	On          bool
	Topups      string // the file
	Unnamed     bool   // requests without an account are free
	Rest, Chunk time.Duration
	Prices      map[string]Price // by class
}

// Price is what a request costs, in credits.
type Price struct{ Each, PerMB, Worth float64 }

// Takeover sets up how orders outlive their router.
type Takeover struct {
	On                       bool
	Strict                   bool
	Lease, Wait, Claim, Keep time.Duration
	Records, Body            int
}

// readFleet reads the block fleet, without which the router talks to no other.
func readFleet(o jsonfields.Object, name string, classes []balancer.Class) Fleet {
	if !o.Has("fleet") {
		return Fleet{}
	}
	if !Talks {
		o.Fail("fleet", "needs talk, which this program was built without; make build puts one with it at bin/hillknot-cluster")
		return Fleet{}
	}
	b := o.Object("fleet")
	b.Must("listen", "key_file", "size")
	f := Fleet{On: true, State: state.Defaults(name, 0, b.Count("size", 1, 1))}
	f.State.Guest = b.Flag("guest")
	f.State.Lease = b.Span("lease_ms", time.Millisecond, f.State.Lease)
	f.State.Verdict = b.Span("verdict_ms", time.Millisecond, f.State.Verdict)
	f.State.Quorum = b.Count("quorum", 0, 0)
	f.Cold, f.Retries = readTerms(b, "cold", f.State.Size), readTerms(b, "retries", f.State.Size)
	f.KeyFile, f.Peers = b.Text("key_file", ""), b.Texts("peers")
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
	if f.Place = b.Text("place", ""); len(f.Place) > 64 {
		b.Fail("place", "is over 64 bytes")
	}
	f.Takeover = readTakeover(b, f)
	if f.Credit = readCredit(b, classes); f.Credit.On {
		b.Must("ledger")
	}
	f.Ledger = b.Text("ledger", "")
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
func readTakeover(b jsonfields.Object, f Fleet) Takeover {
	if !b.Has("takeover") {
		return Takeover{}
	}
	o := b.Object("takeover")
	const ms = time.Millisecond
	t := Takeover{On: true, Strict: true, Lease: o.Span("lease_ms", ms, 300*ms), Wait: o.Span("wait_ms", ms, 250*ms),
		Claim: o.Span("claim_ms", ms, 250*ms), Keep: o.Span("keep_ms", ms, 10*time.Second), Records: o.Count("records", 4096, 16),
		Body: o.Count("body_bytes", 4<<10, 0)}
	if o.Has("strict") {
		t.Strict = o.Flag("strict")
	}
	for _, c := range []struct {
		key         string
		n           time.Duration
		least, most time.Duration
	}{
		{"lease_ms", t.Lease, 100 * ms, time.Minute}, {"wait_ms", t.Wait, 10 * ms, 10 * time.Second},
		{"claim_ms", t.Claim, 10 * ms, 10 * time.Second}, {"keep_ms", t.Keep, time.Second, 10 * time.Minute},
	} {
		if c.n < c.least || c.n > c.most {
			o.Fail(c.key, fmt.Sprintf("is not %v to %v", c.least, c.most))
		}
	}
	if t.Records > 1<<20 {
		o.Fail("records", "is over a million")
	}
	if t.Body > 16<<10 {
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
	o.Must("topups", "prices")
	c := Credit{On: true, Topups: o.Text("topups", ""), Rest: o.Span("rest_s", time.Second, 30*time.Second),
		Chunk: o.Span("chunk_ms", time.Millisecond, time.Second), Prices: map[string]Price{}}
	switch unnamed := o.Text("unnamed", "refuse"); unnamed {
	case "free":
		c.Unnamed = true
	case "refuse":
	default:
		o.Fail("unnamed", fmt.Sprintf("is %q, neither \"refuse\" nor \"free\"", unnamed))
	}
	if c.Rest < time.Second || c.Rest > 24*time.Hour {
		o.Fail("rest_s", "is not a second to a day")
	}
	if c.Chunk < 10*time.Millisecond || c.Chunk > time.Minute {
		o.Fail("chunk_ms", "is not 10 ms to a minute")
	}
	prices := o.Object("prices")
	for _, k := range classes {
		if !prices.Has(k.Name) {
			continue // it is free
		}
		p := prices.Object(k.Name)
		c.Prices[k.Name] = Price{Each: p.Number("each", 0), PerMB: p.Number("per_mb", 0), Worth: p.Number("worth", k.Weight)}
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
	o.Must("rate")
	t := state.Terms{Rate: o.Number("rate", 0)}
	if t.Burst = o.Number("burst", max(t.Rate/4, 2*float64(size))); t.Burst < 2*float64(size) || t.Burst > 1e6 {
		o.Fail("burst", fmt.Sprintf("is not from 2 for each of %d routers to a million", size))
	}
	if !(t.Rate > 0 && t.Rate <= 1e6) {
		o.Fail("rate", "is not above 0, up to a million")
	}
	return t
}
