package discovery

import (
	"bytes"
	"errors"

	"github.com/valyala/fastjson"

	"hillknot/internal/jsonfields"
)

// parser reads events from their JSON text. Its memory is used again for the next one, so that changes of the list, which come
// by thousands in a release, cost little. The zero value is ready.
type parser struct{ json fastjson.Parser }

// wholeMost is how many bytes of an event are parsed in one go. A longer one is a list of a large fleet: its lines are
// parsed one by one, as all at once would take ten times the memory of the text.
const wholeMost = 16 << 10

// parse reads one event. Nothing of the text is kept.
func (p *parser) parse(text []byte) (Event, error) {
	if len(text) > wholeMost {
		if around, lines, ok := cutInstances(text); ok {
			return p.parseLines(around, lines)
		}
		p = &parser{} // memory for a long event is not kept
	}
	o, err := p.object(text)
	if err != nil {
		return Event{}, err
	}
	e := read(o)
	return e, o.Err()
}

// parseLines reads an event whose instances were cut out.
func (p *parser) parseLines(around, lines []byte) (Event, error) {
	o, err := p.object(around)
	if err != nil {
		return Event{}, err
	}
	e := read(o)
	if err := o.Err(); err != nil {
		return Event{}, err
	}
	for len(lines) > 0 {
		line, rest, err := cutObject(lines)
		if err != nil {
			return Event{}, err
		}
		host, err := p.object(line)
		if err != nil {
			return Event{}, err
		}
		e.Hosts = append(e.Hosts, readHost(host))
		if err := host.Err(); err != nil {
			return Event{}, err
		}
		lines = rest
	}
	return e, nil
}

func (p *parser) object(text []byte) (jsonfields.Object, error) {
	v, err := p.json.ParseBytes(text)
	if err != nil {
		return jsonfields.Object{}, err
	}
	return jsonfields.Of(v), nil
}

var (
	instancesKey = []byte(`"instances":[`)
	errCutList   = errors.New("the list of instances is cut")
)

// cutInstances cuts the lines of a list out of an event: around is the event without them. It knows the form that journals
// write, with nothing between key and list; what else there is must be parsed whole.
func cutInstances(text []byte) (around, lines []byte, ok bool) {
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

// cutObject cuts the first object off a list of objects, with the comma behind it.
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
				rest, err := behindComma(list[i+1:])
				return list[:i+1], rest, err
			}
		}
	}
	return nil, nil, errCutList
}

func behindComma(list []byte) ([]byte, error) {
	list = bytes.TrimSpace(list)
	if len(list) == 0 {
		return nil, nil
	}
	rest := bytes.TrimSpace(list[1:])
	if list[0] != ',' || len(rest) == 0 {
		return nil, errCutList
	}
	return rest, nil
}
