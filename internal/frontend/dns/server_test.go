package dns

import (
	"encoding/binary"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/miekg/dns"
	"pgregory.net/rapid"

	"hillknot/balancer"
	"hillknot/internal/config"
	"hillknot/internal/core"
	"hillknot/internal/netio"
	"hillknot/internal/testutil/parsertest"
)

func TestQueryParser(t *testing.T) {
	drawQuery := func(t *rapid.T) []byte {
		m := new(dns.Msg)
		m.SetQuestion(rapid.StringMatching(`([a-zA-Z0-9-]{1,20}\.){1,4}`).Draw(t, "name"), rapid.Uint16().Draw(t, "type"))
		o := &dns.OPT{Hdr: dns.RR_Header{Name: ".", Rrtype: dns.TypeOPT, Class: 1400}}
		o.Option = append(o.Option, &dns.EDNS0_SUBNET{Code: dns.EDNS0SUBNET, Family: 1, SourceNetmask: 24, Address: net.IP{10, 1, 2, 0}})
		m.Extra = append(m.Extra, o)
		b, err := m.Pack()
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	parsertest.Run(t, drawQuery, func(buf []byte) (int, int, error) {
		// The parser gets a whole datagram, which holds no length: a cut message is malformed, and bytes after it are ignored.
		if _, _, err := parseQuery(buf); err != nil {
			return 0, 0, nil
		}
		return messageEnd(buf), 0, nil
	})
}

// messageEnd returns the length of the valid query at the start of buf, as miekg/dns reads it. That package is independent
// of the parser under test.
func messageEnd(buf []byte) int {
	m := new(dns.Msg)
	if m.Unpack(buf) != nil && len(buf) == 0 {
		return 0
	}
	if b, err := m.Pack(); err == nil {
		return min(len(b), len(buf))
	}
	return len(buf)
}

// testServer is a server on the loopback interface, with a core whose clock the test sets.
type testServer struct {
	t      *testing.T
	core   *core.Core
	server *Server
	mu     sync.Mutex
	now    time.Duration
}

type noUpstream struct{}

func (noUpstream) Send(*core.Attempt)           {}
func (noUpstream) Cancel(*core.Attempt)         {}
func (noUpstream) CloseEndpoint(*core.Endpoint) {}

func (s *testServer) clock() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now
}

// advance advances the clock of the core.
func (s *testServer) advance(d time.Duration) {
	s.mu.Lock()
	s.now += d
	s.mu.Unlock()
}

const zoneName = "scores.example.org"

// start runs a server that names at most maxAnswers endpoints in an answer.
func start(t *testing.T, maxAnswers int) *testServer {
	t.Helper()
	s := prepare(t, maxAnswers)
	go s.server.Serve()
	return s
}

// prepare is like start, for tests that call Serve themselves.
func prepare(t *testing.T, maxAnswers int) *testServer {
	t.Helper()
	s := &testServer{t: t, now: 1e6 * time.Second}
	connLimits := config.ConnLimits{MaxPendingBytes: 1 << 18, ReadTimeout: time.Minute, WriteTimeout: time.Minute, IdleTimeout: time.Minute, SilentTimeout: time.Minute}
	limits := config.Limits{OpenQueries: 100, DNSConns: 10, OpenRequests: 10, DNS: connLimits}
	c, err := core.New(balancer.Settings{Topology: balancer.Topology{Zone: "edge", Zones: []string{"edge"},
		Kinds: []string{"box", "mid", "store"}, ParentKind: 1, OriginKind: 2}, Classes: []balancer.Class{{Name: "a"}}, CacheSlowStart: balancer.SlowStartRule{InitialCapacity: 0.2, WarmUpTime: 18 * time.Second,
		OverloadFactor: 4, OverloadWindow: 2 * time.Second}}, limits, s.clock)
	if err != nil {
		t.Fatal(err)
	}
	c.SetUpstream(noUpstream{})
	s.core = c
	s.server, err = Listen(c, config.DNS{Listen: "127.0.0.1:0", Names: []string{zoneName}, TTL: 5 * time.Second, TTLOverstay: 2, ResolverLoad: 0.05,
		MaxAnswers: maxAnswers, Timeout: time.Second}, limits, netio.NewBudget(1<<20))
	if err != nil {
		t.Fatal(err)
	}
	stop := make(chan struct{})
	go c.Run(stop)
	t.Cleanup(func() { s.server.Close(); close(stop) })
	return s
}

