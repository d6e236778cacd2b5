package loadtest

import (
	"fmt"
	"io"
	"time"
)

// ClientParts are the names of the parts of CompareClients.
var ClientParts = []string{"storms", "restart", "orders", "minute"}

// ClientSettings holds the settings of CompareClients.
type ClientSettings struct {
	Program string // path of the router's program
	Quick   bool   // shortens most times to a fifth
	Only    string // one of ClientParts; empty: all
}

// CompareClients compares the kinds of clients, and writes a table for each part.
func CompareClients(settings ClientSettings, out io.Writer) error {
	c := &clientComparison{program: settings.Program, unit: time.Second, out: out}
	if settings.Quick {
		c.unit /= 5
	}
	parts := map[string]func() error{
		"storms":  c.rejectionStorms,
		"restart": c.reconnects,
		"orders":  c.orders,
		"minute":  c.faultSequence,
	}
	for _, name := range ClientParts {
		if settings.Only != "" && settings.Only != name {
			continue
		}
		if err := parts[name](); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

// clientComparison is a run of CompareClients.
type clientComparison struct {
	program string
	unit    time.Duration // unit of time of most parts
	out     io.Writer
}

func (c *clientComparison) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(c.out, format, args...) // a failure to print does not affect the measurement
}

// units returns the duration of n units of time.
func (c *clientComparison) units(n int) time.Duration { return time.Duration(n) * c.unit }
