package loadtest

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// goroutineSampleInterval is the time between two reads of a router's metrics.
const goroutineSampleInterval = 200 * time.Millisecond

// goroutineMonitor samples the number of goroutines that a router exports.
type goroutineMonitor struct {
	router  *Router
	every   time.Duration
	stopped chan struct{}
	sampler sync.WaitGroup
	most    int // used only by the sampler's goroutine until it has ended
}

// startGoroutineMonitor starts to sample once in a length of time. The caller ends the monitor with stop.
func startGoroutineMonitor(r *Router, every time.Duration) *goroutineMonitor {
	m := &goroutineMonitor{router: r, every: every, stopped: make(chan struct{})}
	m.sampler.Go(m.run)
	return m
}

func (m *goroutineMonitor) run() {
	for {
		m.most = max(m.most, parseMetric(m.router.metrics(), "app_process_goroutines"))
		select {
		case <-m.stopped:
			return
		case <-time.After(m.every):
		}
	}
}

// stop ends the monitor, and returns the largest number of goroutines that it saw; 0: the router never answered.
func (m *goroutineMonitor) stop() int {
	close(m.stopped)
	m.sampler.Wait()
	return m.most
}

// parseMetric returns the value of a metric without labels, or 0 if the text does not have it.
func parseMetric(text, name string) (value int) {
	for line := range strings.Lines(text) {
		if rest, found := strings.CutPrefix(line, name+" "); found {
			_, _ = fmt.Sscan(rest, &value) // a malformed value is read as 0
		}
	}
	return value
}
