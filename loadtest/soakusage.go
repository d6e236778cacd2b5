package loadtest

import (
	"net"
	"time"
)

// connUsage is how a client uses a connection.
type connUsage uint8

const (
	usageSteady     connUsage = iota // one request after the other, with pauses
	usageResting                     // a request, a rest until the router ends the connection, and another request about then
	usagePipelining                  // many requests at once
	usageSlowReader                  // many requests at once, whose answers are read slowly
	usageCount
)

const (
	soakPipelineDepth = 8
	soakPipelinePause = 400 * time.Millisecond
	soakRestLength    = 5 * time.Second        // the router ends a connection that is idle for this long
	soakRestSpread    = 100 * time.Millisecond // maximum deviation from soakRestLength
	soakSlowReadBytes = 8 << 10                // bytes read at a time by a client that reads slowly
	soakSlowReadPause = 20 * time.Millisecond
	soakSteadyEvery   = 2 // one connection in this many is used steadily, the others in a random way
)

func (c *soakClient) drawUsage() connUsage {
	if c.random.IntN(soakSteadyEvery) == 0 {
		return usageSteady
	}
	return connUsage(c.random.IntN(int(usageCount)))
}

// use sends requests on the connection until it ends, stop is closed, or enough requests are sent.
func (s *soakConn) use(usage connUsage, stop <-chan struct{}) {
	switch usage {
	case usageResting:
		s.rest(stop)
	case usagePipelining, usageSlowReader:
		s.pipeline(stop)
	default:
		s.sendSteadily(stop)
	}
}

// wait waits for a length of time. It returns false if the connection ends or stop is closed meanwhile.
func (s *soakConn) wait(length time.Duration, stop <-chan struct{}) bool {
	select {
	case <-stop:
		return false
	case <-s.readerDone:
		return false
	case <-time.After(length):
		return true
	}
}

// rest sends a request, and another one about the time when the router ends the idle connection.
func (s *soakConn) rest(stop <-chan struct{}) {
	s.send(1)
	spread := time.Duration(s.client.random.Int64N(int64(2 * soakRestSpread)))
	if s.wait(soakRestLength-soakRestSpread+spread, stop) {
		s.send(2)
	}
	s.awaitAnswers()
}

// pipeline sends soakPipelineDepth requests at once, and again after each pause.
func (s *soakConn) pipeline(stop <-chan struct{}) {
	for first := uint64(1); first <= soakConnRequests; first += soakPipelineDepth {
		for id := first; id < first+soakPipelineDepth; id++ {
			s.send(id)
		}
		if !s.wait(soakPipelinePause, stop) {
			break
		}
	}
	s.awaitAnswers()
}

// slowReader is a connection whose bytes are read slowly.
type slowReader struct{ net.Conn }

// Read implements io.Reader.
func (r slowReader) Read(buffer []byte) (int, error) {
	time.Sleep(soakSlowReadPause)
	return r.Conn.Read(buffer[:min(len(buffer), soakSlowReadBytes)])
}
