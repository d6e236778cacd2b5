package loadtest

import (
	"math/rand/v2"
	"syscall"
	"time"
)

// The platform may kill a router this long after SIGTERM: the longest deadline, counted as soakMaxCountedDeadline at most, and
// soakKillDelay more.
const (
	soakMaxCountedDeadline = 3 * time.Second
	soakKillDelay          = 700 * time.Millisecond
)

// soakDeadlines are the longest deadlines of all classes, of which each seed has one. 0 stands for the usual ones.
var soakDeadlines = []time.Duration{0, time.Second, 1500 * time.Millisecond}

// soakMaxDeadline returns the longest deadline of all classes in the run of a seed, or 0 for the usual ones.
func soakMaxDeadline(seed uint64) time.Duration {
	return soakDeadlines[seed%uint64(len(soakDeadlines))]
}

// exitTimeout returns how long a router has to end after SIGTERM before it is killed.
func (s *soakRun) exitTimeout() time.Duration {
	if s.maxDeadline > 0 {
		return min(s.maxDeadline, soakMaxCountedDeadline) + soakKillDelay
	}
	return soakMaxCountedDeadline + soakKillDelay
}

// signalStep is one signal of a series, and the time until the next.
type signalStep struct {
	signal syscall.Signal
	wait   time.Duration
}

// signalSeries is a series of signals, at least one of which is SIGTERM.
type signalSeries struct {
	name  string
	steps []signalStep
}

// soakSignalGap is the time between two immediately successive signals of a series.
const soakSignalGap = 10 * time.Millisecond

// atOnce returns the steps of signals that are sent in immediate succession.
func atOnce(signals ...syscall.Signal) (steps []signalStep) {
	for _, signal := range signals {
		steps = append(steps, signalStep{signal, soakSignalGap})
	}
	return steps
}

// drawSignalSeries returns a random series of signals after which a router ends.
func drawSignalSeries(random *rand.Rand) signalSeries {
	const hup, term, stop, resume = syscall.SIGHUP, syscall.SIGTERM, syscall.SIGSTOP, syscall.SIGCONT
	pause := time.Duration(100+random.IntN(1400)) * time.Millisecond
	series := []signalSeries{
		{"term", atOnce(term)},
		{"term+hup", atOnce(term, hup, hup)},
		{"hups+term", atOnce(hup, hup, hup, hup, hup, hup, hup, term)},
		{"terms", atOnce(term, term, hup, term)},
		{"stop+term", append(atOnce(stop), signalStep{term, pause}, signalStep{resume, 0})},
		{"hup+stop+term", append(atOnce(hup, stop, hup), signalStep{term, pause}, signalStep{resume, 0})},
		{"term+stop", append(atOnce(term), signalStep{stop, pause}, signalStep{resume, soakSignalGap}, signalStep{term, 0})},
	}
	return series[random.IntN(len(series))]
}

// send sends the signals of a series to a router, and returns when the first SIGTERM was sent.
func (s *soakRun) send(r *Router, series signalSeries) (terminated time.Time) {
	for _, step := range series.steps {
		if step.signal == syscall.SIGTERM && terminated.IsZero() {
			terminated = time.Now()
		}
		switch step.signal {
		case syscall.SIGSTOP:
			s.recordStop(r)
		case syscall.SIGCONT:
			s.recordResume(r)
		}
		r.Signal(step.signal)
		time.Sleep(step.wait)
	}
	return terminated
}

// terminateRouter restarts a router with SIGTERM, now and then twice in a row.
func (s *soakRun) terminateRouter(random *rand.Rand) string {
	return s.withRouter(random, func(r *Router) string {
		if random.IntN(3) == 0 { // some page caches hang through the whole shutdown
			for _, cache := range s.soakCaches[:1+random.IntN(len(s.soakCaches))] {
				cache.misbehave(modeHang, s.exitTimeout())
			}
		}
		series := drawSignalSeries(random)
		s.awaitExit(r, s.send(r, series))
		s.startProcess(r)
		if random.IntN(4) == 0 { // the next restart comes shortly after the process is back
			time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
			s.awaitExit(r, s.send(r, signalSeries{steps: atOnce(syscall.SIGTERM)}))
			s.startProcess(r)
			return series.name + "+again " + r.ListenAddress
		}
		return series.name + " " + r.ListenAddress
	})
}

// awaitExit waits until a router has ended after SIGTERM. After exitTimeout it kills the router, as the platform may.
// Requests that are lost by such a kill are not excused.
func (s *soakRun) awaitExit(r *Router, terminated time.Time) {
	defer s.finishMonitor(r)
	exited := make(chan error, 1)
	go func() { exited <- r.wait() }()
	select {
	case err := <-exited:
		if err != nil {
			s.reportProcessError("%s: failed to exit cleanly after SIGTERM: %v", r.ListenAddress, err)
		}
	case <-time.After(s.exitTimeout() - time.Since(terminated)):
		r.Signal(syscall.SIGKILL)
		s.reportProcessError("%s: still running, so killed %v after SIGTERM", r.ListenAddress, time.Since(terminated))
		<-exited
	}
}

// recordStop records that a router's process is about to be stopped.
func (s *soakRun) recordStop(r *Router) {
	address := r.ListenAddress
	s.history.update(func() { s.history.stops[address] = append(s.history.stops[address], interval{start: time.Now()}) })
}

// recordResume records that a stopped process is about to continue. It is called before the process continues, so that
// nothing is counted as late by mistake.
func (s *soakRun) recordResume(r *Router) {
	address := r.ListenAddress
	s.history.update(func() {
		stops := s.history.stops[address]
		stops[len(stops)-1].end = time.Now()
	})
}
