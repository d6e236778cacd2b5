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
	gen := func(t *rapid.T) []byte {
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
	parsertest.Run(t, gen, func(buf []byte) (int, int, error) {
		// A datagram has no length of its own: what is cut is an error, and what follows is passed over.
		if _, _, err := parse(buf); err != nil {
			return 0, 0, nil
		}
		return end(buf), 0, nil
	})
}

// end finds the end of a valid query by miekg/dns, the client that knows nothing of our parser.
func end(buf []byte) int {
	m := new(dns.Msg)
	if m.Unpack(buf) != nil && len(buf) == 0 {
		return 0
	}
	if b, err := m.Pack(); err == nil {
		return min(len(b), len(buf))
	}
	return len(buf)
}

// site is a server on loopback with a core whose clock the test sets.
type site struct {
	t    *testing.T
	core *core.Core
	f    *Server
	mu   sync.Mutex
	now  time.Duration
}

type noUpstream struct{}

func (noUpstream) Send(*core.Attempt)           {}
func (noUpstream) Cancel(*core.Attempt)         {}
func (noUpstream) CloseEndpoint(*core.Endpoint) {}

func (s *site) clock() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now
}

func (s *site) wait(d time.Duration) {
	s.mu.Lock()
	s.now += d
	s.mu.Unlock()
}

const name = "scores.example.org"

func start(t *testing.T, answers int) *site {
	t.Helper()
	s := prepare(t, answers)
	go s.f.Serve()
	return s
}

// prepare is start for tests that call Serve themselves.
func prepare(t *testing.T, answers int) *site {
	t.Helper()
	s := &site{t: t, now: 1e6 * time.Second}
	conn := config.ConnLimits{MaxPendingBytes: 1 << 18, ReadTimeout: time.Minute, WriteTimeout: time.Minute, IdleTimeout: time.Minute, SilentTimeout: time.Minute}
	lim := config.Limits{OpenQueries: 100, DNSConns: 10, OpenRequests: 10, DNS: conn}
	c, err := core.New(balancer.Settings{Topology: balancer.Topology{Zone: "edge", Zones: []string{"edge"},
		Kinds: []string{"box", "mid", "store"}, ParentKind: 1, OriginKind: 2}, Classes: []balancer.Class{{Name: "a"}}, CacheSlowStart: balancer.SlowStartRule{InitialCapacity: 0.2, WarmUpTime: 18 * time.Second,
		OverloadFactor: 4, OverloadWindow: 2 * time.Second}}, lim, s.clock)
	if err != nil {
		t.Fatal(err)
	}
	c.SetUpstream(noUpstream{})
	s.core = c
	s.f, err = Listen(c, config.DNS{Listen: "127.0.0.1:0", Names: []string{name}, TTL: 5 * time.Second, TTLOverstay: 2, ResolverLoad: 0.05,
		MaxAnswers: answers, Timeout: time.Second}, lim, netio.NewBudget(1<<20))
	if err != nil {
		t.Fatal(err)
	}
	stop := make(chan struct{})
	go c.Run(stop)
	t.Cleanup(func() { s.f.Close(); close(stop) })
	return s
}

func host(i int, state balancer.EndpointState) core.EndpointUpdate {
	return core.EndpointUpdate{ID: fmt.Sprintf("s-%d", i), Addr: fmt.Sprintf("127.1.0.%d:7001", i), Kind: "box", Zone: "edge", Weight: 1, State: state}
}

// members sets the list and waits until the core has taken it.
func (s *site) members(full bool, hosts ...core.EndpointUpdate) {
	done := make(chan struct{})
	s.core.Post(func() {
		if full {
			s.core.ReplaceEndpoints(hosts)
		} else {
			s.core.UpdateEndpoints(hosts)
		}
	})
	s.core.Post(func() { close(done) })
	<-done
}

func (s *site) ask(proto string, m *dns.Msg) *dns.Msg {
	s.t.Helper()
	cl := &dns.Client{Net: proto, Timeout: 10 * time.Second, UDPSize: 4096}
	r, _, err := cl.Exchange(m, s.f.Addr())
	if err != nil {
		s.t.Fatalf("%s %v: %v", proto, m.Question, err)
	}
	return r
}

func question(name string, qtype uint16) *dns.Msg {
	return new(dns.Msg).SetQuestion(dns.Fqdn(name), qtype)
}

