package netio

import (
	"testing"
	"time"
)

// A new peer that sends nothing is disconnected after the short silent timeout, a peer that has sent a request stays until
// the idle timeout, and a peer that sends single bytes can't keep a message incomplete forever.
func TestSilentAndSlowPeersTimeOut(t *testing.T) {
	short := testLimits
	short.SilentTimeout, short.MessageTimeout = 50*time.Millisecond, 50*time.Millisecond
	s := serve(t, 100, short, newLineEcho)
	active, slow := dial(t, s.Addr().String()), dial(t, s.Addr().String())
	active.Write([]byte("hi\n"))
	go func() {
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
			if _, err := slow.Write([]byte("x")); err != nil {
				return
			}
		}
	}()
	expectClosed(t, dial(t, s.Addr().String()))
	expectClosed(t, slow)
	if _, err := active.Read(make([]byte, 3)); err != nil {
		t.Errorf("reading the reply: %v", err)
	}
	expectEcho(t, active)
}
