package config

import (
	"fmt"
	"strings"
	"time"

	"hillknot/internal/jsonfields"
)

// DNS configures the DNS front end.
type DNS struct {
	Listen       string   // address for UDP and TCP; empty: the front end is off
	Names        []string // host names that are answered, in lower case without a final dot
	TTL          time.Duration
	TTLOverstay  float64       // resolvers cache an answer for up to this multiple of the TTL
	ResolverLoad float64       // seconds of service time per second that the clients of one resolver are taken to need
	MaxAnswers   int           // maximum of endpoints in one answer
	Timeout      time.Duration // a query is answered within this time
}

// readDNS reads the block dns. Without it the front end is off.
func readDNS(o jsonfields.Object) DNS {
	if !o.Has("dns") {
		return DNS{}
	}
	d := o.Object("dns")
	d.Require("listen", "names")
	c := DNS{
		Listen: readAddress(d, "listen"), TTL: d.Duration("ttl_s", time.Second, 5*time.Second), TTLOverstay: d.Number("overstay", 2),
		ResolverLoad: d.Number("resolver_load", 0.05), MaxAnswers: d.Count("answers", 2, 1),
		Timeout: d.Duration("deadline_ms", time.Millisecond, time.Second),
	}
	if c.TTL < time.Second || c.TTL > time.Hour {
		d.Fail("ttl_s", "is out of range (1 to 3600)")
	}
	if c.TTLOverstay < 1 {
		d.Fail("overstay", "is below 1")
	}
	if c.ResolverLoad <= 0 {
		d.Fail("resolver_load", "is not above 0")
	}
	if c.Timeout <= 0 {
		d.Fail("deadline_ms", "is not above 0")
	}
	if c.MaxAnswers > 16 {
		d.Fail("answers", "is above 16")
	}
	for _, n := range d.Strings("names") {
		n = strings.ToLower(strings.TrimSuffix(n, "."))
		if !isHostName(n) {
			d.Fail("names", fmt.Sprintf("holds %q, which is not a host name", n))
		}
		c.Names = append(c.Names, n)
	}
	if len(c.Names) == 0 {
		d.Fail("names", "is empty")
	}
	return c
}

// isHostName reports whether a name can be queried, also with the label of an endpoint in front of it.
func isHostName(n string) bool {
	if len(n) > 180 {
		return false
	}
	for l := range strings.SplitSeq(n, ".") {
		if l == "" || len(l) > 63 || strings.Trim(l, "abcdefghijklmnopqrstuvwxyz0123456789-_") != "" {
			return false
		}
	}
	return true
}
