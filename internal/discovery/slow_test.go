package discovery

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"hillknot/internal/config"
	"hillknot/internal/jsonfields"
	"hillknot/internal/netio"
)

// slowService is a discovery service whose every step can be delayed. The test says what each call gets, in their order.
type slowService struct {
	t        *testing.T
	address  string
	listener net.Listener
	answer   func(call int, conn net.Conn) // plays a call once its request is read; the connection stays open

	mu     sync.Mutex
	called []time.Time // when the connection of each call was accepted
}

func newSlowService(t *testing.T, answer func(call int, conn net.Conn)) *slowService {
	t.Helper()
	ln := listen(t)
	s := &slowService{t: t, address: ln.Addr().String(), listener: ln, answer: answer}
	go s.accept()
	return s
}

func (s *slowService) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.t.Cleanup(func() { _ = conn.Close() })
		s.mu.Lock()
		s.called = append(s.called, time.Now())
		number := len(s.called)
		s.mu.Unlock()
		go func() {
			if readRequest(conn) == nil {
				s.answer(number, conn)
			}
		}()
	}
}

// calls returns when each call was accepted.
func (s *slowService) calls() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.called...)
}

const purgeOfGroup1 = ": here\n\nid: 1\ndata: {\"pos\":1,\"expire\":{\"set\":1,\"stamp\":5}}\n\n"

// testSilence is the silence of the service after which a watcher makes another call in these tests.
const testSilence = 100 * time.Millisecond

// slowLimits returns limits with testSilence.
func slowLimits() config.Limits {
	limits := testLimits(time.Millisecond)
	limits.DiscoverySilence = testSilence
	limits.ConnectTimeout = testSilence / 2
	return limits
}

// write sends text on a connection, which may be closed.
func write(conn net.Conn, text string) { _, _ = conn.Write([]byte(text)) }

// A service that takes longer to answer any call than a stream may be silent was never heard: each call was given up before its
// answer, and begun anew without end.
func TestServiceThatIsSlowToAnswerIsHeard(t *testing.T) {
	for name, answer := range map[string]func(conn net.Conn){
		"1.25 times the silence": func(conn net.Conn) {
			time.Sleep(testSilence * 5 / 4)
			write(conn, responseHeader+"\r\n"+purgeOfGroup1)
		},
		"15 times the silence": func(conn net.Conn) {
			time.Sleep(15 * testSilence)
			write(conn, responseHeader+"\r\n"+purgeOfGroup1)
		},
		"headers at once, the stream late": func(conn net.Conn) {
			write(conn, responseHeader+"\r\n")
			time.Sleep(3 * testSilence)
			write(conn, purgeOfGroup1)
		},
		"the first line in pieces": func(conn net.Conn) {
			for _, piece := range []string{"HTTP/1.1 200 ", "OK\r\n", "\r\n: he", "re\n\n" + purgeOfGroup1} {
				time.Sleep(testSilence * 5 / 4)
				write(conn, piece)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			service := newSlowService(t, func(_ int, conn net.Conn) { answer(conn) })
			handler := newRecorder()
			startWatcher(t, handler, service.address, slowLimits(), jsonfields.Object{})
			expect(t, handler.events, "true 0 1")
		})
	}
}

// A service that never answers one call, whichever that is, is called again as soon as a silent stream is, and heard by the next
// call although it is slow to answer: waiting longer for each answer must not take the place of calling again.
func TestUnansweredCallIsRepeatedInTime(t *testing.T) {
	const delay = testSilence * 5 / 4
	for name, unanswered := range map[string]int{"the first call": 1, "the first three": 3} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			service := newSlowService(t, func(call int, conn net.Conn) {
				if call > unanswered {
					time.Sleep(delay)
					write(conn, responseHeader+"\r\n"+purgeOfGroup1)
				}
			})
			handler := newRecorder()
			started := time.Now()
			w := startWatcher(t, handler, unreachable(t), slowLimits(), jsonfields.Object{})
			w.SetAddress(service.address)
			expect(t, handler.events, "true 0 1")
			// The pause between two calls is 1 ms in these limits. Each call may be late by less than another silence.
			if elapsed, most := time.Since(started), time.Duration(unanswered+1)*testSilence+delay; elapsed > most {
				t.Errorf("heard after %v, want %v at most", elapsed, most)
			}
		})
	}
}

// unreachable returns an address at which nothing listens.
func unreachable(t *testing.T) string {
	t.Helper()
	ln := listen(t)
	_ = ln.Close()
	return ln.Addr().String()
}

