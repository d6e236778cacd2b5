package discovery

import (
	"errors"

	"github.com/valyala/fastjson"

	"hillknot/internal/jsonfields"
)

// eventParser parses events from JSON text. It reuses its memory from one event to the next, which keeps the thousands of
// endpoint changes in a release cheap. The zero value is ready to use.
type eventParser struct{ json fastjson.Parser }

// maxSinglePass is the length, in bytes, up to which an event is parsed in a single pass. A longer event is the endpoint
// list of a large installation. Its instances are parsed one by one, because a single pass would take ten times the memory
// of the text.
const maxSinglePass = 16 << 10

// parse parses one event. The event does not refer to the text. An error comes from the JSON parser, from jsonfields, or is
// errTruncatedList.
func (p *eventParser) parse(text []byte) (event, error) {
	if len(text) > maxSinglePass {
		if envelope, instances, ok := splitInstances(text); ok {
			return p.parseInstances(envelope, instances)
		}
		p = &eventParser{} // a parser of its own, so that p does not keep the memory for a long event
	}
	o, err := p.object(text)
	if err != nil {
		return event{}, err
	}
	e := readEvent(o)
	return e, o.Err()
}

// parseInstances parses an event that splitInstances has split.
func (p *eventParser) parseInstances(envelope, instances []byte) (event, error) {
	o, err := p.object(envelope)
	if err != nil {
		return event{}, err
	}
	e := readEvent(o)
	if err := o.Err(); err != nil {
		return event{}, err
	}
	for len(instances) > 0 {
		text, rest, err := cutObject(instances)
		if err != nil {
			return event{}, err
		}
		instance, err := p.object(text)
		if err != nil {
			return event{}, err
		}
		e.endpoints.updates = append(e.endpoints.updates, readEndpoint(instance))
		if err := instance.Err(); err != nil {
			return event{}, err
		}
		instances = rest
	}
	return e, nil
}

// maxValues is the maximum number of JSON values in a text that is parsed in a single pass. The values of very many short fields take
// some twenty times the memory of their text, and far more until it is collected. The longest list that a service may send has
// 3,200 instances of ten fields.
const maxValues = 40_000

// errTooManyValues is returned for a text with more than maxValues values.
var errTooManyValues = errors.New("too many fields")

// countValues returns at least the number of JSON values in a text.
func countValues(text []byte) (count int) {
	for _, c := range text {
		if c == ',' || c == '[' || c == '{' {
			count++
		}
	}
	return count
}

// object parses one JSON object. It is valid until the next call.
func (p *eventParser) object(text []byte) (jsonfields.Object, error) {
	if len(text) > maxValues && countValues(text) > maxValues {
		return jsonfields.Object{}, errTooManyValues
	}
	v, err := p.json.ParseBytes(text)
	if err != nil {
		return jsonfields.Object{}, err
	}
	return jsonfields.FromValue(v), nil
}
