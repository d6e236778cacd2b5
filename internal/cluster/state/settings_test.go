package state

import (
	"math"
	"strings"
	"testing"
	"time"
)

func TestCheckNamesTheSetting(t *testing.T) {
	if err := Defaults("a", 1, 3).Check(); err != nil {
		t.Errorf("defaults: %v", err)
	}
	for name, c := range map[string]struct {
		change func(*Settings)
		want   string
	}{
		"no name":            {func(s *Settings) { s.Self = "" }, "setting Self"},
		"long name":          {func(s *Settings) { s.Self = strings.Repeat("a", maxNameBytes+1) }, "setting Self"},
		"no routers":         {func(s *Settings) { s.ClusterSize = 0 }, "setting ClusterSize"},
		"too many routers":   {func(s *Settings) { s.ClusterSize = MaxClusterSize + 1 }, "setting ClusterSize"},
		"short tick":         {func(s *Settings) { s.TickInterval = time.Millisecond }, "setting TickInterval"},
		"short lease":        {func(s *Settings) { s.LeaseDuration = 3 * s.TickInterval }, "setting TickInterval"},
		"long lease":         {func(s *Settings) { s.LeaseDuration = time.Minute + 1 }, "setting TickInterval"},
		"short ejection":     {func(s *Settings) { s.EjectionDuration = s.TickInterval }, "setting EjectionDuration"},
		"drift not a number": {func(s *Settings) { s.ClockDrift = math.NaN() }, "setting ClockDrift"},
		"quorum of one":      {func(s *Settings) { s.Quorum = 1 }, "setting Quorum"},
		"quorum over size":   {func(s *Settings) { s.Quorum = 4 }, "setting Quorum"},
	} {
		t.Run(name, func(t *testing.T) {
			settings := Defaults("a", 1, 3)
			c.change(&settings)
			if err := settings.Check(); err == nil || !strings.HasPrefix(err.Error(), c.want) {
				t.Errorf("got error %v, want one that begins with %q", err, c.want)
			}
			if _, err := New(settings); err == nil {
				t.Error("New accepts settings that Check rejects")
			}
		})
	}
}
