package loadtest

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// ScaleSettings holds the settings of MeasureScale, which measures one router with more and more page caches on its endpoint
// list, while its own traffic stays the same. The resources that it uses at the usual size determine the bounds at the other
// sizes.
type ScaleSettings struct {
	Program string        // path of the router's program
	Sizes   []int         // page caches on the list; the first is the usual size
	Days    []string      // those of ScaleDays to run
	Length  time.Duration // of a day
	Rate    float64       // requests a second
	Seeds   []uint64      // of the requests
}

// MeasureScale measures each day at each size, and writes a table. The error says that a bound was exceeded, or that a day
// could not be run.
func MeasureScale(settings ScaleSettings, out io.Writer) error {
	_, _ = fmt.Fprintln(out,
		"| day | seed | page caches | CPU s | memory MB | descriptors | connections | list KB | served | over |\n"+
			"| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	exceeded := 0
	for _, day := range settings.Days {
		for _, seed := range settings.Seeds {
			count, err := measureSizes(settings, day, seed, out)
			if err != nil {
				return err
			}
			exceeded += count
		}
	}
	if exceeded > 0 {
		return fmt.Errorf("%d figures exceed their bounds", exceeded)
	}
	return nil
}

// measureSizes measures one day at each size, and returns how many figures exceeded their bounds.
func measureSizes(settings ScaleSettings, day string, seed uint64, out io.Writer) (exceeded int, err error) {
	var usual resourceUse
	for i, size := range settings.Sizes {
		use, err := measureDay(settings, day, size, seed)
		if err != nil {
			return exceeded, fmt.Errorf("%s with %d page caches: %w", day, size, err)
		}
		if i == 0 {
			usual = use
		}
		bound := usual.bound(size)
		if day == dayRelist { // the bound applies to a discovery service that sends changes
			bound.listBytes = max(bound.listBytes, use.listBytes)
		}
		exceededNames := use.exceededFigures(bound)
		exceeded += len(exceededNames)
		_, _ = fmt.Fprintf(out, "| %s | %d | %d | %s | %s |\n", day, seed, size, use.cells(bound), strings.Join(exceededNames, ", "))
	}
	return exceeded, nil
}

// resourceUse holds the resources that a router used on one day, and the outcome of its requests.
type resourceUse struct {
	cpu         time.Duration // user and system time of the process
	memoryMB    float64       // resident, at its peak
	descriptors int           // open at a time, at most
	connections int64         // opened to page caches
	listBytes   int64         // sent by the discovery service
	served      float64       // fraction of the requests
	unanswered  int           // requests without exactly one final answer
}

// bound returns the bounds on a router's use on a day with a number of page caches, given its use at the usual size. The
// factors come from the operators.
func (u resourceUse) bound(caches int) resourceUse {
	thousands := float64(caches) / 1000
	return resourceUse{
		cpu:         time.Duration(1.4*float64(u.cpu)) + 20*time.Millisecond + time.Duration(thousands*float64(30*time.Millisecond)),
		memoryMB:    1.5*u.memoryMB + 8 + 4*thousands,
		descriptors: 2*u.descriptors + 40,
		connections: int64(2.5*float64(u.connections)) + 40,
		listBytes:   2*u.listBytes + 64_000 + int64(500_000*thousands),
		served:      0.85 * u.served,
	}
}

// exceededFigures returns the names of the figures that exceed their bounds.
func (u resourceUse) exceededFigures(bound resourceUse) (names []string) {
	for _, figure := range []struct {
		name     string
		exceeded bool
	}{
		{"CPU", u.cpu > bound.cpu},
		{"memory", u.memoryMB > bound.memoryMB},
		{"descriptors", u.descriptors > bound.descriptors},
		{"connections", u.connections > bound.connections},
		{"list bytes", u.listBytes > bound.listBytes},
		{"served", u.served < bound.served},
		{"answers", u.unanswered > 0},
	} {
		if figure.exceeded {
			names = append(names, figure.name)
		}
	}
	return names
}

// cells formats the figures with their bounds as cells of a table.
func (u resourceUse) cells(bound resourceUse) string {
	return fmt.Sprintf("%.2f (%.2f) | %.1f (%.1f) | %d (%d) | %d (%d) | %d (%d) | %.3f (%.3f)", u.cpu.Seconds(), bound.cpu.Seconds(),
		u.memoryMB, bound.memoryMB, u.descriptors, bound.descriptors, u.connections, bound.connections, u.listBytes/1000,
		bound.listBytes/1000, u.served, bound.served)
}
