package state

import (
	"maps"
	"slices"
)

const (
	processesKept = 4  // of each router in a count: the latest
	saidAtATime   = 16 // counts said in one beat
)

// writer is a process of a router. Each writes its own part of a count, which only grows.
type writer struct {
	name    string
	process uint64
}

// count is a grow-only counter: merged part by part by the larger, so that what is heard late, twice or by way of
// others changes nothing. Of each router the latest processes count, the same for all who have heard of them.
type count struct {
	parts map[writer]uint64
	said  uint64 // own part as it was said last
}

// IncrementCounter adds to this router's part of a count.
func (s *State) IncrementCounter(key string, n uint64) {
	if c := s.count(key); c != nil {
		c.parts[writer{s.set.Self, s.set.Process}] += n
	}
}

func (s *State) count(key string) *count {
	c := s.counts[key]
	if c == nil && len(s.counts) < countsMost && validName(key) {
		c = &count{parts: map[writer]uint64{}}
		s.counts[key] = c
	}
	return c
}

// CounterTotal is a count over all routers, as far as this one has heard.
func (s *State) CounterTotal(key string) (n uint64) {
	if c := s.counts[key]; c != nil {
		for _, v := range c.parts {
			n += v
		}
	}
	return n
}

// CounterKeys are the keys that were counted, in order.
func (s *State) CounterKeys() []string { return slices.Sorted(maps.Keys(s.counts)) }

func (s *State) beatCounts() {
	left := saidAtATime
	for _, key := range s.CounterKeys() {
		c, self := s.counts[key], writer{s.set.Self, s.set.Process}
		if v := c.parts[self]; v != c.said && left > 0 {
			left--
			c.said = v
			s.say("", "count "+key, Message{Kind: KindCounterUpdate, Key: key, Value: v})
		}
	}
}

func (s *State) heardCount(m Message) {
	w := writer{m.From, m.Process}
	if m.From == s.set.Self && m.Process >= s.set.Process { // nobody else writes our part
		return
	}
	c := s.count(m.Key)
	if c == nil {
		return
	}
	if _, known := c.parts[w]; !known {
		others := map[string]bool{}
		var older []uint64
		for o := range c.parts {
			if others[o.name] = true; o.name == w.name {
				older = append(older, o.process)
			}
		}
		if len(older) == 0 && len(others) >= s.set.ClusterSize+namesMost {
			return
		}
		if slices.Sort(older); len(older) >= processesKept {
			if w.process < older[0] {
				return
			}
			delete(c.parts, writer{w.name, older[0]})
		}
	}
	c.parts[w] = max(c.parts[w], m.Value)
}

func (s *State) wholeCounts() (all []Message) {
	for _, key := range s.CounterKeys() {
		for w, v := range s.counts[key].parts {
			all = append(all, Message{Kind: KindCounterUpdate, From: w.name, Process: w.process, Key: key, Value: v})
		}
	}
	return all
}
