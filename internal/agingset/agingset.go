// Package agingset provides a set whose members are forgotten after a time, in bounded memory.
package agingset

import (
	"maps"
	"slices"
	"time"
)

// maxMembers is the maximum number of members of each generation. It prevents a peer that adds members as fast as it can from
// exhausting the memory.
const maxMembers = 1 << 12

// Set is a set of strings. It holds a member for one to two times the retention that is given as it is added, or for less if there
// are very many: it keeps two generations, and Add drops the older one whenever it starts a new one. The zero value is an empty
// set. A Set is not safe for concurrent use.
type Set struct {
	current, previous map[string]bool // generations
	rotatedAt         time.Duration
}

// Add adds a member at the time now.
func (s *Set) Add(member string, now, retention time.Duration) {
	if s.current == nil || now-s.rotatedAt > retention || len(s.current) >= maxMembers {
		s.current, s.previous, s.rotatedAt = map[string]bool{}, s.current, now
	}
	s.current[member] = true
}

// Contains reports whether the set holds a member.
func (s *Set) Contains(member string) bool { return s.current[member] || s.previous[member] }

// Members returns all members, in no particular order.
func (s *Set) Members() []string {
	members := slices.Collect(maps.Keys(s.current))
	return slices.AppendSeq(members, maps.Keys(s.previous))
}
