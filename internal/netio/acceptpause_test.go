package netio

import (
	"net"
	"syscall"
	"testing"
	"time"
)

// failingServer starts a server whose accept fails until the returned function is called.
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

// A server that closes while its accept is paused, at whatever moment, leaves the next listener of the process alone, which
// gets the same descriptor: it takes connections, whether it served before the pause would have been over or after. The pause
// once went on behind the close, and took the other listener off the poller or its connections away.
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
			time.Sleep(2 * maxPause) // the pause would have ended before it serves
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
			t.Errorf("the listener after moment %d takes no connections: %v", moment, err)
		}
	}
}

// Open connections are served at once through each pause, and not only through the first. From the second one on the poller
// itself once waited until the pause was over.
func TestSecondPauseDoesNotHoldUpThePoller(t *testing.T) {
	const pauses, span, least = 3, 300 * time.Millisecond, 15
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
		if exchanges < least {
			t.Errorf("pause %d: %d exchanges on an open connection in %v, want at least %d", pause, exchanges, span, least)
		}
	}
}

// A server that stops accepting after a pause does not turn the poller while connections wait for another process on the same
// socket.
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
	dial(t, ln.Addr().String()) // nobody takes it
	time.Sleep(50 * time.Millisecond)
	const span = 300 * time.Millisecond
	before := cpuTime(t)
	time.Sleep(span)
	if used := cpuTime(t) - before; used > span/3 {
		t.Errorf("%v of processor time in %v with nothing to do", used, span)
	}
}

// cpuTime returns what this process has used.
func cpuTime(t *testing.T) time.Duration {
	t.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		t.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
