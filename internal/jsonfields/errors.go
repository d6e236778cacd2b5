package jsonfields

import (
	"errors"
	"fmt"

	"github.com/valyala/fastjson"
)

// KeyError describes a problem with one key.
type KeyError struct {
	Location string // file, line and column of the key; empty: unknown
	Key      string // the whole path, as in "settings.profiles[0].name"
	Problem  string // worded to follow the key, as in "is not a number"
}

// Error implements error.
func (e *KeyError) Error() string {
	location := ""
	if e.Location != "" {
		location = e.Location + ": "
	}
	return fmt.Sprintf("%skey %q %s", location, e.Key, e.Problem)
}

// maxErrors is the maximum number of errors that are kept for a document.
const maxErrors = 100

// errorList holds the errors of a document: the first error of each key.
type errorList struct {
	errors   []error
	seen     map[string]bool         // keys that have an error
	location func(key string) string // returns the location of a key; nil: locations are unknown
	readKeys map[string]bool         // paths of the keys that were looked up; nil: they are not recorded
}

// add records an error of a key, unless the key already has one or the list is full.
func (l *errorList) add(key, problem string) {
	if l.seen[key] || len(l.errors) == maxErrors {
		return
	}
	if l.seen == nil {
		l.seen = map[string]bool{}
	}
	l.seen[key] = true
	e := &KeyError{Key: key, Problem: problem}
	if l.location != nil {
		e.Location = l.location(key)
	}
	l.errors = append(l.errors, e)
}

// markRead records that a key of an object was looked up. The path is built only if such keys are recorded.
func (l *errorList) markRead(o Object, name string) {
	if l.readKeys != nil {
		l.readKeys[o.keyPath(name)] = true
	}
}

// FromValue returns the object that a document consists of. Err returns an error if the document is of another type.
func FromValue(v *fastjson.Value) Object {
	o := Object{value: v, errors: &errorList{}}
	if v.Type() != fastjson.TypeObject {
		o.Fail("", "is not an object")
	}
	return o
}

// Err returns the errors found so far in the whole document: nil, a *KeyError, or several of them joined.
func (o Object) Err() error {
	switch {
	case o.errors == nil || len(o.errors.errors) == 0:
		return nil
	case len(o.errors.errors) == 1:
		return o.errors.errors[0]
	}
	return errors.Join(o.errors.errors...)
}

// Fail records a problem with a key, worded to follow the key's name, as in "is not a number".
func (o Object) Fail(name, problem string) {
	if o.errors != nil {
		o.errors.add(o.keyPath(name), problem)
	}
}

// TrackLocations makes later errors name the location of their key, and records which keys are read from now on. location
// returns an empty string for a key that the tracked file does not hold.
func (o Object) TrackLocations(location func(key string) string) {
	o.errors.location, o.errors.readKeys = location, map[string]bool{}
}

// WasRead reports whether the key with a path was looked up since TrackLocations, whether or not the document holds it.
func (o Object) WasRead(key string) bool { return o.errors.readKeys[key] }

// keyPath returns the whole path of a key of the object; an empty name stands for the object itself.
func (o Object) keyPath(name string) string {
	switch path := o.path.text(o.index); {
	case path == "":
		return name
	case name == "":
		return path
	default:
		return path + "." + name
	}
}
