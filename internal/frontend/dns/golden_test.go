package dns

import (
	"net/netip"
	"reflect"
	"testing"
	"time"

	"hillknot/internal/config"
	"hillknot/internal/core"
	"hillknot/internal/testutil/golden"
)

// Resolvers cache answers, and the labels of endpoints in them, beyond a restart of the router. The queries of testdata/golden
// were written by hand in the format of RFC 1035, 6891 and 7871, and the answers were written at commit 86ccf0f.
//
// The encoding does not depend on the names of types or fields. It depends on the value of labelPrefix, the hash
// core.EndpointIDOf, and the data that clientKey hashes.
func TestGoldenAnswers(t *testing.T) {
	server := &Server{cfg: config.DNS{Names: []string{zoneName}, TTL: 5 * time.Second}}
	endpoints := []*core.Endpoint{{ID: "edge-7", Addr: "127.1.0.7:7001"}, {ID: "edge-8", Addr: "[2001:db8::8]:7002"}}
	srv := query{id: 0x1234, flags: bitRecursionDesired, name: zoneName, qtype: typeSRV, qclass: classIN, edns: true,
		size: maxUDPSize, subnet: netip.MustParsePrefix("10.1.2.0/24"), hasSubnet: true}
	a, aaaa := srv, srv
	a.qtype, a.edns, a.hasSubnet, a.subnet, a.size = typeA, false, false, netip.Prefix{}, plainUDPSize
	aaaa.qtype, aaaa.subnet = typeAAAA, netip.MustParsePrefix("2001:db8::/36")
	for name, q := range map[string]query{"srv": srv, "a": a, "aaaa": aaaa} {
		t.Run(name, func(t *testing.T) {
			got, ok, err := parseQuery(golden.Read(t, name+"-query.hex"))
			q.question = appendName(nil, q.name)
			q.question = append(q.question, 0, byte(q.qtype), 0, byte(q.qclass))
			if !ok || err != nil || !reflect.DeepEqual(got, q) {
				t.Fatalf("read as %+v, %v; want %+v", got, err, q)
			}
			x := exchange{server: server, query: got, zone: q.name, size: q.size}
			x.send = func(b []byte) { golden.Same(t, name+"-answer.hex", b) }
			x.reply(core.QueryResult{Endpoints: endpoints})
			x.send = func(b []byte) { golden.Same(t, name+"-none.hex", b) }
			x.reply(core.QueryResult{})
		})
	}
	for i, e := range endpoints {
		if l := endpointLabel(e); l != []string{"m-f1d7aab4352bc67c", "m-f1d7b1b4352bd261"}[i] {
			t.Errorf("label %q for endpoint %q", l, e.ID)
		} else if n, ok := parseLabel(l); !ok || n != core.EndpointIDOf(e.ID) {
			t.Errorf("label %q names endpoint %x", l, n)
		}
	}
}
