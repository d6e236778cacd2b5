// Package timeline draws the events of several processes as text, with a column for each node and a row for each event, and
// checks the order in which events happened. Tests and the load tests use it; the router does not.
package timeline

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLogLine is the largest accepted length of a line of a log, in bytes.
const maxLogLine = 1 << 20

// Event is an event that happened at a node.
type Event struct {
	Node    string
	Time    time.Duration // on a clock that all nodes share
	Action  string
	Subject string // id of the order that the event is about; empty: none
	Peer    string // the other node of a message; empty: none
	Fault   bool   // the event is a fault that was caused from outside the node, such as a kill
}

// String returns the text that patterns are matched with: the node, the action, the subject and the peer, separated by spaces,
// without those that are empty.
func (e Event) String() string {
	parts := []string{e.Node, e.Action, e.Subject, e.Peer}
	return strings.Join(slices.DeleteFunc(parts, func(part string) bool { return part == "" }), " ")
}

// Timeline is a list of events in the order in which they happened.
type Timeline []Event

// messageSuffixes lists the pairs of last words of actions that belong to one exchange of messages. An action that ends in
// cause, at one node, causes the action that is the same except that it ends in effect, at the node's peer and about the same
// subject.
var messageSuffixes = []struct{ cause, effect string }{{"said", "kept"}, {"kept", "held"}}

// Sort returns the events in the order of their times, except that an effect never precedes its cause, even if the clocks of
// the nodes differ.
func Sort(events []Event) Timeline {
	sorted := slices.Clone(events)
	slices.SortStableFunc(sorted, func(a, b Event) int { return int(a.Time - b.Time) })
	for i := 0; i < len(sorted); i++ {
		for j := i + 1; j < len(sorted); j++ {
			if sorted[j].causes(sorted[i]) && !sorted[i].causedByAny(sorted[:i]) {
				cause := sorted[j]
				copy(sorted[i+1:j+1], sorted[i:j])
				sorted[i] = cause
			}
		}
	}
	return sorted
}

// causes reports whether the event e causes effect.
func (e Event) causes(effect Event) bool {
	if e.Subject == "" || e.Subject != effect.Subject || e.Node != effect.Peer || e.Peer != effect.Node {
		return false
	}
	for _, suffix := range messageSuffixes {
		causeStem, isCause := strings.CutSuffix(e.Action, " "+suffix.cause)
		effectStem, isEffect := strings.CutSuffix(effect.Action, " "+suffix.effect)
		if isCause && isEffect && causeStem == effectStem {
			return true
		}
	}
	return false
}

// causedByAny reports whether any of the given events causes e.
func (e Event) causedByAny(events []Event) bool {
	return slices.ContainsFunc(events, func(cause Event) bool { return cause.causes(e) })
}

// ReadLog reads the events of a node from its JSON log. Each line with the given message is an event, whose action, subject
// and peer are the attributes step, request_id and peer. ReadLog skips all other lines. It returns an error if reading the
// log fails or a line is too long.
func ReadLog(node, message string, log io.Reader) ([]Event, error) {
	var events []Event
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		var line struct {
			Time            time.Time
			Msg, Step, Peer string
			RequestID       string `json:"request_id"`
		}
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil || line.Msg != message {
			continue
		}
		events = append(events, Event{Node: node, Time: time.Duration(line.Time.UnixNano()), Action: line.Step,
			Subject: line.RequestID, Peer: line.Peer})
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("read log of %s: %w", node, err)
	}
	return events, nil
}

// About returns the events that are about one of the subjects, those without a subject, and all faults.
func (t Timeline) About(subjects ...string) Timeline {
	return slices.DeleteFunc(slices.Clone(t), func(e Event) bool {
		return e.Subject != "" && !e.Fault && !slices.Contains(subjects, e.Subject)
	})
}
