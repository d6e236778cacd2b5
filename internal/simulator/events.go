package simulator

import (
	"encoding/base64"
	"errors"
	"fmt"

	"hillknot/balancer"
	"hillknot/internal/config/settings"
)

// decoders holds, by the name of a line, the function that decodes its fields into an event of package balancer. A decoder
// that returns nil only validates the line. Errors are kept in the fields.
var decoders = map[string]func(*Reader, *fields) balancer.Event{
	"REGISTRY":       (*Reader).endpointUpdate,
	"NEW_REQUEST":    func(_ *Reader, f *fields) balancer.Event { return f.request() },
	"WITHDRAWN_COPY": func(_ *Reader, f *fields) balancer.Event { return f.purge() },
	"RESOLVED":       func(_ *Reader, f *fields) balancer.Event { return f.outcome() },
	"GONE":           func(_ *Reader, f *fields) balancer.Event { return balancer.ClientAborted{ID: f.requestID()} },
	"HEADERS":        func(_ *Reader, f *fields) balancer.Event { return f.responseStarted() },
	"REMINDER": func(_ *Reader, f *fields) balancer.Event {
		return balancer.Timer{Token: f.uint("cookie", 63, required)}
	},
	"CHECKED":   func(_ *Reader, f *fields) balancer.Event { return f.healthCheck() },
	"NOTE_FROM": func(_ *Reader, f *fields) balancer.Event { return f.peerNote() },
}

// decodeEvent decodes a line of a batch that is neither part of an endpoint list nor the end of the batch.
func (r *Reader) decodeEvent(name string, f *fields) (Event, error) {
	ev := Event{Instance: f.text("i", required), Line: r.line}
	switch name {
	case "CREATE":
		ev.Create = f.settings()
		return ev, f.err
	case "HALT":
		ev.Halt = true
		return ev, f.err
	}
	decode := decoders[name]
	if decode == nil {
		return ev, errors.New("unknown event")
	}
	ev.Event = decode(r, f)
	return ev, f.err
}

// settings decodes the settings with which an instance is created.
func (f *fields) settings() *balancer.Settings {
	f.uint("nonce64", 64, required) // a seed, which is not needed: package balancer draws no random numbers
	s, err := settings.Parse(f.text("conf", required))
	if err != nil {
		f.fail(fmt.Errorf("conf: %w", err))
	}
	return &s
}

// endpointUpdate decodes an update that refers to a numbered endpoint list read before.
func (r *Reader) endpointUpdate(f *fields) balancer.Event {
	form := f.text("form", required)
	switch form {
	case "FAILED":
		return balancer.EndpointUpdate{Failed: true}
	case "FULL", "SAVED", "INCREMENTAL":
	default:
		f.fail(fmt.Errorf("unknown form %q", form))
	}
	id := f.uint("rosterId", 63, required)
	list, ok := r.lists[id]
	if !ok {
		f.fail(fmt.Errorf("list %d was not sent before", id))
	}
	return balancer.EndpointUpdate{Complete: form != "INCREMENTAL", Endpoints: list}
}

func (f *fields) request() balancer.Request {
	return balancer.Request{
		ID: f.requestID(), Class: f.text("grade", required), Object: f.hex("file", optional),
		Part: f.uint("rangeNo", 64, optional), Group: f.uint("group", 64, optional),
		Remaining: f.micros("remainingUs", required), SizeKB: f.number("kbytes"),
		Write: f.flag("update"), Retry: f.flag("isRetry"),
	}
}

// purge decodes the purge of one object if the line names an object, and otherwise of a group, which it must name.
func (f *fields) purge() balancer.Purge {
	byObject := f.has("file")
	group := optional
	if !byObject {
		group = required
	}
	return balancer.Purge{
		ByGroup: !byObject, Object: f.hex("file", optional), Group: f.uint("setNo", 64, group),
		Age: f.micros("ageSpanUs", optional),
	}
}

func (f *fields) outcome() balancer.Outcome {
	return balancer.Outcome{
		ID: f.requestID(), Attempt: f.attempt(), Endpoint: f.endpointID(), Status: f.status(),
		Elapsed: f.micros("tookUs", optional), SourceWait: f.micros("upstreamWaitUs", optional),
		Answered: f.flag("settled"), Detail: balancer.Detail(f.uint("remark", 8, optional)),
	}
}

func (f *fields) responseStarted() balancer.ResponseStarted {
	return balancer.ResponseStarted{ID: f.requestID(), Attempt: f.attempt(), Endpoint: f.endpointID()}
}

// healthCheck validates the result of a health check and drops it: package balancer requests no health checks.
func (f *fields) healthCheck() balancer.Event {
	f.endpointID()
	f.status()
	return nil
}

// peerNote validates a message from another router and drops it: the routers in the simulator share no state.
func (f *fields) peerNote() balancer.Event {
	f.uint("originPeer", 31, required)
	if content := f.text("content", optional); content != "" && content != "-" {
		if _, err := base64.StdEncoding.DecodeString(content); err != nil {
			f.fail(fmt.Errorf("content: %w", err))
		}
	}
	return nil
}

func (f *fields) requestID() balancer.RequestID {
	return balancer.RequestID(f.uint("id", 52, required))
}

func (f *fields) endpointID() balancer.EndpointID {
	return balancer.EndpointID(f.uint("node", 32, required))
}

func (f *fields) attempt() int { return int(f.uint("copy", 31, optional)) }

// endpoint decodes an ITEM line.
func (f *fields) endpoint() balancer.Endpoint {
	return balancer.Endpoint{
		ID:        f.endpointID(),
		Kind:      f.text("flavor", optional),
		Zone:      f.text("hall", optional),
		Cell:      int(f.uint("stripe", 31, optional)),
		Weight:    f.number("capacityHint"),
		StartedAt: f.micros("startTimeUs", optional),
		State:     f.endpointState(),
	}
}

func (f *fields) endpointState() balancer.EndpointState {
	switch s := f.text("state", required); s {
	case "in_service":
		return balancer.InService
	case "terminating":
		return balancer.Draining
	case "terminated":
		return balancer.Removed
	default:
		f.fail(fmt.Errorf("unknown state %q", s))
		return 0
	}
}

// statuses maps the numbers of the field "how" of a line, which says how an attempt ended, to statuses.
var statuses = map[uint64]balancer.Status{
	200: balancer.OK,
	404: balancer.Miss,
	410: balancer.NotSent,
	499: balancer.Cancelled,
	500: balancer.Error,
	502: balancer.ConnectFailed,
	503: balancer.Rejected,
	504: balancer.TimedOut,
	598: balancer.Reset,
}

func (f *fields) status() balancer.Status {
	how := f.uint("how", 31, required)
	s, ok := statuses[how]
	if !ok {
		f.fail(fmt.Errorf("unknown outcome %d", how))
	}
	return s
}
