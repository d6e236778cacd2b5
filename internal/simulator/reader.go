package simulator

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"hillknot/balancer"
)

// Batch is what one reply answers.
type Batch struct {
	Now    time.Duration // simulated time
	Events []Event
}

// Event is one event of a batch, for one instance of the decision module. At most one of Create, Halt and Event is
// set; none is for a line that carries nothing for the module.
type Event struct {
	Instance string
	Line     int                // of the input, for error messages
	Create   *balancer.Settings // the instance starts, or starts anew
	Halt     bool               // the instance was killed
	Event    balancer.Event
}

// Reader reads batches. It keeps the numbered endpoint lists, which later batches may refer to.
type Reader struct {
	input *bufio.Reader
	line  int
	lists map[uint64][]balancer.Endpoint
}

// NewReader returns a Reader on r.
func NewReader(r io.Reader) *Reader {
	return &Reader{input: bufio.NewReaderSize(r, 1<<16), lists: map[uint64][]balancer.Endpoint{}}
}

// Line is the number of the line read last.
func (r *Reader) Line() int { return r.line }

// ReadBatch reads the next batch, with its END line. It returns io.EOF when the input ends before a batch begins,
// and an error that wraps io.ErrUnexpectedEOF when it ends within one.
func (r *Reader) ReadBatch() (*Batch, error) {
	first, err := r.nextNonEmpty()
	if errors.Is(err, io.EOF) {
		return nil, io.EOF
	}
	if err != nil {
		return nil, fmt.Errorf("line %d: %w", r.line, err)
	}
	b := &Batch{}
	if err := r.readBatch(first, b); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, fmt.Errorf("line %d: %w", r.line, err)
	}
	return b, nil
}

// next returns the next line without its end; io.EOF only where no byte follows.
func (r *Reader) next() (string, error) {
	s, err := r.input.ReadString('\n')
	if err != nil && (err != io.EOF || s == "") {
		return "", err
	}
	r.line++
	return strings.TrimSuffix(strings.TrimSuffix(s, "\n"), "\r"), nil
}

func (r *Reader) nextNonEmpty() (string, error) {
	text, err := r.next()
	for err == nil && text == "" {
		text, err = r.next()
	}
	return text, err
}

// nextMessage reads and splits the next line.
func (r *Reader) nextMessage() (string, *fields, error) {
	text, err := r.next()
	if err != nil {
		return "", nil, err
	}
	return split(text)
}

func (r *Reader) readBatch(first string, b *Batch) error {
	name, f, err := split(first)
	if err != nil {
		return err
	}
	if name != "CLOCK" {
		return fmt.Errorf("expected CLOCK, got %q", name)
	}
	if b.Now = f.micros("simTimeUs", required); f.err != nil {
		return f.err
	}
	for {
		name, f, err := r.nextMessage()
		if err != nil {
			return err
		}
		switch name {
		case "END":
			return nil
		case "SHEET":
			if err := r.readList(f); err != nil {
				return err
			}
		default:
			ev, err := r.event(name, f)
			if err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
			b.Events = append(b.Events, ev)
		}
	}
}

// readList reads a numbered endpoint list, one ITEM line for each endpoint.
func (r *Reader) readList(f *fields) error {
	id, count := f.uint("rosterId", 63, required), f.uint("lines", 31, required)
	if f.err != nil {
		return f.err
	}
	var list []balancer.Endpoint
	for range count {
		name, f, err := r.nextMessage()
		if err != nil {
			return err
		}
		if name != "ITEM" {
			return fmt.Errorf("expected ITEM, got %q", name)
		}
		e := f.endpoint()
		if f.err != nil {
			return f.err
		}
		list = append(list, e)
	}
	r.lists[id] = list
	return nil
}