func endpoint(i int, state balancer.EndpointState) core.EndpointUpdate {
	return core.EndpointUpdate{ID: fmt.Sprintf("s-%d", i), Addr: fmt.Sprintf("127.1.0.%d:7001", i), Kind: "box", Zone: "edge", Weight: 1, State: state}
}

// setEndpoints passes endpoints to the core, as the whole endpoint list or as an update, and waits until the core has
// handled them.
func (s *testServer) setEndpoints(replace bool, endpoints ...core.EndpointUpdate) {
	done := make(chan struct{})
	s.core.Post(func() {
		if replace {
			s.core.ReplaceEndpoints(endpoints)
		} else {
			s.core.UpdateEndpoints(endpoints)
		}
	})
	s.core.Post(func() { close(done) })
	<-done
}

// ask sends a query and returns the reply.
func (s *testServer) ask(proto string, m *dns.Msg) *dns.Msg {
	s.t.Helper()
	cl := &dns.Client{Net: proto, Timeout: 10 * time.Second, UDPSize: 4096}
	r, _, err := cl.Exchange(m, s.server.Addr())
	if err != nil {
		s.t.Fatalf("%s %v: %v", proto, m.Question, err)
	}
	return r
}

func question(name string, qtype uint16) *dns.Msg {
	return new(dns.Msg).SetQuestion(dns.Fqdn(name), qtype)
}

// withSubnet adds the client subnet 10.a.b.0/24 to a query.
func withSubnet(m *dns.Msg, a, b byte) *dns.Msg {
	m.SetEdns0(1232, false)
	o := m.IsEdns0()
	o.Option = append(o.Option, &dns.EDNS0_SUBNET{Code: dns.EDNS0SUBNET, Family: 1, SourceNetmask: 24, Address: net.IP{10, a, b, 0}})
	return m
}

// addresses returns the IPv4 addresses in the answer section of a reply.
func addresses(m *dns.Msg) (out []string) {
	for _, rr := range m.Answer {
		if a, ok := rr.(*dns.A); ok {
			out = append(out, a.A.String())
		}
	}
	return out
}

func TestAnswersByQueryType(t *testing.T) {
	s := start(t, 2)
	if r := s.ask("udp", question(zoneName, dns.TypeA)); r.Rcode != dns.RcodeServerFailure {
		t.Errorf("before the first endpoint list: %v, want SERVFAIL", r)
	}
	s.setEndpoints(true, endpoint(1, balancer.InService), endpoint(2, balancer.InService), endpoint(3, balancer.InService))
	for _, proto := range []string{"udp", "tcp"} {
		r := s.ask(proto, question("SCORES.example.ORG", dns.TypeA))
		if len(addresses(r)) != 2 || !r.Authoritative || r.Answer[0].Header().Ttl != 5 {
			t.Errorf("%s A: %v", proto, r)
		}
		r = s.ask(proto, question(zoneName, dns.TypeSRV))
		if len(r.Answer) != 2 || len(r.Extra) != 2 || r.Answer[0].(*dns.SRV).Port != 7001 ||
			r.Answer[0].(*dns.SRV).Target != r.Extra[0].Header().Name {
			t.Fatalf("%s SRV: %v", proto, r)
		}
		target := s.ask(proto, question(r.Extra[0].Header().Name, dns.TypeA))
		if got := addresses(target); len(got) != 1 || got[0] != r.Extra[0].(*dns.A).A.String() {
			t.Errorf("%s A of %s: %v", proto, r.Extra[0], target)
		}
	}
	notify := question(zoneName, dns.TypeA)
	notify.Opcode = dns.OpcodeNotify
	otherVersion := question(zoneName, dns.TypeA).SetEdns0(1232, false)
	otherVersion.IsEdns0().SetVersion(1)
	for condition, c := range map[string]struct {
		m    *dns.Msg
		code int
		soa  bool
	}{
		"no IPv6 address": {question(zoneName, dns.TypeAAAA), dns.RcodeSuccess, true},
		"other type":      {question(zoneName, dns.TypeMX), dns.RcodeSuccess, true},
		"unknown subname": {question("what."+zoneName, dns.TypeA), dns.RcodeNameError, true},
		"other domain":    {question("example.com", dns.TypeA), dns.RcodeRefused, false},
		"opcode":          {notify, dns.RcodeNotImplemented, false},
		"EDNS version":    {otherVersion, dns.RcodeBadVers, false},
	} {
		r := s.ask("udp", c.m)
		if soa := len(r.Ns) == 1 && r.Ns[0].Header().Rrtype == dns.TypeSOA; r.Rcode != c.code || len(r.Answer) != 0 || soa != c.soa {
			t.Errorf("%s: %v", condition, r)
		}
	}
	// The client library can't send this malformed query.
	nc, err := net.Dial("udp", s.server.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(10 * time.Second))
	nc.Write([]byte{1, 2, 1, 0, 0, 1, 0, 0, 0, 0, 0, 0, 63, 'x'})
	buf := make([]byte, 100)
	if n, err := nc.Read(buf); err != nil || n != headerLen || buf[3]&0xf != dns.RcodeFormatError || binary.BigEndian.Uint16(buf) != 0x102 {
		t.Errorf("malformed: %x, %v", buf[:n], err)
	}
}

