package jsonfields

import (
	"errors"
	"fmt"

	"github.com/valyala/fastjson"
)

// KeyError says what is wrong with one key.
type KeyError struct {
	Location string // file, line and column of the key in what a person wrote; empty: unknown
	Key      string // the whole path, as in "settings.profiles[0].name"
	Problem  string // as in "is no number"
}

// Error implements error.
func (e *KeyError) Error() string {
	location := ""
	if e.Location != "" {
		location = e.Location + ": "
	}
	return fmt.Sprintf("%skey %q %s", location, e.Key, e.Problem)
}

// maxErrors bounds the errors that are kept of a document.
const maxErrors = 100

// errorList holds the errors of a document: the first one of each key.
type errorList struct {
	errors   []error
	seen     map[string]bool
	location func(key string) string // nil: locations are unknown
	readKeys map[string]bool         // the keys that were asked for; nil: they are not kept
}

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

// markRead keeps that a key of an object was asked for. The path is written out only where that is kept.
func (l *errorList) markRead(o Object, name string) {
	if l.readKeys != nil {
		l.readKeys[o.key(name)] = true
	}
}

// FromValue returns the object that a document holds.
func FromValue(v *fastjson.Value) Object {
	o := Object{value: v, errors: &errorList{}}
	if v.Type() != fastjson.TypeObject {
		o.Fail("", "is no object")
	}
	return o
}

// Err returns the errors met in the document so far: nil, a *KeyError, or several of them joined.
func (o Object) Err() error {
	switch {
	case o.errors == nil || len(o.errors.errors) == 0:
		return nil
	case len(o.errors.errors) == 1:
		return o.errors.errors[0]
	}
	return errors.Join(o.errors.errors...)
}

// Fail reports a problem with a key, worded to follow the key's name, as in "is no number".
func (o Object) Fail(name, problem string) {
	if o.errors != nil {
		o.errors.add(o.key(name), problem)
	}
}

// TrackLocations makes errors name the location of their key, which is empty for keys that stand elsewhere, and keeps
// which keys are read from now on.
func (o Object) TrackLocations(location func(key string) string) {
	o.errors.location, o.errors.readKeys = location, map[string]bool{}
}

// WasRead tells whether a key was asked for since TrackLocations.
func (o Object) WasRead(key string) bool { return o.errors.readKeys[key] }

// key writes out the whole path of a key.
func (o Object) key(name string) string {
	switch path := o.path.text(o.index); {
	case path == "":
		return name
	case name == "":
		return path
	default:
		return path + "." + name
	}
}
