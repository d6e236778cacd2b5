// Package config is the one place where the configuration is read, checked and given defaults. An error
// names the faulty key.
package config

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fastjson"

	"hillknot/balancer"
	"hillknot/internal/config/settings"
	"hillknot/internal/jsonfields"
)

// Config is what a router is told at its start.
type Config struct {
	Name            string
	Listen          string
	InheritedSocket int    // descriptor of a socket that listens for clients already; 0: there is none
	HandoverPath    string // path at which processes of this router meet; empty: nowhere
	DiscoveryAddr   string
	KnownEvents     jsonfields.Object // the journal's events of the start
	Settings        balancer.Settings
	Limits          Limits
	DNS             DNS
	AgentCheckAddr  string // where HAProxy's agent checks are answered; empty: nowhere
	AdminAddr       string // where operators call; empty: nowhere
	Cluster         Cluster
}

// DNS sets up the DNS front.
type DNS struct {
	Listen       string // empty: the front is off
	Names        []string
	TTL          time.Duration
	TTLOverstay  float64       // resolvers keep an answer for up to this multiple of the TTL
	ResolverLoad float64       // seconds of sending that the clients of one resolver ask for each second
	MaxAnswers   int           // members named in one answer, at most
	Timeout      time.Duration // by then a query is answered
}

// Load is LoadEnv with the environment of this process.
func Load(path, operator string) (*Config, error) { return LoadEnv(path, operator, os.Getenv) }

// LoadEnv reads the configuration from a file, and from an operator's file, if one is named, whose keys replace those of
// the first. What the platform tells a process by its environment is read with getenv.
func LoadEnv(path, operator string, getenv func(string) string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	var more []byte
	if operator != "" {
		if more, err = os.ReadFile(operator); err != nil {
			return nil, fmt.Errorf("read operator's file: %w", err)
		}
	}
	if isJSON(more) {
		slog.Warn("the operator's file is JSON; HCL has places in its errors: hillknot config convert writes it", "file", operator)
	}
	c, err := Parse(text, more, operator)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	if err := c.environment(getenv); err != nil {
		return nil, fmt.Errorf("environment: %w", err)
	}
	return c, nil
}

// Faults are the single errors in an error of Load: one for each faulty key.
func Faults(err error) []error {
	var all interface{ Unwrap() []error }
	if errors.As(err, &all) {
		return all.Unwrap()
	}
	return []error{err}
}

// environment takes what the platform tells a process by its environment.
func (c *Config) environment(get func(string) string) error {
	if c.AdminAddr == "" {
		c.AdminAddr = get("RELAY_OPS")
	}
	if c.AdminAddr != "" {
		if _, err := netip.ParseAddrPort(c.AdminAddr); err != nil {
			return fmt.Errorf("RELAY_OPS %q is no address with a port", c.AdminAddr)
		}
	}
	if text := get("RELAY_SOCKET_FD"); text != "" {
		fd, err := strconv.Atoi(text)
		if err != nil || fd < 3 {
			return fmt.Errorf("RELAY_SOCKET_FD %q is no descriptor that can be inherited", text)
		}
		c.InheritedSocket = fd
		if dir := get("TMPDIR"); filepath.IsAbs(dir) { // without one, whose is the file?
			c.HandoverPath = filepath.Join(dir, "hillknot-"+strings.ReplaceAll(c.Listen, ":", "-")+".sock")
		}
	}
	return nil
}

// Parse reads the configuration from JSON text, with the keys of an operator's text, which may be empty, over it.
// That is HCL, with the name in its errors, or JSON.
func Parse(text, operator []byte, name string) (*Config, error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return nil, err
	}
	o := jsonfields.FromValue(v)
	var doc *document
	switch {
	case len(operator) == 0:
	case isJSON(operator):
		more, err := fastjson.ParseBytes(operator)
		if err != nil {
			return nil, fmt.Errorf("operator's file: %w", err)
		}
		more.GetObject().Visit(func(key []byte, value *fastjson.Value) { v.Set(string(key), value) })
	default:
		if doc, err = readHCL(operator, name); err != nil {
			return nil, fmt.Errorf("operator's file: %w", err)
		}
		doc.root.GetObject().Visit(func(key []byte, value *fastjson.Value) { v.Set(string(key), value) })
		o.TrackLocations(doc.place)
	}
	o.Require("listen", "journal", "settings")
	c := &Config{
		Name: o.String("name", "hillknot"), Listen: address(o, "listen"), DiscoveryAddr: address(o, "journal"),
		KnownEvents: o.Object("known"), Settings: settings.Read(o.Object("settings")),
		Limits: limits(o),
		DNS:    readDNS(o), AgentCheckAddr: address(o.Object("agent_check"), "listen"), AdminAddr: address(o, "ops"),
	}
	c.Cluster = readFleet(o, c.Name, c.Settings.Classes)
	if o.Has("health") {
		o.Fail("health", "is no key any more: GET /status at the address under ops answers health checks")
	}
	if doc != nil {
		doc.unknown(o)
	}
	checkFleet(o.Object("settings"), c)
	for _, k := range c.Settings.Classes {
		c.Limits.LongestDeadline = max(c.Limits.LongestDeadline, k.Deadline)
	}
	c.Limits.ShutdownTimeout = finish(c.Limits.LongestDeadline)
	if t := c.Cluster.Failover; t.Enabled && t.Retention < c.Limits.LongestDeadline {
		o.Object("fleet").Object("takeover").Fail("keep_ms", fmt.Sprintf("is under the longest deadline of a class, %v", c.Limits.LongestDeadline))
	}
	if err := o.Err(); err != nil {
		return nil, err
	}
	if _, err := balancer.New(c.Settings); err != nil {
		return nil, fmt.Errorf("key %q: %w", "settings", err)
	}
	return c, nil
}

