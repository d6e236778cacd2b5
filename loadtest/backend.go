package loadtest

import (
	"fmt"
	"sync"
	"time"

	"hillknot/internal/testutil/fakes"
)

const (
	backendMinDelay   = 5 * time.Millisecond
	backendScoreSize  = 24 << 10 // bytes
	backendPageSize   = 4 << 10  // bytes
	backendQueueTime  = 0.25     // seconds of work that can be queued
	backendMaxWork    = 0.5      // seconds of queued work at most, rejections included
	backendRejectCost = 0.1      // of a rejection, as a fraction of the work of a served request
)

// Backend answers requests on behalf of all endpoints of a fleet, and counts them.
type Backend struct {
	OnRequest func(fakes.Request) // called with each request unless nil; set it before the first request

	mu         sync.Mutex
	load       BackendLoad
	work       float64        // queued work, in requests
	updated    time.Time      // when work was last computed
	Requests   int            // read it after the fleet is closed
	Executions map[string]int // how often each order ran, by object; read it after the fleet is closed
}

// ran returns how often the order of an item ran. Call it after the fleet is closed.
func (b *Backend) ran(item uint64) int { return b.Executions[objectName(item)] }

// BackendLoad describes how the endpoints of a fleet behave.
type BackendLoad struct {
	RejectAll bool
	Delay     time.Duration // of each answer, in addition to backendMinDelay
	Rate      float64       // requests a second that the endpoints can serve; 0: no limit
}

// Set changes how the endpoints behave.
func (b *Backend) Set(load BackendLoad) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.load, b.work, b.updated = load, 0, time.Now()
}

// answer counts a request, and returns the reply to it.
func (b *Backend) answer(request fakes.Request) fakes.Reply {
	if b.OnRequest != nil {
		b.OnRequest(request)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Requests++
	wait, admitted := b.admit()
	if !admitted {
		return fakes.Reply{Status: "WAIT"}
	}
	result, body := "cached", make([]byte, backendPageSize)
	switch request.Fields["kind"] {
	case classOrder:
		b.Executions[request.Fields["obj"]]++
		result, body = "fetched_root", nil
	case classScore:
		body = make([]byte, backendScoreSize)
	}
	return fakes.Reply{Status: "DONE", Body: body, Delay: backendMinDelay + b.load.Delay + wait,
		Fields: fmt.Sprintf("res=%s,version=1,stamp=%d", result, time.Now().UnixMilli())}
}

// admit queues a request, and returns how long it waits in the queue. The request is not admitted if the endpoints reject all
// requests or the queue is full. With a limited rate, a rejection adds work to the queue as well.
func (b *Backend) admit() (wait time.Duration, admitted bool) {
	rate := b.load.Rate
	if rate <= 0 {
		return 0, !b.load.RejectAll
	}
	now := time.Now()
	b.work = max(0, b.work-now.Sub(b.updated).Seconds()*rate)
	b.updated = now
	if b.load.RejectAll || b.work >= rate*backendQueueTime {
		b.work = min(b.work+backendRejectCost, rate*backendMaxWork)
		return 0, false
	}
	b.work++
	return time.Duration(b.work / rate * float64(time.Second)), true
}