// subnet adds the client's subnet to a query.
func subnet(m *dns.Msg, a, b byte) *dns.Msg {
	m.SetEdns0(1232, false)
	o := m.IsEdns0()
	o.Option = append(o.Option, &dns.EDNS0_SUBNET{Code: dns.EDNS0SUBNET, Family: 1, SourceNetmask: 24, Address: net.IP{10, a, b, 0}})
	return m
}

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
	if r := s.ask("udp", question(name, dns.TypeA)); r.Rcode != dns.RcodeServerFailure {
		t.Errorf("before any list: %v, want SERVFAIL", r)
	}
	s.members(true, host(1, balancer.InService), host(2, balancer.InService), host(3, balancer.InService))
	for _, proto := range []string{"udp", "tcp"} {
		r := s.ask(proto, question("SCORES.example.ORG", dns.TypeA))
		if len(addresses(r)) != 2 || !r.Authoritative || r.Answer[0].Header().Ttl != 5 {
			t.Errorf("%s A: %v", proto, r)
		}
		r = s.ask(proto, question(name, dns.TypeSRV))
		if len(r.Answer) != 2 || len(r.Extra) != 2 || r.Answer[0].(*dns.SRV).Port != 7001 ||
			r.Answer[0].(*dns.SRV).Target != r.Extra[0].Header().Name {
			t.Fatalf("%s SRV: %v", proto, r)
		}
		target := s.ask(proto, question(r.Extra[0].Header().Name, dns.TypeA))
		if got := addresses(target); len(got) != 1 || got[0] != r.Extra[0].(*dns.A).A.String() {
			t.Errorf("%s A of %s: %v", proto, r.Extra[0], target)
		}
	}
	odd := question(name, dns.TypeA)
	odd.Opcode = dns.OpcodeNotify
	version := question(name, dns.TypeA).SetEdns0(1232, false)
	version.IsEdns0().SetVersion(1)
	for what, c := range map[string]struct {
		m    *dns.Msg
		code int
		soa  bool
	}{
		"no IPv6 address": {question(name, dns.TypeAAAA), dns.RcodeSuccess, true},
		"other type":      {question(name, dns.TypeMX), dns.RcodeSuccess, true},
		"below":           {question("what."+name, dns.TypeA), dns.RcodeNameError, true},
		"foreign":         {question("example.com", dns.TypeA), dns.RcodeRefused, false},
		"opcode":          {odd, dns.RcodeNotImplemented, false},
		"EDNS version":    {version, dns.RcodeBadVers, false},
	} {
		r := s.ask("udp", c.m)
		if soa := len(r.Ns) == 1 && r.Ns[0].Header().Rrtype == dns.TypeSOA; r.Rcode != c.code || len(r.Answer) != 0 || soa != c.soa {
			t.Errorf("%s: %v", what, r)
		}
	}
	// Malformed beyond what the client library would send.
	nc, err := net.Dial("udp", s.f.Addr())
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

// An answer over the resolver's size is cut and marked, and whole over TCP.
func TestTruncatedOverUDP(t *testing.T) {
	s := start(t, 16)
	var hosts []core.EndpointUpdate
	for i := range 16 {
		hosts = append(hosts, host(i+1, balancer.InService))
	}
	s.members(true, hosts...)
	if r := s.ask("udp", question(name, dns.TypeSRV)); !r.Truncated || len(r.Answer) != 0 {
		t.Errorf("UDP: %v", r)
	}
	if r := s.ask("tcp", question(name, dns.TypeSRV)); r.Truncated || len(r.Answer) != 16 {
		t.Errorf("TCP: %v", r)
	}
}

// The same subnet gets the same answer, whatever resolver asks, and the whole range is used.
func TestAnswersFollowClientSubnets(t *testing.T) {
	s := start(t, 1)
	s.members(true, host(1, balancer.InService), host(2, balancer.InService), host(3, balancer.InService))
	seen := map[string]bool{}
	for i := range byte(30) {
		first := s.ask("udp", subnet(question(name, dns.TypeA), 1, i))
		again := s.ask("tcp", subnet(question(name, dns.TypeA), 1, i))
		if len(addresses(first)) != 1 || addresses(first)[0] != addresses(again)[0] {
			t.Errorf("%v, then %v", first, again)
		}
		seen[addresses(first)[0]] = true
		e := first.IsEdns0().Option[0].(*dns.EDNS0_SUBNET)
		if e.SourceScope != 24 || e.Address.String() != fmt.Sprintf("10.1.%d.0", i) {
			t.Errorf("scope %v", e)
		}
	}
	if len(seen) != 3 {
		t.Errorf("%d page caches named, want 3", len(seen))
	}
}