const (
	mostRouters   = 100_000 // in one location; more is a slip of the pen
	connsOfCache  = 16      // that the routers of a location hold to one page cache together, about
	connsPerCache = 4       // and each, at most
)

// checkFleet checks what is told of the fleet that the router stands in, and sets what follows from it. A wrong figure
// would not show in one router: all of them together would ask too much of page caches and links, or too little.
func checkFleet(set jsonfields.Object, c *Config) {
	spec, s, name := set.Object("specifics"), c.Settings, "instancesByZone"
	spec.Require(name)
	own := slices.Index(s.Topology.Zones, s.Topology.Zone)
	switch {
	case own < 0 || !spec.Has(name): // told already
		return
	case len(s.Topology.RoutersPerZone) != len(s.Topology.Zones):
		spec.Fail(name, fmt.Sprintf("holds %d figures for %d locations", len(s.Topology.RoutersPerZone), len(s.Topology.Zones)))
		return
	case s.Topology.RoutersPerZone[own] < 1:
		spec.Fail(name, "holds no router for the own location")
	}
	for _, n := range s.Topology.RoutersPerZone {
		if n < 0 || n > mostRouters {
			spec.Fail(name, fmt.Sprintf("holds %d, which is out of range (0 to %d)", n, mostRouters))
		}
	}
	if n := len(s.LinkKBps); n > 0 && n != len(s.Topology.Zones) {
		spec.Fail("pipeKbPerS", fmt.Sprintf("holds %d figures for %d locations", n, len(s.Topology.Zones)))
	}
	if s.PaceKBps < 0 {
		spec.Fail("paceKbPerS", "is under 0")
	}
	for _, kb := range s.LinkKBps {
		if kb < 0 {
			spec.Fail("pipeKbPerS", "holds a figure under 0")
		}
	}
	c.Limits.ConnsPerEndpoint = max(1, min(connsPerCache, connsOfCache/max(1, s.Topology.RoutersPerZone[own])))
}

// isJSON tells JSON from HCL, which can't begin with a brace.
func isJSON(text []byte) bool { return bytes.HasPrefix(bytes.TrimSpace(text), []byte("{")) }

// address reads an address with its port. It must be of this machine: the platform's addresses are.
func address(o jsonfields.Object, name string) string {
	s := o.String(name, "")
	if !o.Has(name) {
		return s
	}
	if _, err := netip.ParseAddrPort(s); err != nil {
		o.Fail(name, "is no address with a port")
	}
	return s
}

// readDNS reads the set-up of the DNS front, which is off where there is none.
func readDNS(o jsonfields.Object) DNS {
	if !o.Has("dns") {
		return DNS{}
	}
	d := o.Object("dns")
	d.Require("listen", "names")
	c := DNS{
		Listen: address(d, "listen"), TTL: d.Duration("ttl_s", time.Second, 5*time.Second), TTLOverstay: d.Number("overstay", 2),
		ResolverLoad: d.Number("resolver_load", 0.05), MaxAnswers: d.Count("answers", 2, 1),
		Timeout: d.Duration("deadline_ms", time.Millisecond, time.Second),
	}
	if c.TTL < time.Second || c.TTL > time.Hour {
		d.Fail("ttl_s", "is out of range (1 to 3600)")
	}
	if c.TTLOverstay < 1 {
		d.Fail("overstay", "is under 1")
	}
	if c.ResolverLoad <= 0 {
		d.Fail("resolver_load", "is not above 0")
	}
	if c.Timeout <= 0 {
		d.Fail("deadline_ms", "is not above 0")
	}
	if c.MaxAnswers > 16 {
		d.Fail("answers", "is over 16")
	}
	for _, n := range d.Strings("names") {
		n = strings.ToLower(strings.TrimSuffix(n, "."))
		if !hostName(n) {
			d.Fail("names", fmt.Sprintf("holds %q, which is no host name", n))
		}
		c.Names = append(c.Names, n)
	}
	if len(c.Names) == 0 {
		d.Fail("names", "is empty")
	}
	return c
}

