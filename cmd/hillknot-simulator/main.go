// Command hillknot-simulator hosts instances of the decision module for the operators' simulator. It reads batches of events
// from standard input and writes one reply for each batch to standard output. An instance exists until it is halted or
// created again.
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

// run replies to batches until the input ends. It writes a reply only after the whole batch has been handled.
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

// host holds the instances of the decision module.
type host struct {
	instances map[string]*balancer.Balancer // by name
	reply     []byte                        // reply to the latest batch
}

// handle passes the events of a batch to their instances and stores the reply in h.reply. An error names the line.
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

// handleEvent halts or creates an instance, or passes an event to it and appends its actions to h.reply.
func (h *host) handleEvent(now time.Duration, ev simulator.Event) error {
	switch {
	case ev.Halt:
		delete(h.instances, ev.Instance)
	case ev.Create != nil:
		b, err := balancer.New(*ev.Create)
		if err != nil {
			return fmt.Errorf("settings of instance %s: %w", ev.Instance, err)
		}
		h.instances[ev.Instance] = b
	case ev.Event != nil:
		b := h.instances[ev.Instance]
		if b == nil {
			return fmt.Errorf("event for instance %s, which does not exist", ev.Instance)
		}
		h.reply = appendActions(h.reply, b, ev, now)
	}
	return nil
}

// appendActions passes one event to its instance and appends the instance's actions to reply. If the decision module panics,
// appendActions appends the protocol's exception instead, and the instance continues to exist.
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
