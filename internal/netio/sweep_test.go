package netio

import (
	"testing"
	"time"
)

// A new peer that sends nothing is cut off soon, one that has sent a request stays until it is idle, and one that
// sends byte by byte can't hold a message open.
func TestSilentAndSlowPeersTimeOut(t *testing.T) {
	short := testLimits
	short.SilentTimeout, short.MessageTimeout = 50*time.Millisecond, 50*time.Millisecond
	s := serve(t, 100, short, newLines)
	spoke, slow := dial(t, s.Addr().String()), dial(t, s.Addr().String())
	spoke.Write([]byte("hi\n"))
	go func() {
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
			if _, err := slow.Write([]byte("x")); err != nil {
				return
			}
		}
	}()
	expectClosed(t, dial(t, s.Addr().String()))
	expectClosed(t, slow)
	if _, err := spoke.Read(make([]byte, 3)); err != nil {
		t.Errorf("answer: %v", err)
	}
	expectEcho(t, spoke)
}