// A stream that falls silent is left after limits.DiscoverySilence, also if the next calls are answered late, and what the service
// published meanwhile is delivered.
func TestSilentStreamOfSlowServiceIsReplaced(t *testing.T) {
	service := newSlowService(t, func(call int, conn net.Conn) {
		if call == 1 {
			write(conn, responseHeader+"\r\n"+purgeOfGroup1)
			return // the stream stays open and silent
		}
		time.Sleep(3 * testSilence)
		write(conn, responseHeader+"\r\n: here\n\nid: 2\ndata: {\"pos\":2,\"expire\":{\"set\":2,\"stamp\":5}}\n\n")
	})
	handler := newRecorder()
	startWatcher(t, handler, service.address, slowLimits(), jsonfields.Object{})
	expect(t, handler.events, "true 0 1")
	expect(t, handler.events, "true 0 2")
	if calls := service.calls(); calls[1].Sub(calls[0]) < testSilence || calls[1].Sub(calls[0]) > 3*testSilence/2 {
		t.Errorf("the second call came %v after the first, want %v", calls[1].Sub(calls[0]), testSilence)
	}
}

// slowHandler is a recorder that takes long to accept the first event.
type slowHandler struct {
	*recorder
	delay time.Duration
	once  sync.Once
}

func (h *slowHandler) PostWatchEvent(f func()) {
	h.once.Do(func() { time.Sleep(h.delay) })
	f()
}

// A stream was given up as silent when its bytes had left the socket but were still being parsed: after a stop of the process, that
// depended on whether the timer of the silence or the reader of the socket came first.
func TestStreamWhoseBytesAreBeingParsedIsNotSilent(t *testing.T) {
	t.Parallel()
	const silence = time.Second // long enough for a busy machine to send comments in time
	limits := slowLimits()
	limits.DiscoverySilence = silence
	service := newSlowService(t, func(_ int, conn net.Conn) {
		write(conn, responseHeader+"\r\n: here\n\n")
		time.Sleep(silence / 2)
		write(conn, purgeOfGroup1)
		time.Sleep(silence) // so that no bytes wait in the socket while the purge is being parsed
		for err := error(nil); err == nil; _, err = conn.Write([]byte(": here\n\n")) {
			time.Sleep(silence / 10)
		}
	})
	handler := &slowHandler{recorder: newRecorder(), delay: silence}
	startWatcher(t, handler, service.address, limits, jsonfields.Object{})
	expect(t, handler.events, "true 0 1")
	time.Sleep(silence / 2)
	if calls := len(service.calls()); calls != 1 {
		t.Errorf("the service was called %d times, want once", calls)
	}
}

// A service whose connections come up later than limits.ConnectTimeout was never heard: each connection was given up before.
func TestServiceWhoseConnectionsComeUpLateIsHeard(t *testing.T) {
	for name, delay := range map[string]time.Duration{"twice the timeout": testSilence, "20 times the timeout": 10 * testSilence} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			service := newSlowService(t, func(_ int, conn net.Conn) { write(conn, responseHeader+"\r\n"+purgeOfGroup1) })
			handler := newRecorder()
			w, err := New(handler, service.address, slowLimits(), jsonfields.Object{})
			if err != nil {
				t.Fatal(err)
			}
			w.dial = delayedDial(delay)
			runWatcher(t, w)
			expect(t, handler.events, "true 0 1")
		})
	}
}

// delayedDial returns a dialFunc whose connections come up late, unless the caller gives them up before.
func delayedDial(delay time.Duration) dialFunc {
	return func(ctx context.Context, address string, limits config.ConnLimits, budget *netio.Budget,
		newHandler func(*netio.Conn) netio.Handler) (*netio.Conn, error) {
		select {
		case <-time.After(delay):
			return netio.DialContext(ctx, address, limits, budget, newHandler)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// However long a service answers no call, no more than limits.DiscoveryCalls are open, and a call that has waited for
// limits.DiscoveryCallTimeout is given up.
func TestUnansweredCallsAreBounded(t *testing.T) {
	limits := slowLimits()
	limits.DiscoverySilence = 20 * time.Millisecond
	limits.DiscoveryCallTimeout = 15 * limits.DiscoverySilence
	var mu sync.Mutex
	open, most, ended := 0, 0, 0
	service := newSlowService(t, func(_ int, conn net.Conn) {
		mu.Lock()
		open++
		most = max(most, open)
		mu.Unlock()
		_, _ = conn.Read(make([]byte, 1)) // until the watcher closes the connection
		mu.Lock()
		open--
		ended++
		mu.Unlock()
	})
	w := startWatcher(t, newRecorder(), service.address, limits, jsonfields.Object{})
	time.Sleep(2 * limits.DiscoveryCallTimeout)
	calls := len(service.calls())
	w.SetAddress(unreachable(t)) // ends all calls
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		mu.Lock()
		stillOpen, mostOpen, endedCalls := open, most, ended
		mu.Unlock()
		if stillOpen == 0 && endedCalls >= calls {
			// The service notices the end of a call a little later than the watcher opens the next one.
			if mostOpen > limits.DiscoveryCalls+1 || calls < 20 {
				t.Errorf("%d of %d calls were open at once, want %d at most", mostOpen, calls, limits.DiscoveryCalls)
			}
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d calls are still open 20 s after the address has changed", stillOpen)
		}
	}
}
