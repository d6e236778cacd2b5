package discovery

import (
	"bytes"
	"errors"
)

var (
	instancesKey     = []byte(`"instances":[`)
	errTruncatedList = errors.New("the list of instances is truncated")
)

// splitInstances cuts the instances of a list out of an event: envelope is the event without them. It knows the form
// that the service writes, with nothing between key and list; an event in another form must be parsed at once.
func splitInstances(text []byte) (envelope, instances []byte, ok bool) {
	at := bytes.Index(text, instancesKey)
	if at < 0 {
		return nil, nil, false
	}
	begin := at + len(instancesKey)
	end := bytes.LastIndexByte(text, ']')
	if end < begin || bytes.Contains(text[:at], []byte(`\"`)) || bytes.ContainsAny(text[end:], `"[{`) {
		return nil, nil, false
	}
	return append(bytes.Clone(text[:begin]), text[end:]...), bytes.TrimSpace(text[begin:end]), true
}

// cutObject cuts the first object off a list of objects, with the comma that follows it.
func cutObject(list []byte) (object, rest []byte, err error) {
	depth, quoted := 0, false
	for i := 0; i < len(list); i++ {
		switch c := list[i]; {
		case quoted && c == '\\':
			i++ // what follows is a part of the string
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == '{':
			depth++
		case c == '}':
			if depth--; depth == 0 {
				rest, err := afterComma(list[i+1:])
				return list[:i+1], rest, err
			}
		}
	}
	return nil, nil, errTruncatedList
}

// afterComma returns the rest of a list after the comma that follows an object.
func afterComma(list []byte) ([]byte, error) {
	list = bytes.TrimSpace(list)
	if len(list) == 0 {
		return nil, nil
	}
	rest := bytes.TrimSpace(list[1:])
	if list[0] != ',' || len(rest) == 0 {
		return nil, errTruncatedList
	}
	return rest, nil
}
