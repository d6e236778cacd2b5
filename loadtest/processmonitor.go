package loadtest

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// sampleInterval is the usual time between two samples.
const sampleInterval = 20 * time.Millisecond

// processMonitor samples the resources that a process uses.
type processMonitor struct {
	dir     string // of the process in /proc
	every   time.Duration
	stop    chan struct{}
	sampler sync.WaitGroup

	// Maxima over the samples, used only by the sampler's goroutine until it has ended.
	descriptors int
	cpu         time.Duration
	memoryKB    int64
}

// startProcessMonitor starts to sample a process once in a length of time. The caller ends the monitor with finish.
func startProcessMonitor(pid int, every time.Duration) *processMonitor {
	m := &processMonitor{dir: filepath.Join("/proc", strconv.Itoa(pid)), every: every, stop: make(chan struct{})}
	m.sampler.Go(m.run)
	return m
}

func (m *processMonitor) run() {
	for {
		m.sample()
		select {
		case <-m.stop:
			return
		case <-time.After(m.every):
		}
	}
}

// finish takes the last sample, and returns the CPU time, the peak memory and the maximum of open descriptors.
func (m *processMonitor) finish() (resourceUse, error) {
	close(m.stop)
	m.sampler.Wait()
	m.sample()
	if m.cpu == 0 || m.memoryKB == 0 {
		return resourceUse{}, fmt.Errorf("CPU time or memory can't be read from %s", m.dir)
	}
	return resourceUse{cpu: m.cpu, memoryMB: float64(m.memoryKB) / 1024, descriptors: m.descriptors}, nil
}

// sample reads the present use of resources. A value that can't be read, as after the end of the process, stays unchanged.
func (m *processMonitor) sample() {
	if open, err := os.ReadDir(filepath.Join(m.dir, "fd")); err == nil {
		m.descriptors = max(m.descriptors, len(open))
	}
	if text, err := os.ReadFile(filepath.Join(m.dir, "stat")); err == nil {
		m.cpu = max(m.cpu, parseCPUTime(string(text)))
	}
	if text, err := os.ReadFile(filepath.Join(m.dir, "status")); err == nil {
		m.memoryKB = max(m.memoryKB, parsePeakMemory(string(text)))
	}
}

// parseCPUTime returns the sum of user and system time from the text of /proc/PID/stat, or 0 if it can't be parsed.
func parseCPUTime(stat string) time.Duration {
	const userField, systemField, tick = 11, 12, 10 * time.Millisecond // indexes of the fields after the process name
	_, afterName, _ := strings.Cut(stat, ") ")
	fields := strings.Fields(afterName)
	if len(fields) <= systemField {
		return 0
	}
	user, userErr := strconv.ParseInt(fields[userField], 10, 64)
	system, systemErr := strconv.ParseInt(fields[systemField], 10, 64)
	if userErr != nil || systemErr != nil {
		return 0
	}
	return time.Duration(user+system) * tick
}

// parsePeakMemory returns the peak of the resident memory, in kB, from the text of /proc/PID/status, or 0 if it can't be
// parsed.
func parsePeakMemory(status string) int64 {
	for line := range strings.Lines(status) {
		value, found := strings.CutPrefix(line, "VmHWM:")
		if !found {
			continue
		}
		kilobytes, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
		if err == nil {
			return kilobytes
		}
	}
	return 0
}
