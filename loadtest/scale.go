package loadtest

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// The measure of one router beside many page caches: its own traffic stays the same while the list grows. What it may grow
// by over the usual size is the operators' bound; each day of each size is held against that.

// ScaleSettings set up the measure.
type ScaleSettings struct {
	Router string        // the program
	Sizes  []int         // page caches on the list; the first is the usual size
	Days   []string      // of ScaleDays
	Length time.Duration // of a day
	Rate   float64       // requests a second
	Seeds  []uint64
}

// ScaleDays are the days that can be measured.
var ScaleDays = []string{"calm", "release", "outage", "relist"}

// scaleUse is what a router used on one day.
type scaleUse struct {
	cpu         time.Duration // of the process, user and system
	memoryMB    float64       // resident, at its peak
	descriptors int           // at most
	connections int64         // made to page caches
	listBytes   int64         // from the journal
	served      float64       // share of the requests
	broken      int           // requests without one final answer
}

// bound is what a router may use on a day with so many page caches, given what it uses at the usual size.
func (u scaleUse) bound(caches int) scaleUse {
	thousands := float64(caches) / 1000
	return scaleUse{
		cpu:         time.Duration(1.4*float64(u.cpu)) + 20*time.Millisecond + time.Duration(thousands*float64(30*time.Millisecond)),
		memoryMB:    1.5*u.memoryMB + 8 + 4*thousands,
		descriptors: 2*u.descriptors + 40,
		connections: int64(2.5*float64(u.connections)) + 40,
		listBytes:   2*u.listBytes + 64_000 + int64(500_000*thousands),
		served:      0.85 * u.served,
	}
}

// over names what is over a bound.
func (u scaleUse) over(bound scaleUse) (names []string) {
	for _, c := range []struct {
		name string
		over bool
	}{
		{"CPU", u.cpu > bound.cpu}, {"memory", u.memoryMB > bound.memoryMB}, {"descriptors", u.descriptors > bound.descriptors},
		{"connections", u.connections > bound.connections}, {"list bytes", u.listBytes > bound.listBytes},
		{"served", u.served < bound.served}, {"answers", u.broken > 0},
	} {
		if c.over {
			names = append(names, c.name)
		}
	}
	return names
}

