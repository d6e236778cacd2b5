package loadtest

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

// soakExit is how long a router has after SIGTERM: the longest deadline, taken as 3 s, and 0.7 s.
const soakExit = 3700 * time.Millisecond

// makeTrouble makes one trouble after the other until a time.
func (s *soak) makeTrouble(rnd *rand.Rand, until time.Time) {
	kinds := []func(*rand.Rand) string{s.stopRouter, s.stopRouter, s.endRouter, s.killRouter, s.reloadRouter, s.misbehave, s.misbehave,
		s.resetCache, s.drainCache, s.drainCache, s.purgeObject, s.purgeObject, s.pauseJournal, s.breakJournal}
	for time.Now().Before(until) {
		what := kinds[rnd.IntN(len(kinds))](rnd)
		s.mu.Lock()
		if what != "" {
			s.trouble = append(s.trouble, what)
		}
		s.mu.Unlock()
		time.Sleep(time.Duration(20+rnd.IntN(300)) * time.Millisecond)
	}
}

func (s *soak) fault(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, fmt.Sprintf(format, args...))
}

// claim takes a router for one trouble alone; nil: it has one already.
func (s *soak) claim(rnd *rand.Rand) *Router {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.Routers[rnd.IntN(len(s.Routers))]
	if r.busy {
		return nil
	}
	r.busy = true
	return r
}

func (s *soak) release(r *Router) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.busy = false
}

// stopRouter has a router's process stand still.
func (s *soak) stopRouter(rnd *rand.Rand) string {
	r := s.claim(rnd)
	if r == nil {
		return ""
	}
	defer s.release(r)
	length := time.Duration(50+rnd.IntN(1150)) * time.Millisecond
	s.stopWhile(r, length, func() {})
	return fmt.Sprintf("stop %v", length)
}

// stopWhile has a router's process stand still for a while, as which something happens to it.
func (s *soak) stopWhile(r *Router, length time.Duration, happen func()) {
	s.history.change(func() {
		s.history.stops[r.ListenAddress] = append(s.history.stops[r.ListenAddress], span{from: time.Now()})
	})
	r.Signal(syscall.SIGSTOP)
	happen()
	time.Sleep(length)
	s.history.change(func() { // noted before it goes on, so that nothing is taken to be late that is not
		all := s.history.stops[r.ListenAddress]
		all[len(all)-1].to = time.Now()
	})
	r.Signal(syscall.SIGCONT)
}

// endRouter restarts a router by SIGTERM.
func (s *soak) endRouter(rnd *rand.Rand) string {
	r := s.claim(rnd)
	if r == nil {
		return ""
	}
	defer s.release(r)
	begun := time.Now()
	how := "term"
	switch rnd.IntN(4) {
	case 0:
		r.Signal(syscall.SIGTERM)
		r.Signal(syscall.SIGHUP)
	case 1: // it comes while the process stands still
		how = "stop+term"
		s.stopWhile(r, time.Duration(100+rnd.IntN(1400))*time.Millisecond, func() { begun = time.Now(); r.Signal(syscall.SIGTERM) })
	default:
		r.Signal(syscall.SIGTERM)
	}
	if err := r.cmd.Wait(); err != nil {
		s.fault("%s: exit after SIGTERM: %v", r.ListenAddress, err)
	}
	if took := time.Since(begun); took > soakExit {
		s.fault("%s: took %v to end after SIGTERM", r.ListenAddress, took)
	}
	s.restart(r)
	return how
}

// killRouter restarts a router by SIGKILL. What it had taken is lost with it.
func (s *soak) killRouter(rnd *rand.Rand) string {
	r := s.claim(rnd)
	if r == nil {
		return ""
	}
	defer s.release(r)
	s.history.change(func() { s.history.deaths[r.ListenAddress] = append(s.history.deaths[r.ListenAddress], time.Now()) })
	r.Kill()
	s.restart(r)
	return "kill"
}

