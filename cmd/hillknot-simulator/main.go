// Command hillknot-simulator hosts instances of the decision module on the operators' drill: batches of events
// on standard input, one reply for each on standard output.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"time"

	"hillknot/balancer"
	"hillknot/internal/simulator"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "hillknot-simulator:", err)
		os.Exit(1)
	}
}

// run answers batches until the input ends. A reply is written only once its batch is whole.
func run(in io.Reader, out io.Writer) error {
	r, w := simulator.NewReader(in), bufio.NewWriterSize(out, 1<<16)
	instances := map[string]*balancer.Balancer{}
	var reply []byte
	for {
		batch, err := r.ReadBatch()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		reply = reply[:0]
		for _, ev := range batch.Events {
			switch {
			case ev.Halt:
				delete(instances, ev.Instance)
			case ev.Create != nil:
				b, err := balancer.New(*ev.Create)
				if err != nil {
					return fmt.Errorf("line %d: settings of %s: %w", ev.Line, ev.Instance, err)
				}
				instances[ev.Instance] = b
			case ev.Event != nil:
				b := instances[ev.Instance]
				if b == nil {
					return fmt.Errorf("line %d: event for %s, which was not created", ev.Line, ev.Instance)
				}
				reply = handle(reply, b, ev, batch.Now)
			}
		}
		if _, err := w.Write(simulator.AppendDone(reply)); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
	}
}

// handle passes one event to its instance; a panic there becomes the wire's exception.
func handle(reply []byte, b *balancer.Balancer, ev simulator.Event, now time.Duration) (out []byte) {
	defer func() {
		if p := recover(); p != nil {
			out = simulator.AppendException(reply, ev.Instance, fmt.Sprint(p))
		}
	}()
	out = reply
	for _, a := range b.Handle(now, ev.Event) {
		out = simulator.AppendAction(out, ev.Instance, a)
	}
	return out
}
