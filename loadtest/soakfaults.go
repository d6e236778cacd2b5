package loadtest

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

// injectedFault describes a fault that was injected.
type injectedFault struct {
	begun, ended time.Time
	description  string // the first word is the kind
}

// soakFault injects one fault and waits for its end. It returns a description whose first word is the kind of the fault, or
// an empty string if it did nothing.
type soakFault func(*rand.Rand) string

// injectFaults injects one random fault after another until a time. Faults that are listed several times are drawn more
// often.
func (s *soakRun) injectFaults(random *rand.Rand, until time.Time) {
	faults := []soakFault{s.pauseRouter, s.pauseRouter, s.terminateRouter, s.terminateRouter, s.terminateRouter, s.killRouter,
		s.reloadRouter, s.misbehave, s.misbehave, s.resetCache, s.drainCache, s.drainCache, s.purgeObject, s.purgeObject,
		s.pauseDiscovery, s.breakDiscovery}
	if hasFloods(s.seed) {
		faults = append(faults, s.floodRouter, s.floodRouter)
	}
	for time.Now().Before(until) {
		begun := time.Now()
		if description := faults[random.IntN(len(faults))](random); description != "" {
			s.mu.Lock()
			s.faults = append(s.faults, injectedFault{begun, time.Now(), description})
			s.mu.Unlock()
		}
		time.Sleep(time.Duration(20+random.IntN(300)) * time.Millisecond)
	}
}

// reportProcessError records that a router did not exit or start as it should.
func (s *soakRun) reportProcessError(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processErrors = append(s.processErrors, fmt.Sprintf(format, args...))
}

// withRouter draws a router and calls inject for it. It returns an empty string if another fault uses the router.
func (s *soakRun) withRouter(random *rand.Rand, inject func(*Router) string) string {
	r := s.Routers[random.IntN(len(s.Routers))]
	s.mu.Lock()
	inUse := s.routersInUse[r]
	s.routersInUse[r] = true
	s.mu.Unlock()
	if inUse {
		return ""
	}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.routersInUse, r)
	}()
	return inject(r)
}

// pauseRouter stops a router's process for a while, and then lets it continue.
func (s *soakRun) pauseRouter(random *rand.Rand) string {
	return s.withRouter(random, func(r *Router) string {
		length := time.Duration(50+random.IntN(1150)) * time.Millisecond
		s.recordStop(r)
		r.Signal(syscall.SIGSTOP)
		time.Sleep(length)
		s.recordResume(r)
		r.Signal(syscall.SIGCONT)
		return fmt.Sprintf("stop %s for %v", r.ListenAddress, length)
	})
}

// killRouter kills a router with SIGKILL and starts it again. The requests that it had accepted are lost.
func (s *soakRun) killRouter(random *rand.Rand) string {
	return s.withRouter(random, func(r *Router) string {
		address := r.ListenAddress
		s.history.update(func() { s.history.kills[address] = append(s.history.kills[address], time.Now()) })
		if r.Kill(); r.endedByItself() {
			s.reportProcessError("%s: had ended by itself before it was killed: %v", address, r.process.ProcessState)
		}
		s.finishMonitor(r)
		s.startProcess(r)
		return "kill " + address
	})
}

// startProcess starts a router with the configuration of its first start. The router receives the changes since then when it
// calls the discovery service.
func (s *soakRun) startProcess(r *Router) {
	address := r.ListenAddress
	s.history.update(func() { s.history.starts[address] = append(s.history.starts[address], time.Now()) })
	if err := r.Start(); err != nil {
		s.reportProcessError("%s: did not start again: %v", address, err)
	}
	s.startMonitor(r)
}

// reloadRouter makes a router reload its configuration, one to six times in a row.
func (s *soakRun) reloadRouter(random *rand.Rand) string {
	return s.withRouter(random, func(r *Router) string {
		for range 1 + random.IntN(6) {
			r.Signal(syscall.SIGHUP)
			time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
		}
		return "reload " + r.ListenAddress
	})
}

// misbehave makes a page cache misbehave for a while.
func (s *soakRun) misbehave(random *rand.Rand) string {
	cache := s.soakCaches[random.IntN(len(s.soakCaches))]
	mode := cacheMode(1 + random.IntN(int(modeCount)-1))
	length := time.Duration(200+random.IntN(2500)) * time.Millisecond
	cache.misbehave(mode, length)
	time.Sleep(length / 2)
	return mode.String() + " " + cache.name
}

// resetCache resets all connections of a page cache.
func (s *soakRun) resetCache(random *rand.Rand) string {
	cache := s.soakCaches[random.IntN(len(s.soakCaches))]
	cache.ResetConns()
	return "reset " + cache.name
}

// drainCache publishes that a page cache drains or is gone, and after a while that it is back as a new process.
func (s *soakRun) drainCache(random *rand.Rand) string {
	cache := s.soakCaches[random.IntN(s.settings.Caches)]
	s.mu.Lock()
	alreadyDraining := s.drainingCaches[cache]
	s.drainingCaches[cache] = true
	s.mu.Unlock()
	if alreadyDraining {
		return ""
	}
	state := []string{stateDraining, stateGone}[random.IntN(2)]
	s.publishDrain(cache, state)
	time.Sleep(time.Duration(1000+random.IntN(3000)) * time.Millisecond)
	s.publishReturn(cache)
	s.mu.Lock()
	delete(s.drainingCaches, cache)
	s.mu.Unlock()
	return state + " " + cache.name
}

// publishDrain publishes that a page cache drains or is gone, and then records that at once.
func (s *soakRun) publishDrain(cache *soakCache, state string) {
	s.publishEndpoints(cache.listEntry(state))
	s.history.update(func() {
		s.history.drains[cache.name] = append(s.history.drains[cache.name], interval{start: time.Now()})
	})
}

// publishReturn publishes that a page cache is back. It records the end of the drain right before the event, and the start of
// the new process right after it.
func (s *soakRun) publishReturn(cache *soakCache) {
	s.history.update(func() {
		drains := s.history.drains[cache.name]
		drains[len(drains)-1].end = time.Now()
	})
	e := cache.listEntry(stateReady)
	e.StartedAtMillis = time.Now().UnixMilli()
	s.publishEndpoints(e)
	s.history.update(func() {
		s.history.returns[cache.name] = append(s.history.returns[cache.name], time.UnixMilli(e.StartedAtMillis))
	})
}

// purgeObject publishes a purge of a random page.
func (s *soakRun) purgeObject(random *rand.Rand) string {
	object := objectName(random.Uint64N(soakItems))
	at := time.Now()
	s.publishPurge(object, at)
	s.history.update(func() { s.history.purges[object] = append(s.history.purges[object], at) })
	return "purge " + object
}

// pauseDiscovery takes the discovery service down for a while.
func (s *soakRun) pauseDiscovery(random *rand.Rand) string {
	length := time.Duration(100+random.IntN(700)) * time.Millisecond
	s.recordOutage(length)
	s.discovery.StartOutage(length)
	return "outage"
}

// breakDiscovery closes the streams of the discovery service.
func (s *soakRun) breakDiscovery(*rand.Rand) string {
	s.recordOutage(0)
	s.discovery.CloseStreams()
	return "break"
}

func (s *soakRun) recordOutage(length time.Duration) {
	now := time.Now()
	s.history.update(func() { s.history.outages = append(s.history.outages, interval{now, now.Add(length)}) })
}
