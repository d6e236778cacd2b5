// Command hillknot-simulator hosts instances of the decision module for the operators' simulator: it reads batches
// of events on standard input and writes one reply for each on standard output. Instances live until they are
// halted or started anew.
package main

import (
	"bufio"
	"errors"
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

// run answers batches until the input ends. A reply is written only when its batch is complete.
func run(in io.Reader, out io.Writer) error {
	reader, writer := simulator.NewReader(in), bufio.NewWriterSize(out, 1<<16)
	h := host{instances: map[string]*balancer.Balancer{}}
	for {
		batch, err := reader.ReadBatch()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.handle(batch); err != nil {
			return err
		}
		if _, err := writer.Write(h.reply); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
		if err := writer.Flush(); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
	}
}

// host holds the instances by their names.
type host struct {
	instances map[string]*balancer.Balancer
	reply     []byte // to the latest batch
}

// handle passes a batch to its instances, and leaves the reply in h.reply.
func (h *host) handle(batch *simulator.Batch) error {
	h.reply = h.reply[:0]
	for _, ev := range batch.Events {
		if err := h.handleEvent(batch.Now, ev); err != nil {
			return fmt.Errorf("line %d: %w", ev.Line, err)
		}
	}
	h.reply = simulator.AppendDone(h.reply)
	return nil
}

func (h *host) handleEvent(now time.Duration, ev simulator.Event) error {
	switch {
	case ev.Halt:
		delete(h.instances, ev.Instance)
	case ev.Create != nil:
		b, err := balancer.New(*ev.Create)
		if err != nil {
			return fmt.Errorf("settings of %s: %w", ev.Instance, err)
		}
		h.instances[ev.Instance] = b
	case ev.Event != nil:
		b := h.instances[ev.Instance]
		if b == nil {
			return fmt.Errorf("event for %s, which was not created", ev.Instance)
		}
		h.reply = appendActions(h.reply, b, ev, now)
	}
	return nil
}

// appendActions passes one event to its instance and appends the actions. A panic of the module is appended as the
// protocol's exception, and the instance lives on.
func appendActions(reply []byte, b *balancer.Balancer, ev simulator.Event, now time.Duration) (out []byte) {
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
