// Package simulator reads batches of events from, and writes replies to, the line protocol of the
// operators' drill. It is strict: anything malformed is an error that names the line. It knows
// no decisions; it only turns lines into the types of package balancer and back.
package simulator

import (
	"bufio"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"hillknot/balancer"
	"hillknot/internal/config/settings"
)

// Event is one event of a batch, for one instance.
type Event struct {
	Instance string
	Line     int
	Create   *balancer.Settings // the instance starts anew
	Halt     bool               // the instance was killed
	Event    balancer.Event     // nil for Create, Halt and events that carry nothing for the module
}

// Batch is what one reply answers.
type Batch struct {
	Now    time.Duration
	Events []Event
}

// Reader reads batches. It holds the numbered lists, which belong to the whole process.
type Reader struct {
	r     *bufio.Reader
	line  int
	lists map[uint64][]balancer.Endpoint
}

// NewReader returns a Reader on r.
func NewReader(r io.Reader) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, 1<<16), lists: map[uint64][]balancer.Endpoint{}}
}

// Line is the number of the line read last.
func (r *Reader) Line() int { return r.line }

// next returns the next line without its end; io.EOF only where no byte follows.
func (r *Reader) next() (string, error) {
	s, err := r.r.ReadString('\n')
	if err != nil && (err != io.EOF || s == "") {
		return "", err
	}
	r.line++
	return strings.TrimSuffix(strings.TrimSuffix(s, "\n"), "\r"), nil
}

// ReadBatch reads up to the END of one batch. It returns io.EOF at a clean end of the input.
func (r *Reader) ReadBatch() (*Batch, error) {
	text, err := r.next()
	for err == nil && text == "" {
		text, err = r.next()
	}
	if err == io.EOF {
		return nil, io.EOF
	}
	if err != nil {
		return nil, fmt.Errorf("line %d: %w", r.line, err)
	}
	b := &Batch{}
	if err := r.batch(text, b); err != nil {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return nil, fmt.Errorf("line %d: %w", r.line, err)
	}
	return b, nil
}

