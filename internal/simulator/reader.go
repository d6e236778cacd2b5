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

// Batch is a group of events that is answered with one reply.
type Batch struct {
	Now    time.Duration // simulated time
	Events []Event
}

// Event is one event of a batch, for one instance of balancer.Balancer. At most one of Create, Halt and Event is set; none is
// set for a line that was only validated.
type Event struct {
	Instance string
	Line     int                // line number in the input, from 1, for error messages
	Create   *balancer.Settings // the instance is created with these settings, or replaced by a new one
	Halt     bool               // the instance was killed
	Event    balancer.Event
}

// Reader reads batches. It keeps the numbered endpoint lists, because later batches may refer to them.
type Reader struct {
	input *bufio.Reader
	line  int                            // number of the line read last; 0: none
	lists map[uint64][]balancer.Endpoint // by number; a later list replaces one with the same number
}

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader {
	return &Reader{input: bufio.NewReaderSize(r, 1<<16), lists: map[uint64][]balancer.Endpoint{}}
}

// Line returns the number of the line read last, from 1; 0: none was read.
func (r *Reader) Line() int { return r.line }

// ReadBatch reads the next batch up to its END line. It returns io.EOF if the input ends before a batch begins, and an
// error that wraps io.ErrUnexpectedEOF if the input ends within a batch. All errors but io.EOF name the line.
func (r *Reader) ReadBatch() (*Batch, error) {
	first, err := r.readNonEmptyLine()
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

// readLine returns the next line without its line end. It returns io.EOF only if no byte follows; a last line without a
// line end is returned like any other.
func (r *Reader) readLine() (string, error) {
	s, err := r.input.ReadString('\n')
	if err != nil && (err != io.EOF || s == "") {
		return "", err
	}
	r.line++
	return strings.TrimSuffix(strings.TrimSuffix(s, "\n"), "\r"), nil
}

// readNonEmptyLine returns the next line that is not empty.
func (r *Reader) readNonEmptyLine() (string, error) {
	text, err := r.readLine()
	for err == nil && text == "" {
		text, err = r.readLine()
	}
	return text, err
}

// readMessage reads the next line and splits it into its name and fields.
func (r *Reader) readMessage() (string, *fields, error) {
	text, err := r.readLine()
	if err != nil {
		return "", nil, err
	}
	return splitLine(text)
}

// readBatch reads a batch into b. first is the CLOCK line, which has been read already.
func (r *Reader) readBatch(first string, b *Batch) error {
	name, f, err := splitLine(first)
	if err != nil {
		return err
	}
	if name != "CLOCK" {
		return fmt.Errorf("expected line CLOCK, got %q", name)
	}
	if b.Now = f.micros("simTimeUs", required); f.err != nil {
		return f.err
	}
	for {
		name, f, err := r.readMessage()
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
			ev, err := r.decodeEvent(name, f)
			if err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
			b.Events = append(b.Events, ev)
		}
	}
}

// readList reads the ITEM lines of a numbered endpoint list, one for each endpoint. f holds the fields of the SHEET line.
func (r *Reader) readList(f *fields) error {
	id, count := f.uint("rosterId", 63, required), f.uint("lines", 31, required)
	if f.err != nil {
		return f.err
	}
	var list []balancer.Endpoint
	for range count {
		name, f, err := r.readMessage()
		if err != nil {
			return err
		}
		if name != "ITEM" {
			return fmt.Errorf("expected line ITEM, got %q", name)
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
