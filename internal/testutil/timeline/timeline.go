// Package timeline draws what several processes did as text, one column a node and one row an event, and holds it against
// patterns of order. Tests and the laboratory use it; the router does not.
package timeline

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"path"
	"slices"
	"strings"
	"time"
)

// Event is something that happened at a node.
type Event struct {
	Node    string
	Time    time.Duration // on a clock that all share
	Action  string
	Subject string // the order, or whatever it was about
	Peer    string // the other node of a message
	Fault   bool   // it struck the node from outside
}

// String is what patterns are held against: the node, what it did, of what, and with whom.
func (e Event) String() string {
	return strings.Join(slices.DeleteFunc([]string{e.Node, e.Action, e.Subject, e.Peer}, func(s string) bool { return s == "" }), " ")
}

// Line is events in order.
type Timeline []Event

// causes are pairs of ends of what nodes do: the first, at one node, comes before the second at its peer, of the same thing.
var causes = [][2]string{{"said", "kept"}, {"kept", "held"}}

// Sort puts events into order: by time, but an effect never before its cause, whatever the clocks say.
func Sort(events []Event) Timeline {
	l := slices.Clone(events)
	slices.SortStableFunc(l, func(a, b Event) int { return int(a.Time - b.Time) })
	for i := 0; i < len(l); i++ {
		for j := i + 1; j < len(l); j++ {
			if l[j].causes(l[i]) && !slices.ContainsFunc(l[:i], func(e Event) bool { return e.causes(l[i]) }) {
				cause := l[j]
				copy(l[i+1:j+1], l[i:j])
				l[i] = cause
			}
		}
	}
	return l
}

func (e Event) causes(o Event) bool {
	if e.Subject == "" || e.Subject != o.Subject || e.Node != o.Peer || e.Peer != o.Node {
		return false
	}
	return slices.ContainsFunc(causes, func(c [2]string) bool {
		a, okA := strings.CutSuffix(e.Action, " "+c[0])
		b, okB := strings.CutSuffix(o.Action, " "+c[1])
		return okA && okB && a == b
	})
}

// Read reads the events of a node from its log in JSON: the lines whose message is the given one, with the attributes step,
// request_id and peer. What is no such line is passed over.
func ReadLog(node, msg string, log io.Reader) (events []Event, err error) {
	in := bufio.NewScanner(log)
	in.Buffer(nil, 1<<20)
	for in.Scan() {
		var l struct {
			Time            time.Time
			Msg, Step, Peer string
			RequestID       string `json:"request_id"`
		}
		if json.Unmarshal(in.Bytes(), &l) == nil && l.Msg == msg {
			events = append(events, Event{Node: node, Time: time.Duration(l.Time.UnixNano()), Action: l.Step, Subject: l.RequestID, Peer: l.Peer})
		}
	}
	if err := in.Err(); err != nil {
		return nil, fmt.Errorf("log of %s: %w", node, err)
	}
	return events, nil
}

// About keeps what is about some things, about none at all, or faults.
func (l Timeline) About(of ...string) Timeline {
	return slices.DeleteFunc(slices.Clone(l), func(e Event) bool { return e.Subject != "" && !e.Fault && !slices.Contains(of, e.Subject) })
}

// Draw draws the line: a column for each node, in the order given, or as they appear; times count from the first event, in
// milliseconds. A fault stands between stars.
func (l Timeline) Draw(nodes ...string) string {
	for _, e := range l {
		if !slices.Contains(nodes, e.Node) {
			nodes = append(nodes, e.Node)
		}
	}
	cells, wide := make([]string, len(l)), make([]int, len(nodes))
	for i, n := range nodes {
		wide[i] = len(n)
	}
	for i, e := range l {
		cells[i] = strings.TrimPrefix(e.String(), e.Node+" ")
		if e.Fault {
			cells[i] = "*** " + e.Action + " ***"
		}
		col := slices.Index(nodes, e.Node)
		wide[col] = max(wide[col], len(cells[i]))
	}
	var b strings.Builder
	row := func(at string, col int, text func(i int) string) {
		var line strings.Builder
		fmt.Fprintf(&line, "%8s", at)
		for i := range nodes {
			s := ""
			if col < 0 || col == i {
				s = text(i)
			}
			fmt.Fprintf(&line, " | %-*s", wide[i], s)
		}
		b.WriteString(strings.TrimRight(line.String(), " ") + "\n")
	}
	row("ms", -1, func(i int) string { return nodes[i] })
	for i, e := range l {
		row(fmt.Sprintf("%.1f", (e.Time-l[0].Time).Seconds()*1000), slices.Index(nodes, e.Node), func(int) string { return cells[i] })
	}
	return b.String()
}

// Rule says in which order things have to happen. Its texts are patterns of Event.String, in which * stands for anything.
type Rule struct {
	After string   // it holds from the first such event on; empty: from the start
	Then  []string // these follow, in this order, others between them
	Never []string // none of these follows
}

// Check tells which part of a rule does not hold, with the events that led to it.
func (l Timeline) Check(r Rule) error {
	rest := l
	if r.After != "" {
		i := slices.IndexFunc(l, func(e Event) bool { return match(r.After, e) })
		if i < 0 {
			return fmt.Errorf("nothing is as %q:\n%s", r.After, l.Draw())
		}
		rest = l[i+1:]
	}
	for _, never := range r.Never {
		if i := slices.IndexFunc(rest, func(e Event) bool { return match(never, e) }); i >= 0 {
			return fmt.Errorf("after %q there is %q:\n%s", r.After, rest[i], l[:len(l)-len(rest)+i+1].Draw())
		}
	}
	from := rest
	for _, then := range r.Then {
		i := slices.IndexFunc(from, func(e Event) bool { return match(then, e) })
		if i < 0 {
			return fmt.Errorf("after %q no %q follows:\n%s", r.After, then, l.Draw())
		}
		from = from[i+1:]
	}
	return nil
}

func match(pattern string, e Event) bool {
	ok, err := path.Match(pattern, strings.ReplaceAll(e.String(), "/", ":"))
	return err == nil && ok
}