// restart starts a router again, from the configuration of its first start: it hears what has changed since as it calls the
// journal.
func (s *soak) restart(r *Router) {
	s.history.change(func() { s.history.starts[r.ListenAddress] = append(s.history.starts[r.ListenAddress], time.Now()) })
	if err := r.Start(); err != nil {
		s.fault("%s: not started again: %v", r.ListenAddress, err)
	}
}

func (s *soak) reloadRouter(rnd *rand.Rand) string {
	r := s.claim(rnd)
	if r == nil {
		return ""
	}
	defer s.release(r)
	for range 1 + rnd.IntN(3) {
		r.Signal(syscall.SIGHUP)
	}
	return "reload"
}

// misbehave has a page cache answer badly for a while.
func (s *soak) misbehave(rnd *rand.Rand) string {
	c := s.soakCaches[rnd.IntN(len(s.soakCaches))]
	mode := soakMode(1 + rnd.IntN(int(soakModes)-1))
	length := time.Duration(200+rnd.IntN(2500)) * time.Millisecond
	c.behave(mode, length)
	time.Sleep(length / 2)
	return soakModeNames[mode] + " " + c.id
}

func (s *soak) resetCache(rnd *rand.Rand) string {
	c := s.soakCaches[rnd.IntN(len(s.soakCaches))]
	c.reset()
	return "reset " + c.id
}

// drainCache has the journal tell that a page cache drains, and after a while that it is back as another process.
func (s *soak) drainCache(rnd *rand.Rand) string {
	i := rnd.IntN(s.set.Caches)
	c := s.soakCaches[i]
	s.mu.Lock()
	claimed := !c.draining
	c.draining = true
	s.mu.Unlock()
	if !claimed {
		return ""
	}
	state := []string{"draining", "gone"}[rnd.IntN(2)]
	s.tellCache(c, state, 0, func() { s.history.drains[c.id] = append(s.history.drains[c.id], span{from: time.Now()}) })
	time.Sleep(time.Duration(1000+rnd.IntN(3000)) * time.Millisecond)
	s.tellCache(c, "ready", time.Now().UnixMilli(), func() {
		all := s.history.drains[c.id]
		all[len(all)-1].to = time.Now()
	})
	s.mu.Lock()
	c.draining = false
	s.mu.Unlock()
	return state + " " + c.id
}

// tellCache has the journal tell the state of a page cache; note is called right before for what is back, and right after
// for what is to be left alone.
func (s *soak) tellCache(c *soakCache, state string, startedAtMs int64, note func()) {
	text, err := json.Marshal(scaleHost(c.id, c.addr(), state, startedAtMs))
	if err != nil {
		panic(err) // texts and numbers can be written
	}
	if state == "ready" {
		s.history.change(note)
	}
	s.Publish(`"hosts":{"generation":1,"reset":false,"instances":[%s]}`, text)
	if state != "ready" {
		s.history.change(note)
	}
}

// purgeObject has the journal tell of a purge.
func (s *soak) purgeObject(rnd *rand.Rand) string {
	object := fmt.Sprintf("%016x", rnd.Uint64N(400))
	at := time.Now()
	s.Publish(`"expire":{"name":%q,"stamp":%d}`, object, at.UnixMilli())
	s.history.change(func() { s.history.purges[object] = append(s.history.purges[object], at) })
	return "purge " + object
}

func (s *soak) pauseJournal(rnd *rand.Rand) string {
	length := time.Duration(100+rnd.IntN(700)) * time.Millisecond
	s.outage(length)
	s.journal.StartOutage(length)
	return "outage"
}

func (s *soak) breakJournal(*rand.Rand) string {
	s.outage(0)
	s.journal.CloseStreams()
	return "break"
}

func (s *soak) outage(length time.Duration) {
	now := time.Now()
	s.history.change(func() { s.history.outages = append(s.history.outages, span{now, now.Add(length)}) })
}
