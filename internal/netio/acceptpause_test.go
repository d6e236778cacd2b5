package netio

import (
	"net"
	"syscall"
	"testing"
	"time"
)

// failingServer returns a server whose accept fails with errno until succeed is called. The caller calls Serve.
func failingServer(t *testing.T, errno syscall.Errno) (s *Server, succeed func()) {
	t.Helper()
	s, err := Listen("127.0.0.1:0", 100, testLimits, NewBudget(1<<20), newEcho)
	if err != nil {
		t.Fatal(err)
	}
	end := make(chan struct{})
	s.listener.accept = func(fd int) (int, syscall.Sockaddr, error) {
		select {
		case <-end:
			return acceptSocket(fd)
		default:
			return -1, nil, errno
		}
	}
	return s, func() { close(end) }
}

// A server that closes at any moment while its listener is paused does not affect the next listener of the process, which
// gets the same descriptor. That listener accepts connections whether it starts serving before or after the pause would have
// ended. Earlier, the pause continued after the close, and removed the other listener from the poller or took its connections.
func TestCloseWhilePausedLeavesOtherListenersAlone(t *testing.T) {
	const moments, step = 24, 3 * time.Millisecond
	var others []*Server
	for moment := range moments {
		paused, _ := failingServer(t, syscall.EMFILE)
		served := make(chan error, 1)
		go func() { served <- paused.Serve() }()
		dial(t, paused.Addr().String())
		time.Sleep(time.Duration(moment) * step)
		paused.Close()
		if err := <-served; err != nil {
			t.Errorf("moment %d: serve: %v", moment, err)
		}
		other, err := Listen("127.0.0.1:0", 100, testLimits, NewBudget(1<<20), newEcho)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(other.Close)
		if moment%2 == 0 {
			time.Sleep(2 * maxPause) // the pause would have ended before the other listener serves
		}
		go other.Serve()
		exchange(t, other.Addr().String())
		others = append(others, other)
	}
	time.Sleep(2 * maxPause) // all pauses would have ended
	for moment, other := range others {
		nc, err := net.DialTimeout("tcp", other.Addr().String(), time.Second)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		nc.SetDeadline(time.Now().Add(5 * time.Second))
		if _, err := nc.Write([]byte("hi\n")); err != nil {
			t.Fatal(err)
		}
		if _, err := nc.Read(make([]byte, 3)); err != nil {
			t.Errorf("the listener after moment %d accepts no connections: %v", moment, err)
		}
	}
}

// Open connections are served without delay during each pause, not only during the first one. Earlier, from the second
// pause on, the poller itself waited until the pause was over.
func TestConsecutivePausesDoNotBlockPoller(t *testing.T) {
	const pauses, span, minExchanges = 3, 300 * time.Millisecond, 15
	s, err := Listen("127.0.0.1:0", 100, testLimits, NewBudget(1<<20), newEcho)
	if err != nil {
		t.Fatal(err)
	}
	failing := make(chan bool, 1) // holds a value while accept fails
	s.listener.accept = func(fd int) (int, syscall.Sockaddr, error) {
		select {
		case v := <-failing:
			failing <- v
			return -1, nil, syscall.EIO
		default:
			return acceptSocket(fd)
		}
	}
	go s.Serve()
	t.Cleanup(s.Close)
	open := dial(t, s.Addr().String())
	expectEcho(t, open)
	for pause := range pauses {
		failing <- true
		waiting := dial(t, s.Addr().String())
		exchanges := 0
		for end := time.Now().Add(span); time.Now().Before(end); exchanges++ {
			expectEcho(t, open)
		}
		<-failing
		expectEcho(t, waiting)
		if exchanges < minExchanges {
			t.Errorf("pause %d: %d exchanges on an open connection in %v, want at least %d", pause, exchanges, span, minExchanges)
		}
	}
}

// A server that stops accepting after a pause does not make the poller spin while connections wait for another process on
// the same socket.
func TestStopAfterPauseLeavesThePollerIdle(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	s, err := ListenInherited(dup(t, ln), 100, testLimits, NewBudget(1<<20), newEcho)
	if err != nil {
		t.Fatal(err)
	}
	calls := failAcceptFor(s, syscall.ENOBUFS, 50*time.Millisecond)
	go s.Serve()
	t.Cleanup(s.Close)
	expectEcho(t, dial(t, ln.Addr().String()))
	if calls.Load() < 2 {
		t.Fatal("accept was not paused")
	}
	s.StopAccepting()
	dial(t, ln.Addr().String()) // stays in the queue of the socket
	time.Sleep(50 * time.Millisecond)
	const span = 300 * time.Millisecond
	before := cpuTime(t)
	time.Sleep(span)
	if used := cpuTime(t) - before; used > span/3 {
		t.Errorf("used %v of CPU time in %v without any work", used, span)
	}
}

// cpuTime returns the CPU time that this process has used, in user and system mode together.
func cpuTime(t *testing.T) time.Duration {
	t.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		t.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
