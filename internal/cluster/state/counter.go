package state

import (
	"maps"
	"slices"
)

const (
	maxProcessesPerRouter = 4  // of each router in a counter: the latest
	maxCountersPerTick    = 16 // that are sent in one tick
)

// counter is a grow-only counter (G-counter). Each process writes its own part, which only grows; parts are merged by
// the larger value, so that messages that come late, twice or through other routers change nothing. Of each router
// the latest processes count, the same for all who have heard of them.
type counter struct {
	parts    map[process]uint64
	lastSent uint64 // this process's part as it was sent last
}

// IncrementCounter adds n to this router's part of a counter.
func (s *State) IncrementCounter(key string, n uint64) {
	if c := s.openCounter(key); c != nil {
		c.parts[s.self()] += n
	}
}

// openCounter returns a counter, a new one if need be, or nil where there is no room for another one.
func (s *State) openCounter(key string) *counter {
	c := s.counters[key]
	if c == nil && len(s.counters) < maxCounters && validName(key) {
		c = &counter{parts: map[process]uint64{}}
		s.counters[key] = c
	}
	return c
}

// CounterTotal returns a counter's value over all routers, as far as this one has heard.
func (s *State) CounterTotal(key string) uint64 {
	c := s.counters[key]
	if c == nil {
		return 0
	}
	total := uint64(0)
	for _, value := range c.parts {
		total += value
	}
	return total
}

// CounterKeys returns the keys of all counters, in order.
func (s *State) CounterKeys() []string { return slices.Sorted(maps.Keys(s.counters)) }

// broadcastCounters sends this router's part of some counters that have changed.
func (s *State) broadcastCounters() {
	remaining := maxCountersPerTick
	for _, key := range s.CounterKeys() {
		c := s.counters[key]
		value := c.parts[s.self()]
		if value == c.lastSent || remaining == 0 {
			continue
		}
		remaining--
		c.lastSent = value
		update := counterUpdate{writer: s.self(), counter: key, value: value}
		s.broadcast(counterReplacePrefix+key, update.message())
	}
}

func (s *State) receiveCounterUpdate(update counterUpdate) {
	if s.fromThisProcess(update.writer) { // nobody else writes our part
		return
	}
	c := s.openCounter(update.counter)
	if c == nil || !c.admitWriter(update.writer, s.settings.ClusterSize+maxExtraRouters) {
		return
	}
	c.parts[update.writer] = max(c.parts[update.writer], update.value)
}

// fromThisProcess returns whether a message that came from outside claims to be of this process, or of a later one of
// this router.
func (s *State) fromThisProcess(sender process) bool {
	return sender.router == s.settings.Self && sender.number >= s.settings.Process
}

// admitWriter makes room for a process's part, in place of the oldest one of its router. It returns false where the
// process is older than those, or where there are too many routers.
func (c *counter) admitWriter(writer process, maxRouters int) bool {
	if _, known := c.parts[writer]; known {
		return true
	}
	routers := map[string]bool{}
	var sameRouter []uint64
	for p := range c.parts {
		routers[p.router] = true
		if p.router == writer.router {
			sameRouter = append(sameRouter, p.number)
		}
	}
	if len(sameRouter) == 0 {
		return len(routers) < maxRouters
	}
	if len(sameRouter) < maxProcessesPerRouter {
		return true
	}
	oldest := slices.Min(sameRouter)
	if writer.number < oldest {
		return false
	}
	delete(c.parts, process{writer.router, oldest})
	return true
}

// counterMessages returns all parts of all counters.
func (s *State) counterMessages() []Message {
	var all []Message
	for _, key := range s.CounterKeys() {
		for writer, value := range s.counters[key].parts {
			all = append(all, counterUpdate{writer: writer, counter: key, value: value}.message())
		}
	}
	return all
}
