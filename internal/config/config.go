// Package config reads and checks the configuration and sets its defaults. No other package does. An error names the
// faulty key.
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

// Config is the configuration of a router.
type Config struct {
	Name            string
	Listen          string            // address that clients connect to
	InheritedSocket int               // descriptor of a socket that already listens for clients; 0: none
	HandoverPath    string            // Unix socket over which the processes of this router hand over in a hot restart; empty: none
	DiscoveryAddr   string            // of the discovery service; key journal
	KnownEvents     jsonfields.Object // events of the discovery service up to the start of the process; key known
	Settings        balancer.Settings
	Limits          Limits
	DNS             DNS
	AgentCheckAddr  string // for HAProxy's agent checks; empty: the front end is off
	AdminAddr       string // for operators; key ops; empty: the front end is off
	Cluster         Cluster
}

// Load calls LoadEnv with the environment of this process.
func Load(path, operator string) (*Config, error) { return LoadEnv(path, operator, os.Getenv) }

// LoadEnv reads the configuration from the file at path. If operator is not empty, it is the path of an operator's file, whose
// keys replace those of the first file. Environment variables, which the platform sets, are read with getenv.
func LoadEnv(path, operator string, getenv func(string) string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	var operatorText []byte
	if operator != "" {
		if operatorText, err = os.ReadFile(operator); err != nil {
			return nil, fmt.Errorf("read operator's file: %w", err)
		}
	}
	if isJSON(operatorText) {
		log.Warn("operator file is JSON", logging.KeyFile, operator,
			logging.KeyHint, "hillknot config convert writes it as HCL, whose errors name line and column")
	}
	c, err := Parse(text, operatorText, operator)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	if err := c.readEnvironment(getenv); err != nil {
		return nil, fmt.Errorf("environment: %w", err)
	}
	return c, nil
}

// Faults returns the individual errors that an error of Load, LoadEnv or Parse joins, one for each faulty key.
func Faults(err error) []error {
	var all interface{ Unwrap() []error }
	if errors.As(err, &all) {
		return all.Unwrap()
	}
	return []error{err}
}

// firstInheritedDescriptor is the first descriptor after standard input, output and error.
const firstInheritedDescriptor = 3

// readEnvironment reads the settings that the platform passes in environment variables. A key of the files takes precedence.
func (c *Config) readEnvironment(get func(string) string) error {
	if c.AdminAddr == "" {
		c.AdminAddr = get("RELAY_OPS")
	}
	if c.AdminAddr != "" {
		if _, err := netip.ParseAddrPort(c.AdminAddr); err != nil {
			return fmt.Errorf("RELAY_OPS %q is not an address with a port", c.AdminAddr)
		}
	}
	if text := get("RELAY_SOCKET_FD"); text != "" {
		fd, err := strconv.Atoi(text)
		if err != nil || fd < firstInheritedDescriptor {
			return fmt.Errorf("RELAY_SOCKET_FD %q is not a descriptor that can be inherited", text)
		}
		c.InheritedSocket = fd
		if dir := get("TMPDIR"); filepath.IsAbs(dir) { // a relative path could lead to a folder of another user
			c.HandoverPath = filepath.Join(dir, "hillknot-"+strings.ReplaceAll(c.Listen, ":", "-")+".sock")
		}
	}
	return nil
}

// Parse reads the configuration from JSON text. The keys of the operator's text, which may be empty, replace the same keys of
// that text. The operator's text is HCL or JSON; name is its file name in errors. Faults splits an error of several faulty
// keys.
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
	c := readConfig(o)
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

// overlayOperator replaces top-level keys of a document, o with its value root, by those of an operator's text. It returns
// the HCL document of the text, or nil if the text is empty or JSON.
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

// readConfig reads all keys. The object keeps the errors.
func readConfig(o jsonfields.Object) *Config {
	o.Require("listen", "journal", "settings")
	c := &Config{
		Name:           o.String("name", "hillknot"),
		Listen:         readAddress(o, "listen"),
		DiscoveryAddr:  readAddress(o, "journal"),
		KnownEvents:    o.Object("known"),
		Settings:       settings.Read(o.Object("settings")),
		Limits:         readLimits(o),
		DNS:            readDNS(o),
		AgentCheckAddr: readAddress(o.Object("agent_check"), "listen"),
		AdminAddr:      readAddress(o, "ops"),
	}
	c.Cluster = readCluster(o, c.Name, c.Settings.Classes)
	if o.Has("health") {
		o.Fail("health", "is no longer a key: GET /status at the address of ops answers health checks")
	}
	return c
}

// validate checks combinations of keys, and sets the limits that follow from several keys.
func (c *Config) validate(o jsonfields.Object) {
	validateTopology(o.Object("settings"), c.Settings)
	c.Limits.ConnsPerEndpoint = connsPerEndpoint(c.Settings.Topology)
	for _, class := range c.Settings.Classes {
		c.Limits.LongestDeadline = max(c.Limits.LongestDeadline, class.Deadline)
	}
	c.Limits.ShutdownTimeout = shutdownTimeout(c.Limits.LongestDeadline)
	if f := c.Cluster.Failover; f.Enabled && f.Retention < c.Limits.LongestDeadline {
		problem := fmt.Sprintf("is below the longest deadline of a class, %v", c.Limits.LongestDeadline)
		o.Object("fleet").Object("takeover").Fail("keep_ms", problem)
	}
}

// isJSON reports whether a text is JSON and not HCL, which can't begin with a brace.
func isJSON(text []byte) bool { return bytes.HasPrefix(bytes.TrimSpace(text), []byte("{")) }

// readAddress reads an IP address with its port, or an empty string if the key is absent. A host name is an error: the
// platform's addresses are all of this machine.
func readAddress(o jsonfields.Object, name string) string {
	s := o.String(name, "")
	if !o.Has(name) {
		return s
	}
	if _, err := netip.ParseAddrPort(s); err != nil {
		o.Fail(name, "is not an address with a port")
	}
	return s
}