// hostName tells whether a name can be asked for, with a label for a member before it.
func hostName(n string) bool {
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

// limits fills the limits from what the machine is given, the settings and the defaults.
func limits(o jsonfields.Object) Limits {
	given, allowed := o.Object("limits"), o.Object("settings").Object("allowed")
	const ms = time.Millisecond
	l := Limits{
		MemoryMB: given.Count("memory_mb", 192, 32),
		Sockets:  given.Count("sockets", 1024, 64),

		OpenPerConn:  32,
		MessageBytes: 64 << 10,
		BodyBytes:    48_000,
		BadRequests:  64,
		AnswerMargin: 15 * ms,

		AttemptGrace: 200 * ms, FinishMargin: 200 * ms,

		ResponseLineBytes:   1 << 10,
		ObjectBytes:         240_000,
		ConnectTimeout:      allowed.Duration("connectTimeoutUs", time.Microsecond, 400*ms),
		UpstreamIdleTimeout: allowed.Duration("keepaliveUs", time.Microsecond, 30*time.Second) / 2,

		UpstreamSilence: time.Second,

		DiscoveryLineBytes:    1 << 20,
		DiscoverySilence:      2 * time.Second,
		DiscoveryReadInterval: 25 * ms,
		DiscoveryBackoffMin:   25 * ms, DiscoveryBackoffMax: 200 * ms,

		OpenQueries: 1024, AgentCheckConns: 8,
		AdminConns: 16, AdminHeaderBytes: 8 << 10, AdminBodyBytes: 8 << 10,

		// A stall that is not noticed must stay well under the 150 ms by which a page cache may be told too much.
		LoopInterval: 50 * ms, LoopSlack: 20 * ms, BacklogPollInterval: ms, BacklogWait: 100 * ms,

		OrderReleaseDelay: 250 * ms,
		ShutdownGrace:     700 * ms,
		ShutdownFlush:     100 * ms,

		DrainCloseAfterResponse: 400 * ms, DrainCloseIdle: 600 * ms, DrainIdleTime: 100 * ms, DrainRejectNew: 2 * time.Second, DrainCloseAll: 3300 * ms,

		// A request may take 2 s to be written; who sends none is owed an end within 3 s.
		// Clients close a connection that was idle for 4 s. Ours come later, so that a request seldom crosses them.
		Client: ConnLimits{MaxPendingBytes: 8 << 20, ReadTimeout: 2500 * ms, MessageTimeout: 2500 * ms, WriteTimeout: 5 * time.Second, IdleTimeout: 5 * time.Second,
			SilentTimeout: 1500 * ms, LingerTimeout: 250 * ms},
		// Answers come whole, or nearly: a pause of a second inside one says that it has stopped short.
		Upstream: ConnLimits{MaxPendingBytes: 1 << 20, ReadTimeout: time.Second, WriteTimeout: 50 * ms},
		DNS: ConnLimits{MaxPendingBytes: 1 << 18, ReadTimeout: time.Second, MessageTimeout: time.Second, WriteTimeout: time.Second, IdleTimeout: 10 * time.Second,
			SilentTimeout: 2 * time.Second, LingerTimeout: 250 * ms},
		AgentCheck: ConnLimits{MaxPendingBytes: 1 << 16, ReadTimeout: time.Second, MessageTimeout: time.Second, WriteTimeout: time.Second, IdleTimeout: 5 * time.Second,
			SilentTimeout: 2 * time.Second, LingerTimeout: 250 * ms},
		Admin: ConnLimits{MaxPendingBytes: 1 << 16, ReadTimeout: time.Second, MessageTimeout: time.Second, WriteTimeout: time.Second, IdleTimeout: time.Second,
			SilentTimeout: time.Second, LingerTimeout: 250 * ms},
		HandoverConns: 4, HandoverStateBytes: 1 << 20, HandoverTimeout: 500 * ms, HandoverDiscoveryWait: 1500 * ms,
		// The connection stays, silent, for as long as both processes live.
		Handover: ConnLimits{MaxPendingBytes: 2 << 20, ReadTimeout: time.Second, MessageTimeout: time.Second, WriteTimeout: time.Second, IdleTimeout: 1000 * time.Hour,
			SilentTimeout: 2 * time.Second},
		Discovery: ConnLimits{MaxPendingBytes: 1 << 16, ReadTimeout: 2 * time.Second, WriteTimeout: time.Second},
	}
	// Clients hold up to a third of the descriptors. Some more are for strangers and for connections that are on
	// their way out; caches have their own, and the listeners, the journal and the poller what is left.
	l.ClientConns, l.UpstreamConns, l.DNSConns = l.Sockets*7/16, l.Sockets*5/16, l.Sockets/32
	// Objects as they come in and go out may take a part of the memory; the rest is left to all else. What an
	// open request holds beside them is small.
	l.BufferedBytes = l.MemoryMB << 20 / 3
	l.OpenRequests = l.MemoryMB << 20 / (64 << 10)
	return l
}

// finish is how long a router that has been sent SIGTERM has to answer what is open: the platform kills no sooner
// than the longest deadline, taken as 3 s where it is longer, and 0.7 s after SIGTERM; 0.2 s of that are left for
// writing the last answers.
func finish(longest time.Duration) time.Duration {
	return min(longest, 3*time.Second) + 700*time.Millisecond - 200*time.Millisecond
}
