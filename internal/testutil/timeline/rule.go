package timeline

import (
	"fmt"
	"path"
	"slices"
	"strings"
)

// Rule says in which order events have to happen. Its texts are patterns of Event.String, in which * stands for anything.
type Rule struct {
	After string   // the rule applies after the first such event; empty: from the start
	Then  []string // these follow in this order, with any others between them
	Never []string // none of these follows
}

// Check returns an error that says which part of a rule is broken, with the timeline up to that point.
func (t Timeline) Check(rule Rule) error {
	start := 0
	if rule.After != "" {
		i := t.index(rule.After)
		if i < 0 {
			return fmt.Errorf("no event matches %q:\n%s", rule.After, t.Draw())
		}
		start = i + 1
	}
	following := t[start:]
	for _, pattern := range rule.Never {
		if i := following.index(pattern); i >= 0 {
			return fmt.Errorf("after %q there is %q:\n%s", rule.After, following[i], t[:start+i+1].Draw())
		}
	}
	for _, pattern := range rule.Then {
		i := following.index(pattern)
		if i < 0 {
			return fmt.Errorf("after %q no %q follows:\n%s", rule.After, pattern, t.Draw())
		}
		following = following[i+1:]
	}
	return nil
}

// index returns the index of the first event that matches a pattern; -1: there is none.
func (t Timeline) index(pattern string) int {
	return slices.IndexFunc(t, func(e Event) bool { return e.matches(pattern) })
}

// matches reports whether an event matches a pattern. A slash in its text, which * would not match, counts as a colon.
func (e Event) matches(pattern string) bool {
	matched, err := path.Match(pattern, strings.ReplaceAll(e.String(), "/", ":"))
	return err == nil && matched
}