// A freshly started page cache must not be handed to every resolver at once: it enters by its rising share and
// within its budget, which every answer uses up for the TTL and what resolvers keep it beyond.
func TestSlowStartOverDNS(t *testing.T) {
	s := start(t, 1)
	s.members(true, host(1, balancer.InService), host(2, balancer.InService))
	named := func(from byte) (n int) {
		for i := range byte(100) {
			for _, a := range addresses(s.ask("udp", subnet(question(name, dns.TypeA), from, i))) {
				if strings.HasSuffix(a, ".3") {
					n++
				}
			}
		}
		return n
	}
	if n := named(1); n != 0 {
		t.Fatalf("%d answers name a page cache that isn't listed", n)
	}
	late := host(3, balancer.InService)
	late.StartStamp, late.StartedAt = 1, s.clock()
	s.members(false, late)
	if n := named(2); n != 0 {
		t.Errorf("%d of 100 answers name a page cache in the moment of its start", n)
	}
	s.wait(5 * time.Second)
	half := named(3)
	s.wait(30 * time.Second)
	if full := named(4); half == 0 || half >= full || full < 20 {
		t.Errorf("of 100 answers, %d name it after 5 s and %d after 35 s", half, full)
	}
}

// an endpoint that is lost as the answer is made is not named: the decision is made again.
func TestEndpointLostWhileResolving(t *testing.T) {
	s := start(t, 1)
	s.members(true, host(1, balancer.InService), host(2, balancer.InService))
	got := make(chan core.QueryResult, 1)
	for key := range uint64(20) {
		s.core.Post(func() { // one turn: asked, then lost, before the module is asked
			s.core.UpdateEndpoints([]core.EndpointUpdate{host(1, balancer.InService)})
			s.core.Resolve(core.EndpointQuery{Key: key, MaxEndpoints: 1, Timeout: time.Second, Reply: func(r core.QueryResult) { got <- r }})
			s.core.UpdateEndpoints([]core.EndpointUpdate{host(1, balancer.Draining)})
		})
		if r := <-got; len(r.Endpoints) != 1 || r.Endpoints[0].ID != "s-2" {
			t.Errorf("key %d: %+v", key, r)
		}
	}
	s.core.Post(func() {
		s.core.Resolve(core.EndpointQuery{MaxEndpoints: 1, Timeout: time.Second, Reply: func(r core.QueryResult) { got <- r }})
		s.core.ReplaceEndpoints(nil)
	})
	if r := <-got; len(r.Endpoints) != 0 || r.Rejected {
		t.Errorf("all lost: %+v, want none", r)
	}
	if r := s.ask("udp", question(name, dns.TypeA)); r.Rcode != dns.RcodeServerFailure {
		t.Errorf("all lost: %v, want SERVFAIL", r)
	}
}

// stub is a stub resolver that keeps what it got for the TTL, on the test's clock.
type stub struct {
	s     *site
	i     byte
	addr  string
	until time.Duration
}

func (r *stub) lookup() string {
	if now := r.s.clock(); now >= r.until {
		m := r.s.ask("udp", subnet(question(name, dns.TypeA), 9, r.i))
		r.addr, r.until = "", now
		if a := addresses(m); len(a) > 0 {
			r.addr, r.until = a[0], now+time.Duration(m.Answer[0].Header().Ttl)*time.Second
		}
	}
	return r.addr
}

// Stub resolvers never reach a drained page cache after 250 ms plus the TTL, however their queries lie.
func TestDrainedEndpointIsNotNamed(t *testing.T) {
	s := start(t, 1)
	s.members(true, host(1, balancer.InService), host(2, balancer.InService), host(3, balancer.InService))
	stubs := make([]stub, 40)
	reached := func() (n int) {
		for i := range stubs {
			if stubs[i].s, stubs[i].i = s, byte(i); stubs[i].lookup() == "127.1.0.2" {
				n++
			}
		}
		return n
	}
	if reached() == 0 {
		t.Fatal("no stub was ever sent to the page cache that will drain")
	}
	s.wait(4900 * time.Millisecond) // some ask just before the drain, some long before
	stubs[0].until = 0
	stubs[7].until = 0
	reached()
	s.members(false, host(2, balancer.Draining))
	drained := s.clock()
	for s.clock() < drained+30*time.Second {
		s.wait(50 * time.Millisecond)
		if n := reached(); n > 0 && s.clock() >= drained+250*time.Millisecond+5*time.Second {
			t.Fatalf("%v after the drain, %d stubs reach the page cache", s.clock()-drained, n)
		}
	}
}
