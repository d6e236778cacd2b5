package credit

import (
	"errors"
	"slices"
	"testing"
	"time"
)

// Callbacks are called in order once the records that they wait for are durable: after a failed write, once the next
// write has succeeded.
func TestWriteQueueCallsBackWhenDurable(t *testing.T) {
	var called []string
	note := func(name string) durableCallback { return func(time.Duration) { called = append(called, name) } }
	expect := func(step string, want ...string) {
		t.Helper()
		if !slices.Equal(called, want) {
			t.Errorf("%s: called %q, want %q", step, called, want)
		}
	}
	queue := writeQueue{changed: map[string]struct{}{}}

	queue.whenDurable(note("nothing to write"))
	expect("nothing has changed", "nothing to write")

	queue.markChanged(note("first"), "b", "a")
	if keys := queue.begin(); !slices.Equal(keys, []string{"a", "b"}) {
		t.Fatalf("first group %q", keys)
	}
	queue.whenDurable(note("during the first"))
	queue.markChanged(note("second"), "c")
	if keys := queue.begin(); keys != nil {
		t.Fatalf("group %q while another is being written", keys)
	}

	diskFull := errors.New("disk full")
	queue.fail([]Record{{Key: "a"}, {Key: "b"}}, diskFull)
	expect("after a failure", "nothing to write")
	if !errors.Is(queue.err, diskFull) || !errors.As(queue.err, new(LedgerWriteError)) {
		t.Errorf("error %v", queue.err)
	}

	if keys := queue.begin(); !slices.Equal(keys, []string{"a", "b", "c"}) {
		t.Fatalf("group after a failure %q", keys)
	}
	queue.succeed(0)
	expect("after a success", "nothing to write", "first", "during the first", "second")
	if queue.err != nil {
		t.Errorf("error %v after a success", queue.err)
	}
}