// Scale measures and prints a table. An error says that a bound was passed, or that a day could not be played.
func MeasureScale(set ScaleSettings, out io.Writer) error {
	fmt.Fprintln(out, "| day | seed | page caches | CPU s | memory MB | descriptors | connections | list KB | served | over |")
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	failed := 0
	for _, day := range set.Days {
		for _, seed := range set.Seeds {
			var usual scaleUse
			for i, size := range set.Sizes {
				use, err := scaleDay(set, day, size, seed)
				if err != nil {
					return fmt.Errorf("%s with %d page caches: %w", day, size, err)
				}
				if i == 0 {
					usual = use
				}
				bound := usual.bound(size)
				if day == "relist" { // the bound is for a journal that tells changes
					bound.listBytes = max(bound.listBytes, use.listBytes)
				}
				over := use.over(bound)
				failed += len(over)
				fmt.Fprintf(out, "| %s | %d | %d | %.2f (%.2f) | %.1f (%.1f) | %d (%d) | %d (%d) | %d (%d) | %.3f (%.3f) | %s |\n", day, seed, size,
					use.cpu.Seconds(), bound.cpu.Seconds(), use.memoryMB, bound.memoryMB, use.descriptors, bound.descriptors, use.connections,
					bound.connections, use.listBytes/1000, bound.listBytes/1000, use.served, bound.served, strings.Join(over, ", "))
			}
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d figures are over their bounds", failed)
	}
	return nil
}

// scaleFleet is one router with its page caches, on one day.
type scaleFleet struct {
	*Fleet
	size int
	next int // number of the next page cache that is made
}

// startScale starts the router and its page caches.
func startScale(set ScaleSettings, size int) (*scaleFleet, error) {
	s := &scaleFleet{size: size, next: size}
	var err error
	s.Fleet, err = StartFleet(set.Router, Setup{Routers: 1, Caches: size, KnownRouters: 1, OverloadFactor: 4})
	return s, err
}

// scaleDay plays one day, and returns what the router used over it, its start included.
func scaleDay(set ScaleSettings, day string, size int, seed uint64) (use scaleUse, err error) {
	s, err := startScale(set, size)
	if err != nil {
		return use, err
	}
	defer s.Close()
	if err := s.play(set, day, seed, &use); err != nil {
		return use, err
	}
	use.connections, use.listBytes = s.accepted(), s.journal.BytesSent()
	return use, nil
}

// play sends the day's requests while its events happen.
func (s *scaleFleet) play(set ScaleSettings, day string, seed uint64, use *scaleUse) error {
	router := s.Routers[0]
	watch := watchProcess(router.cmd.Process.Pid)
	load := NewLoad(router.ListenAddress, set.Rate, seed)
	err := s.happen(day, set.Length)
	load.Stop()
	if watchErr := watch.end(use); err == nil {
		err = watchErr
	}
	load.mu.Lock()
	defer load.mu.Unlock()
	use.served = float64(load.Served) / float64(max(load.Sent, 1))
	use.broken = load.AnsweredTwice + load.Unanswered + load.Disconnected
	return err
}

// happen has the events of a day come to pass, and takes as long as the day.
func (s *scaleFleet) happen(day string, length time.Duration) error {
	end := time.Now().Add(length)
	var err error
	switch day {
	case "calm":
	case "release":
		s.release(length / 2)
	case "outage":
		time.Sleep(length / 6)
		s.journal.StartOutage(length / 2)
		s.release(length / 4) // told as it comes back
	case "relist":
		s.journal.SendSnapshots(func() string { return s.list() })
		for range 5 {
			time.Sleep(length / 8)
			s.journal.CloseStreams()
		}
	default:
		err = fmt.Errorf("no day %q", day)
	}
	time.Sleep(time.Until(end))
	return err
}

// release replaces six in ten page caches within a span, by an event each: one drains, it is gone, a new one is there.
func (s *scaleFleet) release(span time.Duration) {
	replaced := s.size * 6 / 10
	begun := time.Now()
	for i := range replaced {
		old := fmt.Sprintf("s-%d", i+1)
		addr := s.caches[i].Addr()
		s.tellHost(old, addr, "draining", 0)
		s.tellHost(old, addr, "gone", 0)
		s.next++
		s.tellHost(fmt.Sprintf("n-%d", s.next), addr, "ready", time.Now().UnixMilli())
		time.Sleep(time.Until(begun.Add(span * time.Duration(i+1) / time.Duration(replaced))))
	}
}

func scaleHost(id, addr, state string, startedAtMs int64) map[string]any {
	return map[string]any{"instanceId": id, "hostPort": addr, "zone": "edge", "machineType": "small", "lifecycle": state, "weight": 1,
		"startedAtMs": startedAtMs}
}

func (s *scaleFleet) tellHost(id, addr, state string, startedAtMs int64) {
	text, err := json.Marshal(scaleHost(id, addr, state, startedAtMs))
	if err != nil {
		panic(err) // texts and numbers can be written
	}
	s.Publish(`"hosts":{"generation":1,"reset":false,"instances":[%s]}`, text)
}

// list is an event with the whole list, as a journal tells it that keeps no changes.
func (s *scaleFleet) list() string {
	var hosts []map[string]any
	for i := range s.size {
		hosts = append(hosts, scaleHost(fmt.Sprintf("s-%d", i+1), s.caches[i].Addr(), "ready", 0))
	}
	origin := scaleHost(fmt.Sprintf("s-%d", s.size+1), s.caches[s.size].Addr(), "ready", 0)
	origin["zone"], origin["machineType"] = "hub", "origin"
	text, err := json.Marshal(append(hosts, origin))
	if err != nil {
		panic(err) // as above
	}
	return fmt.Sprintf(`"hosts":{"generation":2,"reset":true,"instances":%s}`, text)
}

// accepted is how many connections were made to page caches.
func (s *scaleFleet) accepted() (n int64) {
	for _, c := range s.caches {
		n += c.Accepted()
	}
	return n
}

// processWatch samples what a process uses.
type processWatch struct {
	dir         string
	stop        chan struct{}
	done        chan struct{}
	descriptors int
	cpu         time.Duration
	memoryKB    int64
}

const sampleEvery = 20 * time.Millisecond

func watchProcess(pid int) *processWatch {
	w := &processWatch{dir: filepath.Join("/proc", strconv.Itoa(pid)), stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for {
			w.sample()
			select {
			case <-w.stop:
				return
			case <-time.After(sampleEvery):
			}
		}
	}()
	return w
}

// sample reads what the process uses by now; what can't be read, of a process that has ended, stays as it was.
func (w *processWatch) sample() {
	if open, err := os.ReadDir(filepath.Join(w.dir, "fd")); err == nil {
		w.descriptors = max(w.descriptors, len(open))
	}
	if text, err := os.ReadFile(filepath.Join(w.dir, "stat")); err == nil {
		if _, rest, ok := strings.Cut(string(text), ") "); ok {
			w.cpu = max(w.cpu, statCPU(strings.Fields(rest)))
		}
	}
	if text, err := os.ReadFile(filepath.Join(w.dir, "status")); err == nil {
		for line := range strings.Lines(string(text)) {
			if peak, ok := strings.CutPrefix(line, "VmHWM:"); ok {
				w.memoryKB = max(w.memoryKB, kilobytes(peak))
			}
		}
	}
}

// statCPU reads the user and system time from the fields of /proc/PID/stat behind the name, in ticks of 10 ms.
func statCPU(fields []string) time.Duration {
	const user, system, tick = 11, 12, 10 * time.Millisecond
	if len(fields) <= system {
		return 0
	}
	u, uErr := strconv.ParseInt(fields[user], 10, 64)
	s, sErr := strconv.ParseInt(fields[system], 10, 64)
	if uErr != nil || sErr != nil {
		return 0
	}
	return time.Duration(u+s) * tick
}

func kilobytes(text string) int64 {
	n, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(text), " kB"), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// end takes the last sample.
func (w *processWatch) end(use *scaleUse) error {
	close(w.stop)
	<-w.done
	w.sample()
	if w.cpu == 0 || w.memoryKB == 0 {
		return fmt.Errorf("%s can't be read", w.dir)
	}
	use.cpu, use.memoryMB, use.descriptors = w.cpu, float64(w.memoryKB)/1024, w.descriptors
	return nil
}