// An answer over the size that the resolver accepts is truncated and marked as such over UDP, and complete over TCP.
func TestTruncatedOverUDP(t *testing.T) {
	s := start(t, 16)
	var endpoints []core.EndpointUpdate
	for i := range 16 {
		endpoints = append(endpoints, endpoint(i+1, balancer.InService))
	}
	s.setEndpoints(true, endpoints...)
	if r := s.ask("udp", question(zoneName, dns.TypeSRV)); !r.Truncated || len(r.Answer) != 0 {
		t.Errorf("UDP: %v", r)
	}
	if r := s.ask("tcp", question(zoneName, dns.TypeSRV)); r.Truncated || len(r.Answer) != 16 {
		t.Errorf("TCP: %v", r)
	}
}

// The same subnet gets the same answer over UDP and TCP, and the answers of all subnets together use every page cache.
func TestAnswersFollowClientSubnets(t *testing.T) {
	s := start(t, 1)
	s.setEndpoints(true, endpoint(1, balancer.InService), endpoint(2, balancer.InService), endpoint(3, balancer.InService))
	seen := map[string]bool{}
	for i := range byte(30) {
		first := s.ask("udp", withSubnet(question(zoneName, dns.TypeA), 1, i))
		again := s.ask("tcp", withSubnet(question(zoneName, dns.TypeA), 1, i))
		if len(addresses(first)) != 1 || addresses(first)[0] != addresses(again)[0] {
			t.Errorf("answer %v over UDP, %v over TCP", first, again)
		}
		seen[addresses(first)[0]] = true
		e := first.IsEdns0().Option[0].(*dns.EDNS0_SUBNET)
		if e.SourceScope != 24 || e.Address.String() != fmt.Sprintf("10.1.%d.0", i) {
			t.Errorf("subnet option %v", e)
		}
	}
	if len(seen) != 3 {
		t.Errorf("%d page caches named, want 3", len(seen))
	}
}

// A page cache that has just started must not be named to every resolver at once. During slow start its share of the
// answers rises, and stays within its budget. Each answer uses up the budget for as long as resolvers keep it, which may
// be longer than the TTL.
func TestSlowStartOverDNS(t *testing.T) {
	s := start(t, 1)
	s.setEndpoints(true, endpoint(1, balancer.InService), endpoint(2, balancer.InService))
	countNamed := func(from byte) (n int) {
		for i := range byte(100) {
			for _, a := range addresses(s.ask("udp", withSubnet(question(zoneName, dns.TypeA), from, i))) {
				if strings.HasSuffix(a, ".3") {
					n++
				}
			}
		}
		return n
	}
	if n := countNamed(1); n != 0 {
		t.Fatalf("%d answers name a page cache that isn't on the list", n)
	}
	fresh := endpoint(3, balancer.InService)
	fresh.StartStamp, fresh.StartedAt = 1, s.clock()
	s.setEndpoints(false, fresh)
	if n := countNamed(2); n != 0 {
		t.Errorf("%d of 100 answers name a page cache at the moment of its start", n)
	}
	s.advance(5 * time.Second)
	half := countNamed(3)
	s.advance(30 * time.Second)
	if full := countNamed(4); half == 0 || half >= full || full < 20 {
		t.Errorf("of 100 answers, %d name it after 5 s and %d after 35 s", half, full)
	}
}