func (r *Reader) batch(first string, b *Batch) error {
	name, f, err := split(first)
	if err != nil {
		return err
	}
	if name != "CLOCK" {
		return fmt.Errorf("expected CLOCK, got %q", name)
	}
	if b.Now = f.micros("simTimeUs", true); f.err != nil {
		return f.err
	}
	for {
		text, err := r.next()
		if err != nil {
			return err
		}
		name, f, err := split(text)
		if err != nil {
			return err
		}
		switch name {
		case "END":
			return nil
		case "SHEET":
			if err := r.sheet(f); err != nil {
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

func (r *Reader) sheet(f *fields) error {
	num, count := f.uint("rosterId", 63, true), f.uint("lines", 31, true)
	if f.err != nil {
		return f.err
	}
	var entries []balancer.Endpoint
	for range count {
		text, err := r.next()
		if err != nil {
			return err
		}
		name, f, err := split(text)
		if err != nil {
			return err
		}
		if name != "ITEM" {
			return fmt.Errorf("expected ITEM, got %q", name)
		}
		e := balancer.Endpoint{
			ID:        balancer.EndpointID(f.uint("node", 32, true)),
			Kind:      f.text("flavor", false),
			Zone:      f.text("hall", false),
			Cell:      int(f.uint("stripe", 31, false)),
			Weight:    f.number("capacityHint"),
			StartedAt: f.micros("startTimeUs", false),
		}
		switch s := f.text("state", true); s {
		case "in_service":
			e.State = balancer.InService
		case "terminating":
			e.State = balancer.Draining
		case "terminated":
			e.State = balancer.Removed
		default:
			f.fail(fmt.Errorf("unknown state %q", s))
		}
		if f.err != nil {
			return f.err
		}
		entries = append(entries, e)
	}
	r.lists[num] = entries
	return nil
}

var statuses = map[uint64]balancer.Status{
	200: balancer.OK, 500: balancer.Error, 503: balancer.Rejected, 504: balancer.TimedOut, 502: balancer.ConnectFailed,
	598: balancer.Reset, 499: balancer.Cancelled, 410: balancer.NotSent, 404: balancer.Miss,
}

func (f *fields) status() balancer.Status {
	how := f.uint("how", 31, true)
	s, ok := statuses[how]
	if !ok {
		f.fail(fmt.Errorf("unknown outcome %d", how))
	}
	return s
}

func (r *Reader) event(name string, f *fields) (Event, error) {
	ev := Event{Instance: f.text("i", true), Line: r.line}
	id := func() balancer.RequestID { return balancer.RequestID(f.uint("id", 52, true)) }
	node := func() balancer.EndpointID { return balancer.EndpointID(f.uint("node", 32, true)) }
	switch name {
	case "CREATE":
		f.uint("nonce64", 64, true) // the module draws no random numbers
		s, err := settings.Parse(f.text("conf", true))
		if err != nil {
			f.fail(fmt.Errorf("conf: %w", err))
		}
		ev.Create = &s
	case "HALT":
		ev.Halt = true
	case "REGISTRY":
		form := f.text("form", true)
		if form == "FAILED" {
			ev.Event = balancer.EndpointUpdate{Failed: true}
			break
		}
		if form != "FULL" && form != "SAVED" && form != "INCREMENTAL" {
			f.fail(fmt.Errorf("unknown form %q", form))
		}
		num := f.uint("rosterId", 63, true)
		entries, ok := r.lists[num]
		if !ok {
			f.fail(fmt.Errorf("list %d was never given", num))
		}
		ev.Event = balancer.EndpointUpdate{Complete: form != "INCREMENTAL", Endpoints: entries}
	case "NEW_REQUEST":
		ev.Event = balancer.Request{
			ID: id(), Class: f.text("grade", true), Object: f.hex("file", false),
			Part: f.uint("rangeNo", 64, false), Group: f.uint("group", 64, false),
			Remaining: f.micros("remainingUs", true), SizeKB: f.number("kbytes"),
			Write: f.flag("update"), Retry: f.flag("isRetry"),
		}
	case "WITHDRAWN_COPY":
		_, byObject := f.m["file"]
		ev.Event = balancer.Purge{
			ByGroup: !byObject, Object: f.hex("file", false), Group: f.uint("setNo", 64, !byObject),
			Age: f.micros("ageSpanUs", false),
		}
	case "RESOLVED":
		ev.Event = balancer.Outcome{
			ID: id(), Attempt: int(f.uint("copy", 31, false)), Endpoint: node(), Status: f.status(),
			Elapsed: f.micros("tookUs", false), SourceWait: f.micros("upstreamWaitUs", false), Answered: f.flag("settled"),
			Detail: balancer.Detail(f.uint("remark", 8, false)),
		}
	case "CHECKED":
		node() // the module asks for none, so a result is checked and dropped
		f.status()
	case "GONE":
		ev.Event = balancer.ClientAborted{ID: id()}
	case "HEADERS":
		ev.Event = balancer.ResponseStarted{ID: id(), Attempt: int(f.uint("copy", 31, false)), Endpoint: node()}
	case "REMINDER":
		ev.Event = balancer.Timer{Token: f.uint("cookie", 63, true)}
	case "NOTE_FROM":
		// Peers tell each other nothing, so the bytes are checked and dropped.
		f.uint("originPeer", 31, true)
		if c := f.text("content", false); c != "" && c != "-" {
			if _, err := base64.StdEncoding.DecodeString(c); err != nil {
				f.fail(fmt.Errorf("content: %w", err))
			}
		}
	default:
		return ev, errors.New("unknown event")
	}
	return ev, f.err
}

// fields are the name=value pairs of one line. The first error met is kept in err.
type fields struct {
	m   map[string]string
	err error
}

// textual names the fields that run to the end of their line.
func textual(name string) bool { return name == "conf" || name == "noteText" }

func split(line string) (string, *fields, error) {
	name, rest, more := strings.Cut(line, "\t")
	if name == "" {
		return "", nil, errors.New("empty message name")
	}
	f := &fields{m: make(map[string]string, 12)}
	for more {
		var part string
		whole := rest
		part, rest, more = strings.Cut(rest, "\t")
		k, v, ok := strings.Cut(part, "=")
		if !ok || k == "" {
			return "", nil, fmt.Errorf("%s: %q is no name=value pair", name, part)
		}
		if textual(k) {
			f.m[k] = whole[len(k)+1:]
			break
		}
		if _, twice := f.m[k]; twice {
			return "", nil, fmt.Errorf("%s: field %s given twice", name, k)
		}
		f.m[k] = v
	}
	return name, f, nil
}

func (f *fields) fail(err error) {
	if f.err == nil {
		f.err = err
	}
}

func (f *fields) text(name string, must bool) string {
	v, ok := f.m[name]
	if !ok && must {
		f.fail(fmt.Errorf("field %s is missing", name))
	}
	return v
}

func (f *fields) uint(name string, bits int, must bool) uint64 {
	s := f.text(name, must)
	if s == "" && !must {
		if _, given := f.m[name]; !given {
			return 0
		}
	}
	if f.err != nil {
		return 0
	}
	v, err := strconv.ParseUint(s, 10, bits)
	if err != nil {
		f.fail(fmt.Errorf("field %s: %q is no whole number of %d bits", name, s, bits))
	}
	return v
}

func (f *fields) hex(name string, must bool) uint64 {
	s := f.text(name, must)
	if s == "" && !must {
		return 0
	}
	v, err := strconv.ParseUint(s, 16, 64)
	if err != nil {
		f.fail(fmt.Errorf("field %s: %q is no object", name, s))
	}
	return v
}

func (f *fields) number(name string) float64 {
	s, ok := f.m[name]
	if !ok {
		return 0
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || v != v || v-v != 0 {
		f.fail(fmt.Errorf("field %s: %q is no number", name, s))
	}
	return v
}

func (f *fields) micros(name string, must bool) time.Duration {
	s := f.text(name, must)
	if s == "" && !must {
		return 0
	}
	if f.err != nil {
		return 0
	}
	v, err := strconv.ParseInt(s, 10, 64)
	if err != nil || v > maxMicros || v < -maxMicros {
		f.fail(fmt.Errorf("field %s: %q is no time", name, s))
		return 0
	}
	return time.Duration(v) * time.Microsecond
}

// maxMicros keeps a time in microseconds within a time.Duration.
const maxMicros = 1<<63/1000 - 1

func (f *fields) flag(name string) bool {
	switch s := f.m[name]; s {
	case "1":
		return true
	case "", "0":
		return false
	default:
		f.fail(fmt.Errorf("field %s: %q is no bool", name, s))
		return false
	}
}

// AppendAction appends the line of one action of an instance.
func AppendAction(b []byte, instance string, a balancer.Action) []byte {
	us := func(name string, d time.Duration, always bool) {
		if d != 0 || always {
			b = append(append(append(b, '\t'), name...), '=')
			b = strconv.AppendInt(b, int64(d/time.Microsecond), 10)
		}
	}
	num := func(name string, v uint64) {
		b = append(append(append(b, '\t'), name...), '=')
		b = strconv.AppendUint(b, v, 10)
	}
	head := func(name string) { b = append(append(append(b, name...), "\ti="...), instance...) }
	switch a := a.(type) {
	case balancer.SendAttempt:
		head("LOOK_AND_FILL")
		num("id", uint64(a.ID))
		num("node", uint64(a.Endpoint))
		us("allowForUs", a.Timeout, false)
		num("fromWhere", uint64(a.Source))
		num("admit", uint64(a.CachePriority))
		us("ageSpanUs", a.MaxAge, false)
		bits := uint64(0)
		for i, on := range []bool{a.Coalesce, a.CachedOnly, false, a.Revalidate} {
			if on {
				bits |= 1 << i
			}
		}
		num("manner", bits)
	case balancer.Reject:
		head("SAY_NO")
		num("id", uint64(a.ID))
		us("stayAwayUs", a.RetryAfter, false)
	case balancer.Fail:
		head("END_FAILED")
		num("id", uint64(a.ID))
	case balancer.CancelAttempt:
		head("ABANDON")
		num("id", uint64(a.ID))
		num("copy", uint64(a.Attempt))
	case balancer.WatchEndpoints:
		head("OBSERVE")
		num("want", 1)
	case balancer.SetTimer:
		head("SCHEDULE")
		num("cookie", a.Token)
		us("spanUs", a.Delay, true)
	}
	return append(b, '\n')
}

// AppendException appends the line that declares the decision code of an instance failed.
func AppendException(b []byte, instance, text string) []byte {
	b = append(append(append(b, "EXCEPTION\ti="...), instance...), "\tnoteText="...)
	return append(append(b, strings.ReplaceAll(text, "\n", " ")...), '\n')
}

// AppendDone appends the end of a reply.
func AppendDone(b []byte) []byte { return append(b, "FINISHED\n"...) }
