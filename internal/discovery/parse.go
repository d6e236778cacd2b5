package discovery

import (
	"github.com/valyala/fastjson"

	"hillknot/internal/jsonfields"
)

// eventParser reads events from their JSON text. Its memory is used again for the next one, so that changes of the
// list, which come by thousands in a release, cost little. The zero value is ready.
type eventParser struct{ json fastjson.Parser }

// maxSinglePass is how many bytes of an event are parsed at once. A longer one is a list of a large cluster: its
// instances are parsed one by one, as all at once would take ten times the memory of the text.
const maxSinglePass = 16 << 10

// parse reads one event. Nothing of the text is kept.
func (p *eventParser) parse(text []byte) (event, error) {
	if len(text) > maxSinglePass {
		if envelope, instances, ok := splitInstances(text); ok {
			return p.parseInstances(envelope, instances)
		}
		p = &eventParser{} // memory for a long event is not kept
	}
	o, err := p.object(text)
	if err != nil {
		return event{}, err
	}
	e := readEvent(o)
	return e, o.Err()
}

// parseInstances reads an event whose instances were cut out.
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

func (p *eventParser) object(text []byte) (jsonfields.Object, error) {
	v, err := p.json.ParseBytes(text)
	if err != nil {
		return jsonfields.Object{}, err
	}
	return jsonfields.FromValue(v), nil
}
