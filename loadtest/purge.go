package loadtest

import (
	"fmt"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"hillknot/internal/rpc"
	"hillknot/internal/testutil/fakes"
)

// PurgeResult counts the requests that a router sent to endpoints for purged objects, after its process was stopped during
// the purge.
type PurgeResult struct {
	Rounds   int // times that the router was stopped, with a purge meanwhile
	Requests int // for purged objects, after the purge
	Stale    int // those of Requests that would have accepted a copy from before the purge

	StaleDetails []string // a description of each stale request
}

const (
	purgeConns            = 12 // client connections in a round, each for one request
	purgeConnsBeforeStop  = 4  // those that send before the router is stopped
	purgeConnsBeforePurge = 8  // those that send before the purge; the rest send after it
	purgeTimeout          = 3 * time.Second
)

// PurgeDuringStop stops a router's process while requests are in flight, as the scheduler may do. It sends the router a purge
// between further requests, and lets the process continue. It repeats this for a number of rounds.
func PurgeDuringStop(program string, rounds int) (PurgeResult, error) {
	fleet, err := StartFleet(program, independentFleet(1, true))
	if err != nil {
		return PurgeResult{}, err
	}
	defer fleet.Close()
	recorder := &purgeRecorder{}
	fleet.Backend.OnRequest = recorder.record
	if err := fleet.waitForDiscovery(); err != nil {
		return PurgeResult{}, err
	}
	for round := range rounds {
		if err := fleet.purgeRound(recorder, round); err != nil {
			return recorder.snapshot(round), err
		}
	}
	return recorder.snapshot(rounds), nil
}

// waitForDiscovery waits until the router has called the discovery service.
func (f *Fleet) waitForDiscovery() error {
	for end := time.Now().Add(20 * time.Second); f.discovery.BytesSent() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("router %s did not call the discovery service in time", f.Routers[0].ListenAddress)
		}
	}
	return nil
}

// purgeRound stops the router once, and meanwhile purges an object that belongs to this round alone.
func (f *Fleet) purgeRound(recorder *purgeRecorder, round int) error {
	router := f.Routers[0]
	requests := &purgeRequests{item: uint64(round + 1)}
	recorder.startRound(objectName(requests.item))
	if err := requests.connect(router.ListenAddress); err != nil {
		return err
	}
	defer requests.close()
	time.Sleep(5 * time.Millisecond)
	if err := requests.send(0, purgeConnsBeforeStop); err != nil {
		return err
	}
	time.Sleep(time.Duration(round%8) * 200 * time.Microsecond) // the stop comes at a different moment in successive rounds
	router.Signal(syscall.SIGSTOP)
	time.Sleep(50 * time.Millisecond)
	if err := requests.send(purgeConnsBeforeStop, purgeConnsBeforePurge); err != nil {
		return err
	}
	f.publishPurge(objectName(requests.item), recorder.markPurged())
	if err := requests.send(purgeConnsBeforePurge, purgeConns); err != nil {
		return err
	}
	time.Sleep(600 * time.Millisecond)
	recorder.markResumed()
	router.Signal(syscall.SIGCONT)
	time.Sleep(100 * time.Millisecond)
	return nil
}

// purgeRequests are the requests of a round, each on a connection of its own.
type purgeRequests struct {
	item  uint64
	conns []net.Conn
}

func (p *purgeRequests) connect(address string) error {
	for range purgeConns {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			p.close()
			return err
		}
		p.conns = append(p.conns, conn)
	}
	return nil
}

// send sends a request on each connection from index from to index to, which is excluded.
func (p *purgeRequests) send(from, to int) error {
	for i := from; i < to; i++ {
		request := &rpc.Request{Method: classPage, Txn: p.item<<8 | uint64(i), TimeoutMillis: purgeTimeout.Milliseconds(), Item: p.item}
		if _, err := p.conns[i].Write(rpc.AppendRequest(nil, 1, request)); err != nil {
			return err
		}
	}
	return nil
}

func (p *purgeRequests) close() {
	for _, conn := range p.conns {
		_ = conn.Close() // the answers do not matter
	}
}

// purgeRecorder counts the requests that endpoints receive for the purged object of a round.
type purgeRecorder struct {
	mu      sync.Mutex
	object  string
	purged  time.Time // zero: not purged yet
	resumed time.Time
	result  PurgeResult
}

func (r *purgeRecorder) startRound(object string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.object, r.purged = object, time.Time{}
}

// markPurged records that the object is purged now, and returns the time.
func (r *purgeRecorder) markPurged() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.purged = time.Now()
	return r.purged
}

func (r *purgeRecorder) markResumed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resumed = time.Now()
}

// record counts a request for the purged object, and checks whether it accepts a copy from before the purge.
func (r *purgeRecorder) record(request fakes.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if request.Fields["obj"] != r.object || r.purged.IsZero() {
		return
	}
	r.result.Requests++
	maxAge, err := strconv.Atoi(request.Fields["newer"])
	sincePurge := time.Since(r.purged)
	if err == nil && time.Duration(maxAge)*time.Millisecond <= sincePurge+time.Millisecond {
		return
	}
	r.result.Stale++
	r.result.StaleDetails = append(r.result.StaleDetails, fmt.Sprintf(
		"txn %s accepts a copy of %q ms, %v after the purge, %v after the process continued",
		request.ID, request.Fields["newer"], sincePurge, time.Since(r.resumed)))
}

// snapshot returns the counts after a number of rounds.
func (r *purgeRecorder) snapshot(rounds int) PurgeResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	result := r.result
	result.Rounds = rounds
	return result
}
