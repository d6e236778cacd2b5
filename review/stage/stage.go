package main

import (
	"fmt"
	"net"
	"os"
	"runtime"
	"strings"
	"sync"
	"time"
)

// stage holds what all cases share: the record, a folder for files, and the processes to end.
type stage struct {
	dir     string // of files of the routers; removed at the end
	trouble string // value of TROUBLE: "0" means no disruption

	mu      sync.Mutex
	record  *os.File
	started time.Time
	routers []*process
	closed  bool // no process is started any more

	starts chan func() // run by one thread, which lasts as long as this program
}

func newStage(recordPath string) (*stage, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	s := &stage{trouble: os.Getenv("TROUBLE"), record: record, started: time.Now(), starts: make(chan func())}
	s.note("TROUBLE=%q", s.trouble)
	if s.dir, err = os.MkdirTemp("", "review"); err != nil {
		s.note("exit status 2: %v", err)
		return nil, err
	}
	go func() {
		runtime.LockOSThread()
		for start := range s.starts {
			start()
		}
	}()
	return s, nil
}

// calm reports whether the disruption is left out.
func (s *stage) calm() bool { return s.trouble == "0" }

// note writes a line to the record.
func (s *stage) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	line := fmt.Sprintf("%7.3f %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, args...))
	_, _ = s.record.WriteString(line)
	_, _ = os.Stdout.WriteString(line)
}

// close ends all processes, adds what they logged to the record and removes the files.
func (s *stage) close() {
	s.mu.Lock()
	s.closed = true
	routers := s.routers
	s.mu.Unlock()
	for _, p := range routers {
		p.kill()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range routers {
		s.addLog(p)
	}
	_ = s.record.Close()
	_ = os.RemoveAll(s.dir)
}

// addLog adds the lines of a process's log that tell of its orders and of faults to the record.
func (s *stage) addLog(p *process) {
	log, err := os.ReadFile(p.logPath)
	if err != nil {
		return
	}
	fmt.Fprintf(s.record, "\nlog of %s:\n", p.label)
	for line := range strings.Lines(strings.ReplaceAll(string(log), s.dir, "DIR")) {
		if strings.Contains(line, "order step") || !strings.Contains(line, "level=DEBUG") {
			_, _ = s.record.WriteString(line)
		}
	}
}

// lastPort is the latest port that freeAddress has tried. Systems give outgoing connections higher ones.
var lastPort = 10000

// freeAddress returns a loopback address with a port that is free for TCP and UDP, each once. The address depends on the number of this
// process, so that no two cases, and no connection of another one, take the port before it is used.
func freeAddress() (string, error) {
	pid := os.Getpid()
	for range 50 {
		lastPort++
		address := fmt.Sprintf("127.%d.%d.%d:%d", 64+pid>>16&63, pid>>8&255, max(pid&255, 1), lastPort)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		packets, err := net.ListenPacket("udp", address)
		_ = listener.Close()
		if err == nil {
			return address, packets.Close()
		}
	}
	return "", fmt.Errorf("no free port")
}

// freeAddresses returns several free addresses.
func freeAddresses(count int) (addresses []string, err error) {
	for range count {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// waitFor waits until a condition holds, and returns an error that names it if that takes too long.
func waitFor(what string, limit time.Duration, holds func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("waited for %v in vain: %s", limit, what)
}
