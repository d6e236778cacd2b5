// Package jsonfields reads typed values out of parsed JSON. It keeps the errors met, the first one of each key, which
// name the faulty key by its whole path, so that a reader is a plain list of fields with one check at its end.
package jsonfields

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fastjson"
)

// Object is a JSON object being read. The zero value reads as one without any key.
type Object struct {
	v    *fastjson.Value
	path *path  // nil: the document itself
	at   string // index in a list, as "[3]"; empty: none
	err  *faults
}

// path is where an object stands: under a key of another. It is written out only for an error.
type path struct {
	up   *path
	at   string // index of that other in a list
	name string
}

// string writes a path out, with an index behind it.
func (p *path) string(at string) string {
	if p == nil {
		return at
	}
	if up := p.up.string(p.at); up != "" {
		return up + "." + p.name + at
	}
	return p.name + at
}

// faults are the errors met in a document, up to a bound.
type faults struct {
	list  []error
	keys  map[string]bool
	place func(key string) string
	read  map[string]bool // the keys that were asked for; nil: they are not kept
}

const faultsMost = 100

// Of returns the object that a document holds.
func Of(v *fastjson.Value) Object {
	o := Object{v: v, err: &faults{}}
	if v.Type() != fastjson.TypeObject {
		o.fail("", "is no object")
	}
	return o
}

// Err is the error met in the document: where there are more, all of them joined.
func (o Object) Err() error {
	switch {
	case o.err == nil || len(o.err.list) == 0:
		return nil
	case len(o.err.list) == 1:
		return o.err.list[0]
	}
	return errors.Join(o.err.list...)
}

// Locate has errors begin with the place that a key has in what a person wrote, empty for keys that stand elsewhere,
// and keeps which keys are read.
func (o Object) Locate(place func(key string) string) {
	o.err.place, o.err.read = place, map[string]bool{}
}

// WasRead tells, after Locate, whether a key was asked for.
func (o Object) WasRead(key string) bool { return o.err.read[key] }

func (o Object) key(name string) string {
	switch at := o.path.string(o.at); {
	case at == "":
		return name
	case name == "":
		return at
	default:
		return at + "." + name
	}
}

func (o Object) fail(name, what string) {
	key := o.key(name)
	if o.err == nil || o.err.keys[key] || len(o.err.list) == faultsMost {
		return
	}
	if o.err.keys == nil {
		o.err.keys = map[string]bool{}
	}
	o.err.keys[key] = true
	at := ""
	if o.err.place != nil {
		if at = o.err.place(key); at != "" {
			at += ": "
		}
	}
	o.err.list = append(o.err.list, fmt.Errorf("%skey %q %s", at, key, what))
}

// Fail marks a key as faulty.
func (o Object) Fail(name, what string) { o.fail(name, what) }

// Has tells whether a key is there and not null.
func (o Object) Has(name string) bool { return o.get(name) != nil }

func (o Object) get(name string) *fastjson.Value {
	if o.err != nil && o.err.read != nil {
		o.err.read[o.key(name)] = true
	}
	v := o.v.Get(name)
	if v == nil || v.Type() == fastjson.TypeNull {
		return nil
	}
	return v
}

// Must marks absent keys as faulty.
func (o Object) Must(names ...string) {
	for _, n := range names {
		if !o.Has(n) {
			o.fail(n, "is missing")
		}
	}
}

// Object returns the object under a key.
func (o Object) Object(name string) Object {
	sub := Object{path: o.under(name), err: o.err}
	if v := o.get(name); v != nil {
		if sub.v = v; v.Type() != fastjson.TypeObject {
			o.fail(name, "is no object")
		}
	}
	return sub
}

// Objects returns the objects in the array under a key.
func (o Object) Objects(name string) []Object {
	var out []Object
	under := o.under(name)
	for i, v := range o.array(name) {
		sub := Object{v: v, path: under, at: index(i), err: o.err}
		if v.Type() != fastjson.TypeObject {
			sub.fail("", "is no object")
		}
		out = append(out, sub)
	}
	return out
}

