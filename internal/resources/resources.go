// Package resources reads what this process uses of its machine.
package resources

import (
	"os"
	"runtime"
	"runtime/metrics"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// Usage holds what the process uses. A value that the system does not report is 0.
type Usage struct {
	ResidentBytes int64 // memory in use, of all kinds
	PeakBytes     int64 // the largest ResidentBytes since the start of the process
	HeapBytes     int64 // Go objects that are live or not collected yet
	Goroutines    int
	Descriptors   int // open file descriptors
}

// The files of the system that describe this process, and the metric of the Go runtime for HeapBytes.
const (
	memoryFile       = "/proc/self/statm"
	descriptorFolder = "/proc/self/fd"
	heapMetric       = "/memory/classes/heap/objects:bytes"
)

// Read returns the present usage.
func Read() Usage {
	return Usage{
		ResidentBytes: residentBytes(),
		PeakBytes:     peakBytes(),
		HeapBytes:     heapBytes(),
		Goroutines:    runtime.NumGoroutine(),
		Descriptors:   descriptors(),
	}
}

func residentBytes() int64 {
	text, err := os.ReadFile(memoryFile)
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text)) // the second is the number of resident pages, see proc(5)
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}

func peakBytes() int64 {
	var usage unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return usage.Maxrss << 10 // the system counts in kilobytes
}

func heapBytes() int64 {
	sample := []metrics.Sample{{Name: heapMetric}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return int64(sample[0].Value.Uint64())
}

// descriptors counts the open descriptors, except the one that it opens itself.
func descriptors() int {
	folder, err := os.Open(descriptorFolder)
	if err != nil {
		return 0
	}
	defer folder.Close()
	names, err := folder.Readdirnames(-1)
	if err != nil {
		return 0
	}
	return len(names) - 1
}
