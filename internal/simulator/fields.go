package simulator

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// presence is whether a field must be given.
type presence bool

const (
	required presence = true
	optional presence = false
)

// fields holds the name=value pairs of one line. Its methods decode the fields and keep the first error in err, so that a
// line can be decoded without a check after each field. A missing field reads as the zero value; a value read is valid only
// if err is nil.
type fields struct {
	values map[string]string
	err    error
}

// splitLine splits a line into its name and its fields.
func splitLine(line string) (string, *fields, error) {
	name, rest, more := strings.Cut(line, "\t")
	if name == "" {
		return "", nil, errors.New("line has no name")
	}
	f := &fields{values: make(map[string]string, 12)}
	for more {
		var pair string
		remainder := rest
		pair, rest, more = strings.Cut(rest, "\t")
		key, value, ok := strings.Cut(pair, "=")
		if !ok || key == "" {
			return "", nil, fmt.Errorf("%s: %q is not a name=value pair", name, pair)
		}
		if extendsToLineEnd(key) {
			f.values[key] = remainder[len(key)+1:]
			break
		}
		if f.has(key) {
			return "", nil, fmt.Errorf("%s: field %s is given twice", name, key)
		}
		f.values[key] = value
	}
	return name, f, nil
}

// extendsToLineEnd reports whether the value of a field extends to the end of its line, including any tabs.
func extendsToLineEnd(key string) bool { return key == "conf" || key == "noteText" }

// fail keeps an error unless there is one already.
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

// uint decodes an unsigned integer of at most bits bits.
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
		f.fail(fmt.Errorf("field %s: %q is not an unsigned integer of at most %d bits", name, s, bits))
	}
	return v
}

// hex decodes the hexadecimal id of an object.
func (f *fields) hex(name string, must presence) uint64 {
	s := f.text(name, must)
	if s == "" && must == optional {
		return 0
	}
	v, err := strconv.ParseUint(s, 16, 64)
	if err != nil {
		f.fail(fmt.Errorf("field %s: %q is not a hexadecimal object id", name, s))
	}
	return v
}

// number decodes an optional finite number.
func (f *fields) number(name string) float64 {
	s, ok := f.values[name]
	if !ok {
		return 0
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		f.fail(fmt.Errorf("field %s: %q is not a number", name, s))
	}
	return v
}

// maxMicros is the maximum number of microseconds that a field may hold; a larger one could overflow a time.Duration.
const maxMicros = math.MaxInt64/1000 - 1

// micros decodes a time in microseconds, which may be negative.
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
		f.fail(fmt.Errorf("field %s: %q is not a number of microseconds in range", name, s))
		return 0
	}
	return time.Duration(v) * time.Microsecond
}

// flag decodes an optional 0 or 1.
func (f *fields) flag(name string) bool {
	switch s := f.values[name]; s {
	case "1":
		return true
	case "", "0":
		return false
	default:
		f.fail(fmt.Errorf("field %s: %q is not 0 or 1", name, s))
		return false
	}
}
