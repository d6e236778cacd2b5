package netio

import "testing"

func TestConnStateTransitions(t *testing.T) {
	for _, c := range []struct {
		from connState
		step closeStep
		want connState
	}{
		{stateOpen, stepAwaitReplies, stateAwaitingReplies},
		{stateOpen, stepFlush, stateFlushing},
		{stateOpen, stepClose, stateClosing},
		{stateAwaitingReplies, stepAwaitReplies, stateAwaitingReplies},
		{stateAwaitingReplies, stepFlush, stateFlushing},
		{stateAwaitingReplies, stepClose, stateAwaitingReplies},
		{stateFlushing, stepAwaitReplies, stateFlushing},
		{stateFlushing, stepFlush, stateFlushing},
		{stateFlushing, stepClose, stateFlushing},
		{stateClosing, stepAwaitReplies, stateAwaitingReplies},
		{stateClosing, stepFlush, stateFlushing},
		{stateClosing, stepClose, stateClosing},
	} {
		if got := c.from.after(c.step); got != c.want {
			t.Errorf("state %d after step %d: %d, want %d", c.from, c.step, got, c.want)
		}
	}
}

// The state acceptStopped is final, and a paused listener accepts again only when it is resumed.
func TestAcceptStateTransitions(t *testing.T) {
	for _, c := range []struct{ from, stopped, paused, resumed acceptState }{
		{accepting, acceptStopped, acceptPaused, accepting},
		{acceptPaused, acceptStopped, acceptPaused, accepting},
		{acceptStopped, acceptStopped, acceptStopped, acceptStopped},
	} {
		if got := c.from.stopped(); got != c.stopped {
			t.Errorf("state %d stopped: %d, want %d", c.from, got, c.stopped)
		}
		if got := c.from.paused(); got != c.paused {
			t.Errorf("state %d paused: %d, want %d", c.from, got, c.paused)
		}
		if got := c.from.resumed(); got != c.resumed {
			t.Errorf("state %d resumed: %d, want %d", c.from, got, c.resumed)
		}
	}
}

// Close waits until Serve has returned, also if it is called while Serve is just starting.
func TestCloseWaitsForServe(t *testing.T) {
	for range 200 {
		s, err := Listen("127.0.0.1:0", 10, testLimits, NewBudget(1<<20), newEcho)
		if err != nil {
			t.Fatal(err)
		}
		served := make(chan error, 1)
		go func() { served <- s.Serve() }()
		s.Close()
		if err := <-served; err != nil {
			t.Fatalf("serve: %v", err)
		}
	}
}
