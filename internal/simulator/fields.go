package simulator

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// presence says whether a field must be there.
type presence bool

const (
	required presence = true
	optional presence = false
)

// fields are the name=value pairs of one line. The first error met is kept in err, so that a line is decoded
// without a check after each field.
type fields struct {
	values map[string]string
	err    error
}

// split parts a line into its name and fields.
func split(line string) (string, *fields, error) {
	name, rest, more := strings.Cut(line, "\t")
	if name == "" {
		return "", nil, errors.New("empty message name")
	}
	f := &fields{values: make(map[string]string, 12)}
	for more {
		var pair string
		remainder := rest
		pair, rest, more = strings.Cut(rest, "\t")
		key, value, ok := strings.Cut(pair, "=")
		if !ok || key == "" {
			return "", nil, fmt.Errorf("%s: %q is no name=value pair", name, pair)
		}
		if endsLine(key) {
			f.values[key] = remainder[len(key)+1:]
			break
		}
		if f.has(key) {
			return "", nil, fmt.Errorf("%s: field %s given twice", name, key)
		}
		f.values[key] = value
	}
	return name, f, nil
}

// endsLine tells whether a field runs to the end of its line, tabs included.
func endsLine(key string) bool { return key == "conf" || key == "noteText" }

func (f *fields) fail(err error) {
	if f.err == nil {
		f.err = err
	}
}

func (f *fields) has(name string) bool {
	_, ok := f.values[name]
	return ok
}

func (f *fields) text(name string, must presence) string {
	v, ok := f.values[name]
	if !ok && must == required {
		f.fail(fmt.Errorf("field %s is missing", name))
	}
	return v
}

func (f *fields) uint(name string, bits int, must presence) uint64 {
	if must == optional && !f.has(name) {
		return 0
	}
	s := f.text(name, must)
	if f.err != nil {
		return 0
	}
	v, err := strconv.ParseUint(s, 10, bits)
	if err != nil {
		f.fail(fmt.Errorf("field %s: %q is no whole number of %d bits", name, s, bits))
	}
	return v
}

func (f *fields) hex(name string, must presence) uint64 {
	s := f.text(name, must)
	if s == "" && must == optional {
		return 0
	}
	v, err := strconv.ParseUint(s, 16, 64)
	if err != nil {
		f.fail(fmt.Errorf("field %s: %q is no object", name, s))
	}
	return v
}

func (f *fields) number(name string) float64 {
	s, ok := f.values[name]
	if !ok {
		return 0
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		f.fail(fmt.Errorf("field %s: %q is no number", name, s))
	}
	return v
}

// maxMicros keeps a time in microseconds within a time.Duration.
const maxMicros = math.MaxInt64/1000 - 1

func (f *fields) micros(name string, must presence) time.Duration {
	s := f.text(name, must)
	if s == "" && must == optional {
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

func (f *fields) flag(name string) bool {
	switch s := f.values[name]; s {
	case "1":
		return true
	case "", "0":
		return false
	default:
		f.fail(fmt.Errorf("field %s: %q is no bool", name, s))
		return false
	}
}
