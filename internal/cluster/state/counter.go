package state

import (
	"maps"
	"slices"
)

const (
	maxProcessesPerRouter = 4  // latest processes of each router whose parts a counter holds
	maxCountersPerTick    = 16 // counters that are sent in one tick
)

// counter is a grow-only counter (G-counter). Each process writes only its own part, which never decreases. Parts are
// merged by taking the larger value, so messages that arrive late, twice or through other routers change nothing. Of
// each router only the latest processes count, which are the same for all routers that have received their parts.
type counter struct {
	parts    map[process]uint64
	lastSent uint64 // value of this process's part when it was last sent
}

// IncrementCounter adds an increment to this process's part of a counter. It does nothing if there is no room for another
// counter or the key is not a valid name.
func (s *State) IncrementCounter(key string, increment uint64) {
	if c := s.openCounter(key); c != nil {
		c.parts[s.self()] += increment
	}
}

// openCounter returns a counter and creates it if needed. It returns nil if there is no room for another one or the key
// is not a valid name.
func (s *State) openCounter(key string) *counter {
	c := s.counters[key]
	if c == nil && len(s.counters) < maxCounters && validName(key) {
		c = &counter{parts: map[process]uint64{}}
		s.counters[key] = c
	}
	return c
}

// CounterTotal returns the sum of all parts of a counter that this router has received.
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

// broadcastCounters sends this process's part of up to maxCountersPerTick counters that have changed.
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
	if s.fromThisProcess(update.writer) { // no other process writes this one's part
		return
	}
	c := s.openCounter(update.counter)
	if c == nil || !c.admitWriter(update.writer, s.settings.ClusterSize+maxExtraRouters) {
		return
	}
	c.parts[update.writer] = max(c.parts[update.writer], update.value)
}

// fromThisProcess reports whether the sender of a received message claims to be this process, or a later one of this
// router.
func (s *State) fromThisProcess(sender process) bool {
	return sender.router == s.settings.Self && sender.number >= s.settings.Process
}

// admitWriter makes room for a process's part, which may replace the part of the oldest process of its router. It
// returns false if the process is older than all of its router's processes that the counter holds, or if the counter
// has parts of too many routers.
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

// counterMessages returns messages with all parts of all counters.
func (s *State) counterMessages() []Message {
	var all []Message
	for _, key := range s.CounterKeys() {
		for writer, value := range s.counters[key].parts {
			all = append(all, counterUpdate{writer: writer, counter: key, value: value}.message())
		}
	}
	return all
}
