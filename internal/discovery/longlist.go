package discovery

import (
	"bytes"
	"errors"
)

var (
	instancesKey     = []byte(`"instances":[`)
	errTruncatedList = errors.New("list of instances is truncated or malformed")
)

// splitInstances splits an event into its instances and the envelope, which is the event with an empty list of instances.
// It recognizes the form that the service writes, which has no space between key and list. For any other form ok is false,
// and the event must be parsed in a single pass.
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

// cutObject splits a list of objects into its first object and the rest without the comma between them. It returns
// errTruncatedList if the object has no end, or if what follows it is neither the end of the list nor a comma and more.
func cutObject(list []byte) (object, rest []byte, err error) {
	depth, quoted := 0, false
	for i := 0; i < len(list); i++ {
		switch c := list[i]; {
		case quoted && c == '\\':
			i++ // the escaped character is part of the string
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

// afterComma returns what follows the comma at the start of list, or nil if list is empty. It returns errTruncatedList if
// list begins otherwise, or nothing follows the comma.
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