// An endpoint that is lost while a query is resolved is not named: the core decides again.
func TestEndpointLostWhileResolving(t *testing.T) {
	s := start(t, 1)
	s.setEndpoints(true, endpoint(1, balancer.InService), endpoint(2, balancer.InService))
	results := make(chan core.QueryResult, 1)
	for key := range uint64(20) {
		s.core.Post(func() { // one iteration of the event loop: the endpoint is lost before the module decides
			s.core.UpdateEndpoints([]core.EndpointUpdate{endpoint(1, balancer.InService)})
			s.core.Resolve(core.EndpointQuery{Key: key, MaxEndpoints: 1, Timeout: time.Second, Reply: func(r core.QueryResult) { results <- r }})
			s.core.UpdateEndpoints([]core.EndpointUpdate{endpoint(1, balancer.Draining)})
		})
		if r := <-results; len(r.Endpoints) != 1 || r.Endpoints[0].ID != "s-2" {
			t.Errorf("key %d: %+v", key, r)
		}
	}
	s.core.Post(func() {
		s.core.Resolve(core.EndpointQuery{MaxEndpoints: 1, Timeout: time.Second, Reply: func(r core.QueryResult) { results <- r }})
		s.core.ReplaceEndpoints(nil)
	})
	if r := <-results; len(r.Endpoints) != 0 || r.Rejected {
		t.Errorf("all endpoints lost: %+v, want none", r)
	}
	if r := s.ask("udp", question(zoneName, dns.TypeA)); r.Rcode != dns.RcodeServerFailure {
		t.Errorf("all endpoints lost: %v, want SERVFAIL", r)
	}
}

// stub is a stub resolver that caches an answer for its TTL, by the clock of the test.
type stub struct {
	server  *testServer
	subnet  byte
	addr    string
	expires time.Duration
}

// lookup returns the cached address, or queries a new one if that has expired.
func (r *stub) lookup() string {
	if now := r.server.clock(); now >= r.expires {
		m := r.server.ask("udp", withSubnet(question(zoneName, dns.TypeA), 9, r.subnet))
		r.addr, r.expires = "", now
		if a := addresses(m); len(a) > 0 {
			r.addr, r.expires = a[0], now+time.Duration(m.Answer[0].Header().Ttl)*time.Second
		}
	}
	return r.addr
}

// From 250 ms plus the TTL after the drain of a page cache on, no stub resolver reaches it any more, whenever it sent its
// last query.
func TestDrainedEndpointIsNotNamed(t *testing.T) {
	s := start(t, 1)
	s.setEndpoints(true, endpoint(1, balancer.InService), endpoint(2, balancer.InService), endpoint(3, balancer.InService))
	stubs := make([]stub, 40)
	countReached := func() (n int) {
		for i := range stubs {
			if stubs[i].server, stubs[i].subnet = s, byte(i); stubs[i].lookup() == "127.1.0.2" {
				n++
			}
		}
		return n
	}
	if countReached() == 0 {
		t.Fatal("no stub reaches the page cache before its drain")
	}
	s.advance(4900 * time.Millisecond) // two stubs query just before the drain, the others 4.9 s before
	stubs[0].expires = 0
	stubs[7].expires = 0
	countReached()
	s.setEndpoints(false, endpoint(2, balancer.Draining))
	drained := s.clock()
	for s.clock() < drained+30*time.Second {
		s.advance(50 * time.Millisecond)
		if n := countReached(); n > 0 && s.clock() >= drained+250*time.Millisecond+5*time.Second {
			t.Fatalf("%v after the drain, %d stubs reach the page cache", s.clock()-drained, n)
		}
	}
}