// under is the path of what stands under a key.
func (o Object) under(name string) *path { return &path{up: o.path, at: o.at, name: name} }

// index writes the index of an object in a list.
func index(i int) string {
	if i < len(indexes) {
		return indexes[i]
	}
	return "[" + strconv.Itoa(i) + "]"
}

// indexes are those of short lists.
var indexes = [...]string{"[0]", "[1]", "[2]", "[3]", "[4]", "[5]", "[6]", "[7]"}

func (o Object) array(name string) []*fastjson.Value {
	v := o.get(name)
	if v == nil {
		return nil
	}
	a, err := v.Array()
	if err != nil {
		o.fail(name, "is no list")
	}
	return a
}

// Text returns the string under a key, or def where there is none.
func (o Object) Text(name, def string) string {
	v := o.get(name)
	if v == nil {
		return def
	}
	return o.text(name, v)
}

func (o Object) text(name string, v *fastjson.Value) string {
	b, err := v.StringBytes()
	if err != nil {
		o.fail(name, "is no string")
	}
	return string(b)
}

// Texts returns the strings in the array under a key.
func (o Object) Texts(name string) []string {
	var out []string
	for _, v := range o.array(name) {
		out = append(out, o.text(name, v))
	}
	return out
}

// Number returns the number under a key, or def where there is none.
func (o Object) Number(name string, def float64) float64 {
	v := o.get(name)
	if v == nil {
		return def
	}
	return o.number(name, v)
}

func (o Object) number(name string, v *fastjson.Value) float64 {
	f, err := v.Float64()
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		o.fail(name, "is no number")
		return 0
	}
	return f
}

// Numbers returns the numbers in the array under a key.
func (o Object) Numbers(name string) []float64 {
	var out []float64
	for _, v := range o.array(name) {
		out = append(out, o.number(name, v))
	}
	return out
}

// Int returns the whole number under a key, or def where there is none.
func (o Object) Int(name string, def int64) int64 {
	v := o.get(name)
	if v == nil {
		return def
	}
	return o.int(name, v)
}

func (o Object) int(name string, v *fastjson.Value) int64 {
	n, err := v.Int64()
	if err != nil {
		o.fail(name, "is no whole number")
	}
	return n
}

// Ints returns the whole numbers in the array under a key.
func (o Object) Ints(name string) []int64 {
	var out []int64
	for _, v := range o.array(name) {
		out = append(out, o.int(name, v))
	}
	return out
}

// Count returns the whole number under a key, which may not be under least.
func (o Object) Count(name string, def, least int) int {
	n := o.Int(name, int64(def))
	if n < int64(least) || n > math.MaxInt32 {
		o.fail(name, fmt.Sprintf("is %d, which is out of range (%d at least)", n, least))
	}
	return int(n)
}

// Span returns the time under a key, given in units of unit; it may not be negative.
func (o Object) Span(name string, unit, def time.Duration) time.Duration {
	if !o.Has(name) {
		return def
	}
	return o.span(name, o.Int(name, 0), unit)
}

func (o Object) span(name string, n int64, unit time.Duration) time.Duration {
	if n < 0 || n > math.MaxInt64/int64(unit) {
		o.fail(name, "is no time from 0 up")
		return 0
	}
	return time.Duration(n) * unit
}

// Spans returns the times in the array under a key.
func (o Object) Spans(name string, unit time.Duration) []time.Duration {
	var out []time.Duration
	for _, n := range o.Ints(name) {
		out = append(out, o.span(name, n, unit))
	}
	return out
}

// Flag returns the truth value under a key; false where there is none.
func (o Object) Flag(name string) bool {
	v := o.get(name)
	if v == nil {
		return false
	}
	return o.flag(name, v)
}

func (o Object) flag(name string, v *fastjson.Value) bool {
	b, err := v.Bool()
	if err != nil {
		o.fail(name, "is neither true nor false")
	}
	return b
}

// Flags returns the truth values in the array under a key.
func (o Object) Flags(name string) []bool {
	var out []bool
	for _, v := range o.array(name) {
		out = append(out, o.flag(name, v))
	}
	return out
}
