package agingset

import (
	"slices"
	"strconv"
	"testing"
	"time"
)

// A member is held for at least the retention, and no longer than twice that once others are added.
func TestMembersAreForgotten(t *testing.T) {
	var s Set
	if s.Contains("a") || len(s.Members()) > 0 {
		t.Error("the zero value has members")
	}
	const retention = time.Second
	s.Add("a", time.Hour, retention)
	s.Add("b", time.Hour+retention, retention)
	s.Add("c", time.Hour+retention+1, retention)
	if members := s.Members(); !s.Contains("a") || !s.Contains("b") || len(members) != 3 || !slices.Contains(members, "a") {
		t.Errorf("members %v, want a, b and c", members)
	}
	s.Add("d", time.Hour+2*retention+2, retention)
	if s.Contains("a") || s.Contains("b") || !s.Contains("c") || !s.Contains("d") {
		t.Errorf("members %v, want c and d", s.Members())
	}
}

// However many members are added, a bounded number is held, the latest ones among them.
func TestMembersAreBounded(t *testing.T) {
	var s Set
	const added = 5 * maxMembers
	for i := range added {
		s.Add(strconv.Itoa(i), time.Hour, time.Hour)
	}
	if n := len(s.Members()); n > 2*maxMembers {
		t.Errorf("%d members, want %d at most", n, 2*maxMembers)
	}
	for i := added - maxMembers; i < added; i++ {
		if !s.Contains(strconv.Itoa(i)) {
			t.Fatalf("member %d of %d is forgotten", i, added)
		}
	}
}
