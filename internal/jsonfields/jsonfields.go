// Package jsonfields reads typed values from parsed JSON. It collects errors, the first one of each key, and each error
// names the faulty key by its whole path. A caller reads all its fields one after the other, and checks for errors once at
// the end.
package jsonfields

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fastjson"
)

// Object is a JSON object that is read. The zero value reads as an object without keys, and drops errors.
type Object struct {
	value  *fastjson.Value
	path   *path  // path of the object, or of the list that holds it; nil: the document itself
	index  string // index in that list, as "[3]"; empty: the object is in no list
	errors *errorList
}

// path locates a value: under a key of a parent object. Its text is built only when it is needed, mostly for an error.
type path struct {
	parent *path  // of the parent object; nil: the document itself
	index  string // of the parent object in a list; empty: it is in no list
	name   string // key in the parent object
}

// text returns the path as text, followed by suffix, which is the index of an object in a list or empty.
func (p *path) text(suffix string) string {
	if p == nil {
		return suffix
	}
	if up := p.parent.text(p.index); up != "" {
		return up + "." + p.name + suffix
	}
	return p.name + suffix
}

// Has reports whether a key is present and not null.
func (o Object) Has(name string) bool { return o.get(name) != nil }

// get returns the value under a key, or nil if it is absent or null.
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

// Require records an error for each key that is absent or null.
func (o Object) Require(names ...string) {
	for _, n := range names {
		if !o.Has(n) {
			o.Fail(n, "is missing")
		}
	}
}

// Object returns the object under a key. If the key is absent, the result has no keys.
func (o Object) Object(name string) Object {
	sub := Object{path: o.childPath(name), errors: o.errors}
	if v := o.get(name); v != nil {
		if sub.value = v; v.Type() != fastjson.TypeObject {
			o.Fail(name, "is not an object")
		}
	}
	return sub
}

// Objects returns the objects in the list under a key.
func (o Object) Objects(name string) []Object {
	var out []Object
	elementsPath := o.childPath(name)
	for i, v := range o.array(name) {
		sub := Object{value: v, path: elementsPath, index: formatIndex(i), errors: o.errors}
		if v.Type() != fastjson.TypeObject {
			sub.Fail("", "is not an object")
		}
		out = append(out, sub)
	}
	return out
}

// childPath returns the path of the value under a key.
func (o Object) childPath(name string) *path {
	return &path{parent: o.path, index: o.index, name: name}
}

// formatIndex returns the text of an index in a list, as "[3]". Small indexes need no allocation.
func formatIndex(i int) string {
	if i < len(shortIndexes) {
		return shortIndexes[i]
	}
	return "[" + strconv.Itoa(i) + "]"
}

// shortIndexes are the texts of the smallest indexes.
var shortIndexes = [...]string{"[0]", "[1]", "[2]", "[3]", "[4]", "[5]", "[6]", "[7]"}

// array returns the values in the list under a key.
func (o Object) array(name string) []*fastjson.Value {
	v := o.get(name)
	if v == nil {
		return nil
	}
	a, err := v.Array()
	if err != nil {
		o.Fail(name, "is not a list")
	}
	return a
}

// String returns the string under a key, or fallback if there is none.
func (o Object) String(name, fallback string) string {
	v := o.get(name)
	if v == nil {
		return fallback
	}
	return o.string(name, v)
}

func (o Object) string(name string, v *fastjson.Value) string {
	b, err := v.StringBytes()
	if err != nil {
		o.Fail(name, "is not a string")
	}
	return string(b)
}

// Strings returns the strings in the list under a key.
func (o Object) Strings(name string) []string {
	var out []string
	for _, v := range o.array(name) {
		out = append(out, o.string(name, v))
	}
	return out
}

// Number returns the number under a key, or fallback if there is none. It must be finite.
func (o Object) Number(name string, fallback float64) float64 {
	v := o.get(name)
	if v == nil {
		return fallback
	}
	return o.number(name, v)
}

func (o Object) number(name string, v *fastjson.Value) float64 {
	f, err := v.Float64()
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		o.Fail(name, "is not a number")
		return 0
	}
	return f
}

// Numbers returns the numbers in the list under a key.
func (o Object) Numbers(name string) []float64 {
	var out []float64
	for _, v := range o.array(name) {
		out = append(out, o.number(name, v))
	}
	return out
}

// Int returns the whole number under a key, or fallback if there is none.
func (o Object) Int(name string, fallback int64) int64 {
	v := o.get(name)
	if v == nil {
		return fallback
	}
	return o.int(name, v)
}

func (o Object) int(name string, v *fastjson.Value) int64 {
	n, err := v.Int64()
	if err != nil {
		o.Fail(name, "is not a whole number")
	}
	return n
}

// Ints returns the whole numbers in the list under a key.
func (o Object) Ints(name string) []int64 {
	var out []int64
	for _, v := range o.array(name) {
		out = append(out, o.int(name, v))
	}
	return out
}

// Count returns the whole number under a key, or fallback if there is none. It must be at least minimum, and fit into 31 bits.
func (o Object) Count(name string, fallback, minimum int) int {
	n := o.Int(name, int64(fallback))
	if n < int64(minimum) || n > math.MaxInt32 {
		o.Fail(name, fmt.Sprintf("is %d, which is out of range (at least %d)", n, minimum))
	}
	return int(n)
}

// Duration returns the duration under a key, or fallback if there is none. The key holds a whole number of units, which
// must not be negative.
func (o Object) Duration(name string, unit, fallback time.Duration) time.Duration {
	if !o.Has(name) {
		return fallback
	}
	return o.duration(name, o.Int(name, 0), unit)
}

func (o Object) duration(name string, n int64, unit time.Duration) time.Duration {
	if n < 0 || n > math.MaxInt64/int64(unit) {
		o.Fail(name, "is not a duration of 0 or more")
		return 0
	}
	return time.Duration(n) * unit
}

// Durations returns the durations in the list under a key, which holds whole numbers of units.
func (o Object) Durations(name string, unit time.Duration) []time.Duration {
	var out []time.Duration
	for _, n := range o.Ints(name) {
		out = append(out, o.duration(name, n, unit))
	}
	return out
}

// Bool returns the boolean under a key, or false if there is none.
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

// Bools returns the booleans in the list under a key.
func (o Object) Bools(name string) []bool {
	var out []bool
	for _, v := range o.array(name) {
		out = append(out, o.bool(name, v))
	}
	return out
}
