// Package jsonfields reads typed values out of parsed JSON. It keeps the errors met, the first one of each key, which
// name the faulty key by its whole path, so that a reader is a plain list of fields with one check at its end.
package jsonfields

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fastjson"
)

// Object is a JSON object being read. The zero value reads as one without any key.
type Object struct {
	value  *fastjson.Value
	path   *path  // nil: the document itself
	index  string // index in a list, as "[3]"; empty: none
	errors *errorList
}

// path is where an object stands: under a key of another. It is written out only for an error.
type path struct {
	parent *path
	index  string // index of that other in a list
	name   string
}

// text writes a path out, with an index behind it.
func (p *path) text(at string) string {
	if p == nil {
		return at
	}
	if up := p.parent.text(p.index); up != "" {
		return up + "." + p.name + at
	}
	return p.name + at
}

// Has tells whether a key is there and not null.
func (o Object) Has(name string) bool { return o.get(name) != nil }

func (o Object) get(name string) *fastjson.Value {
	if o.errors != nil {
		o.errors.markRead(o, name)
	}
	v := o.value.Get(name)
	if v == nil || v.Type() == fastjson.TypeNull {
		return nil
	}
	return v
}

// Require reports the keys that are absent.
func (o Object) Require(names ...string) {
	for _, n := range names {
		if !o.Has(n) {
			o.Fail(n, "is missing")
		}
	}
}

// Object returns the object under a key.
func (o Object) Object(name string) Object {
	sub := Object{path: o.under(name), errors: o.errors}
	if v := o.get(name); v != nil {
		if sub.value = v; v.Type() != fastjson.TypeObject {
			o.Fail(name, "is no object")
		}
	}
	return sub
}

// Objects returns the objects in the array under a key.
func (o Object) Objects(name string) []Object {
	var out []Object
	under := o.under(name)
	for i, v := range o.array(name) {
		sub := Object{value: v, path: under, index: indexText(i), errors: o.errors}
		if v.Type() != fastjson.TypeObject {
			sub.Fail("", "is no object")
		}
		out = append(out, sub)
	}
	return out
}

// under returns the path of what stands under a key.
func (o Object) under(name string) *path { return &path{parent: o.path, index: o.index, name: name} }

// indexText writes the index of an object in a list; those of short lists need no memory.
func indexText(i int) string {
	if i < len(shortIndexTexts) {
		return shortIndexTexts[i]
	}
	return "[" + strconv.Itoa(i) + "]"
}

var shortIndexTexts = [...]string{"[0]", "[1]", "[2]", "[3]", "[4]", "[5]", "[6]", "[7]"}

func (o Object) array(name string) []*fastjson.Value {
	v := o.get(name)
	if v == nil {
		return nil
	}
	a, err := v.Array()
	if err != nil {
		o.Fail(name, "is no list")
	}
	return a
}

// String returns the string under a key, or def where there is none.
func (o Object) String(name, def string) string {
	v := o.get(name)
	if v == nil {
		return def
	}
	return o.string(name, v)
}

func (o Object) string(name string, v *fastjson.Value) string {
	b, err := v.StringBytes()
	if err != nil {
		o.Fail(name, "is no string")
	}
	return string(b)
}

// Strings returns the strings in the array under a key.
func (o Object) Strings(name string) []string {
	var out []string
	for _, v := range o.array(name) {
		out = append(out, o.string(name, v))
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
		o.Fail(name, "is no number")
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
		o.Fail(name, "is no whole number")
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
		o.Fail(name, fmt.Sprintf("is %d, which is out of range (%d at least)", n, least))
	}
	return int(n)
}

// Duration returns the time under a key, given in units of unit; it may not be negative.
func (o Object) Duration(name string, unit, def time.Duration) time.Duration {
	if !o.Has(name) {
		return def
	}
	return o.duration(name, o.Int(name, 0), unit)
}

func (o Object) duration(name string, n int64, unit time.Duration) time.Duration {
	if n < 0 || n > math.MaxInt64/int64(unit) {
		o.Fail(name, "is no time from 0 up")
		return 0
	}
	return time.Duration(n) * unit
}

// Durations returns the times in the array under a key.
func (o Object) Durations(name string, unit time.Duration) []time.Duration {
	var out []time.Duration
	for _, n := range o.Ints(name) {
		out = append(out, o.duration(name, n, unit))
	}
	return out
}

// Bool returns the truth value under a key; false where there is none.
func (o Object) Bool(name string) bool {
	v := o.get(name)
	if v == nil {
		return false
	}
	return o.bool(name, v)
}

func (o Object) bool(name string, v *fastjson.Value) bool {
	b, err := v.Bool()
	if err != nil {
		o.Fail(name, "is neither true nor false")
	}
	return b
}

// Bools returns the truth values in the array under a key.
func (o Object) Bools(name string) []bool {
	var out []bool
	for _, v := range o.array(name) {
		out = append(out, o.bool(name, v))
	}
	return out
}
