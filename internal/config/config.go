// Package config is the one place where the configuration is read, checked and given defaults. An error
// names the faulty key.
package config

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/valyala/fastjson"

	"hillknot/balancer"
	"hillknot/internal/config/settings"
	"hillknot/internal/jsonfields"
	"hillknot/internal/logging"
)

var log = logging.For("config")

// Config is what a router is configured with at its start.
type Config struct {
	Name            string
	Listen          string            // address for clients
	InheritedSocket int               // descriptor of a socket that listens for clients already; 0: there is none
	HandoverPath    string            // Unix socket at which the processes of this router meet for a hot restart; empty: none
	DiscoveryAddr   string            // of the discovery service, which the files call journal
	KnownEvents     jsonfields.Object // discovery's events up to the start
	Settings        balancer.Settings
	Limits          Limits
	DNS             DNS
	AgentCheckAddr  string // for HAProxy's agent checks; empty: the front end is off
	AdminAddr       string // for operators; empty: the front end is off
	Cluster         Cluster
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
		log.Warn("operator file is JSON", logging.KeyFile, operator, logging.KeyHint, "hillknot config convert writes it as HCL, whose errors name line and column")
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

// firstInherited is the first descriptor behind standard input, output and error.
const firstInherited = 3

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
		if err != nil || fd < firstInherited {
			return fmt.Errorf("RELAY_SOCKET_FD %q is no descriptor that can be inherited", text)
		}
		c.InheritedSocket = fd
		if dir := get("TMPDIR"); filepath.IsAbs(dir) { // a relative one could be anybody's
			c.HandoverPath = filepath.Join(dir, "hillknot-"+strings.ReplaceAll(c.Listen, ":", "-")+".sock")
		}
	}
	return nil
}

// Parse reads the configuration from JSON text, with the keys of an operator's text, which may be empty, in place of the
// same ones. The operator's text is HCL, with the file's name in its errors, or JSON. An error of several faulty keys
// is taken apart by Faults.
func Parse(text, operator []byte, name string) (*Config, error) {
	root, err := fastjson.ParseBytes(text)
	if err != nil {
		return nil, err
	}
	o := jsonfields.FromValue(root)
	overlay, err := overlayOperator(o, root, operator, name)
	if err != nil {
		return nil, fmt.Errorf("operator's file: %w", err)
	}
	c := read(o)
	if overlay != nil {
		overlay.failUnreadKeys(o)
	}
	c.validate(o)
	if err := o.Err(); err != nil {
		return nil, err
	}
	if _, err := balancer.New(c.Settings); err != nil {
		return nil, fmt.Errorf("key %q: %w", "settings", err)
	}
	return c, nil
}

// overlayOperator puts the keys of an operator's text in place of the same ones of a document. It returns the text's HCL
// document; nil: it is empty or JSON.
func overlayOperator(o jsonfields.Object, root *fastjson.Value, operator []byte, name string) (*document, error) {
	if len(operator) == 0 {
		return nil, nil
	}
	replace := func(key []byte, value *fastjson.Value) { root.Set(string(key), value) }
	if isJSON(operator) {
		keys, err := fastjson.ParseBytes(operator)
		if err != nil {
			return nil, err
		}
		keys.GetObject().Visit(replace)
		return nil, nil
	}
	doc, err := readHCL(operator, name)
	if err != nil {
		return nil, err
	}
	doc.root.GetObject().Visit(replace)
	o.TrackLocations(doc.location)
	return doc, nil
}

// read reads all keys. Errors stay with the object.
func read(o jsonfields.Object) *Config {
	o.Require("listen", "journal", "settings")
	c := &Config{
		Name:           o.String("name", "hillknot"),
		Listen:         address(o, "listen"),
		DiscoveryAddr:  address(o, "journal"),
		KnownEvents:    o.Object("known"),
		Settings:       settings.Read(o.Object("settings")),
		Limits:         readLimits(o),
		DNS:            readDNS(o),
		AgentCheckAddr: address(o.Object("agent_check"), "listen"),
		AdminAddr:      address(o, "ops"),
	}
	c.Cluster = readCluster(o, c.Name, c.Settings.Classes)
	if o.Has("health") {
		o.Fail("health", "is no key any more: GET /status at the address under ops answers health checks")
	}
	return c
}

// validate checks what several keys decide together, and sets the limits that follow from them.
func (c *Config) validate(o jsonfields.Object) {
	validateTopology(o.Object("settings"), c.Settings)
	c.Limits.ConnsPerEndpoint = connsPerEndpoint(c.Settings.Topology)
	for _, class := range c.Settings.Classes {
		c.Limits.LongestDeadline = max(c.Limits.LongestDeadline, class.Deadline)
	}
	c.Limits.ShutdownTimeout = shutdownTimeout(c.Limits.LongestDeadline)
	if f := c.Cluster.Failover; f.Enabled && f.Retention < c.Limits.LongestDeadline {
		problem := fmt.Sprintf("is under the longest deadline of a class, %v", c.Limits.LongestDeadline)
		o.Object("fleet").Object("takeover").Fail("keep_ms", problem)
	}
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
