package timeline

import (
	"fmt"
	"path"
	"slices"
	"strings"
)

// Rule states the order in which events have to happen. Its texts are patterns that are matched with Event.String; * matches
// any sequence of characters.
type Rule struct {
	After string   // the rule applies to the events after the first match; empty: to all events
	Then  []string // these have to follow in this order, with any others between them
	Never []string // none of these may follow
}

// Check returns an error if the events break the rule. The error says which part is broken and holds a drawing of the
// timeline: for an event of Never up to that event, otherwise the whole timeline.
func (t Timeline) Check(rule Rule) error {
	start := 0
	if rule.After != "" {
		i := t.indexOfMatch(rule.After)
		if i < 0 {
			return fmt.Errorf("no event matches %q:\n%s", rule.After, t.Draw())
		}
		start = i + 1
	}
	following := t[start:]
	for _, pattern := range rule.Never {
		if i := following.indexOfMatch(pattern); i >= 0 {
			return fmt.Errorf("after %q, the forbidden event %q follows:\n%s", rule.After, following[i], t[:start+i+1].Draw())
		}
	}
	for _, pattern := range rule.Then {
		i := following.indexOfMatch(pattern)
		if i < 0 {
			return fmt.Errorf("after %q, no event that matches %q follows in order:\n%s", rule.After, pattern, t.Draw())
		}
		following = following[i+1:]
	}
	return nil
}

// indexOfMatch returns the index of the first event that matches a pattern, or -1 if there is none.
func (t Timeline) indexOfMatch(pattern string) int {
	return slices.IndexFunc(t, func(e Event) bool { return e.matches(pattern) })
}

// matches reports whether an event matches a pattern. It matches slashes in the event's text as colons, because * does not
// match a slash.
func (e Event) matches(pattern string) bool {
	matched, err := path.Match(pattern, strings.ReplaceAll(e.String(), "/", ":"))
	return err == nil && matched
}
