// Package config is the one place where the configuration is read, checked and given defaults. An error
// names the faulty key.
package config

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/valyala/fastjson"

	"hillknot/brain"
	"hillknot/internal/fields"
	"hillknot/internal/settings"
)

// Config is what a router is told at its start.
type Config struct {
	Name     string
	Listen   string
	Journal  string
	Known    fields.Object // the journal's events of the start
	Settings brain.Settings
	Limits   Limits
}

// Load reads the configuration from a file.
func Load(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	c, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}

// Parse reads the configuration from JSON text.
func Parse(text []byte) (*Config, error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return nil, err
	}
	o := fields.Of(v)
	o.Must("listen", "journal", "settings")
	c := &Config{
		Name: o.Text("name", "hillknot"), Listen: address(o, "listen"), Journal: address(o, "journal"),
		Known: o.Object("known"), Settings: settings.Read(o.Object("settings")),
		Limits: limits(o),
	}
	if err := o.Err(); err != nil {
		return nil, err
	}
	if _, err := brain.New(c.Settings); err != nil {
		return nil, fmt.Errorf("key %q: %w", "settings", err)
	}
	return c, nil
}

// address reads an address with its port. It must be of this machine: the platform's addresses are.
func address(o fields.Object, name string) string {
	s := o.Text(name, "")
	if !o.Has(name) {
		return s
	}
	if _, err := netip.ParseAddrPort(s); err != nil {
		o.Fail(name, "is no address with a port")
	}
	return s
}

// limits fills the limits from what the machine is given, the settings and the defaults.
func limits(o fields.Object) Limits {
	given, allowed := o.Object("limits"), o.Object("settings").Object("allowed")
	const ms = time.Millisecond
	l := Limits{
		MemoryMB: given.Count("memory_mb", 192, 32),
		Sockets:  given.Count("sockets", 1024, 64),

		OpenPerConn: 32,
		Message:     64 << 10,
		Margin:      15 * ms,

		AnswerLine:   1 << 10,
		Object:       256 << 10,
		Connect:      allowed.Span("connectTimeoutUs", time.Microsecond, 400*ms),
		UpstreamIdle: allowed.Span("keepaliveUs", time.Microsecond, 30*time.Second) / 2,

		JournalLine:  1 << 20,
		JournalQuiet: 2 * time.Second,
		JournalRetry: 50 * ms,

		Linger: 700 * ms,
		Finish: 5500 * ms,

		Client:   Conn{Pending: 8 << 20, Read: 5 * time.Second, Write: 5 * time.Second},
		Upstream: Conn{Pending: 1 << 20, Read: 10 * time.Second, Write: 50 * ms},
		Journal:  Conn{Pending: 1 << 16, Read: 2 * time.Second, Write: time.Second},
	}
	l.ClientConns, l.ConnsPerCache, l.CacheConns = l.Sockets/3, l.Sockets/8, l.Sockets*9/16
	// Objects as they come in and go out may take a part of the memory; the rest is left to all else. What an
	// open request holds beside them is small.
	l.HeldBytes = l.MemoryMB << 20 / 3
	l.Open = l.MemoryMB << 20 / (64 << 10)
	return l
}
