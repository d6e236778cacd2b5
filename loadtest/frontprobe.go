package loadtest

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	probeFrontInterval = 100 * time.Millisecond // between two probes of a front end
	probeFrontTimeout  = time.Second            // in which each front end has to answer, under any load
)

// probeResult counts the probes of one front end.
type probeResult struct {
	sent, unanswered int
	longest          time.Duration // until an answer
}

// String formats the result for a table.
func (r probeResult) String() string {
	return fmt.Sprintf("%d, %d, %v", r.sent, r.unanswered, r.longest.Round(time.Millisecond))
}

// frontProbe calls a front end again and again, as an operator, a load balancer or a resolver does.
type frontProbe struct {
	network, address string
	request          []byte
	complete         func(answer []byte) bool

	stopped chan struct{}
	caller  sync.WaitGroup
	result  probeResult // used only by the caller's goroutine until it has ended
}

// startFrontProbes starts a probe of the operators' address, of the agent check and of DNS over UDP, in this order.
func startFrontProbes(r *Router) []*frontProbe {
	probes := []*frontProbe{
		{network: "tcp", address: r.addressOf(adminPort), request: []byte("GET /status HTTP/1.1\r\nHost: x\r\n\r\n"),
			complete: func(answer []byte) bool { return strings.HasPrefix(string(answer), "HTTP/1.1 200") }},
		{network: "tcp", address: r.addressOf(floodAgentCheckPort),
			complete: func(answer []byte) bool { return strings.HasSuffix(string(answer), "\n") }},
		{network: "udp", address: r.addressOf(floodDNSPort), request: appendQuery(nil, 1),
			complete: func(answer []byte) bool { return len(answer) > 0 }},
	}
	for _, p := range probes {
		p.stopped = make(chan struct{})
		p.caller.Go(p.run)
	}
	return probes
}

// stop ends the probe and returns what it saw.
func (p *frontProbe) stop() probeResult {
	close(p.stopped)
	p.caller.Wait()
	return p.result
}

func (p *frontProbe) run() {
	for {
		select {
		case <-p.stopped:
			return
		case <-time.After(probeFrontInterval):
		}
		begun := time.Now()
		p.result.sent++
		if p.call(begun.Add(probeFrontTimeout)) {
			p.result.longest = max(p.result.longest, time.Since(begun))
		} else {
			p.result.unanswered++
		}
	}
}

// call makes one call, and reports whether the answer is complete in time.
func (p *frontProbe) call(deadline time.Time) bool {
	conn, err := net.DialTimeout(p.network, p.address, time.Until(deadline))
	if err != nil {
		return false
	}
	defer conn.Close()
	if conn.SetDeadline(deadline) != nil {
		return false
	}
	if _, err := conn.Write(p.request); err != nil {
		return false
	}
	answer := make([]byte, 0, maxResponseHeader)
	for !p.complete(answer) {
		n, err := conn.Read(answer[len(answer):cap(answer)])
		answer = answer[:len(answer)+n]
		if err != nil && (err != io.EOF || !p.complete(answer)) {
			return false
		}
	}
	return true
}
