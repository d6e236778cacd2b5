// Package timeline shows what several processes did as text, with a column for each node and a row for each event, and checks
// in which order events happened. Tests and the load tests use it; the router does not.
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

// maxLogLine bounds a line of a log, in bytes.
const maxLogLine = 1 << 20

// Event is something that happened at a node.
type Event struct {
	Node    string
	Time    time.Duration // on a clock that all nodes share
	Action  string
	Subject string // the order that it is about; empty: none
	Peer    string // the other node of a message; empty: none
	Fault   bool   // it was done to the node from outside
}

// String returns the text that patterns are matched with: the node, its action, the subject and the peer.
func (e Event) String() string {
	parts := []string{e.Node, e.Action, e.Subject, e.Peer}
	return strings.Join(slices.DeleteFunc(parts, func(part string) bool { return part == "" }), " ")
}

// Timeline is events in the order in which they happened.
type Timeline []Event

// messageSuffixes are the last words of actions that belong to one exchange of messages: an action that ends in the first
// word, at one node, causes the one that ends in the second, at its peer and about the same subject.
var messageSuffixes = []struct{ cause, effect string }{{"said", "kept"}, {"kept", "held"}}

// Sort returns events in order: by time, but an effect never before its cause, even where the clocks of the nodes differ.
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

// causes reports whether an event causes another one.
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

// causedByAny reports whether one of some events causes this one.
func (e Event) causedByAny(events []Event) bool {
	return slices.ContainsFunc(events, func(cause Event) bool { return cause.causes(e) })
}

// ReadLog reads the events of a node from its log in JSON: the lines with a message, whose attributes step, request_id and
// peer become the action, the subject and the peer. It skips all other lines.
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
		return nil, fmt.Errorf("log of %s: %w", node, err)
	}
	return events, nil
}

// About returns the events that are about some subjects, those without a subject, and faults.
func (t Timeline) About(subjects ...string) Timeline {
	return slices.DeleteFunc(slices.Clone(t), func(e Event) bool {
		return e.Subject != "" && !e.Fault && !slices.Contains(subjects, e.Subject)
	})
}
