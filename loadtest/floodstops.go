package loadtest

import (
	"net"
	"sync"
	"time"

	"hillknot/internal/rpc"
)

// startStoppedLoad returns the start of clients that keep to the protocol, with as many requests of full size in flight as it
// allows, to a router that is stopped every other second.
func startStoppedLoad(conns int) func(*floodRun) *sync.WaitGroup {
	return func(run *floodRun) *sync.WaitGroup {
		var users sync.WaitGroup
		for i := range conns {
			users.Go(func() { run.sendInWindows(uint64(i + 1)) })
		}
		users.Go(func() {
			for {
				select {
				case <-run.stop:
					return
				case <-time.After(time.Second):
				}
				if run.counts.ending.Load() {
					return
				}
				run.router.stopFor(400 * time.Millisecond)
			}
		})
		return &users
	}
}

// sendInWindows sends 32 requests with bodies at once, waits for their answers, and starts again, on one connection after
// another.
func (run *floodRun) sendInWindows(number uint64) {
	for round := uint64(0); ; round++ {
		select {
		case <-run.stop:
			return
		default:
		}
		conn, err := net.DialTimeout("tcp", run.router.ListenAddress, floodDialTimeout)
		if err != nil {
			time.Sleep(floodDialTimeout / 20)
			continue
		}
		closeNow := run.closeAtStop(conn)
		run.sendWindow(conn, round<<10|number)
		closeNow()
	}
}

const floodWindow = 32 // requests on a connection; the protocol allows no more

func (run *floodRun) sendWindow(conn net.Conn, number uint64) {
	answers := make(chan struct{}, 2*floodWindow)
	go func() {
		defer close(answers)
		_ = readResponses(conn, func(rpc.ResponseHeader) { answers <- struct{}{} })
	}()
	for id := uint64(1); id <= floodWindow; id++ {
		message, _ := bodyRequests(nil, number, id)
		if _, err := conn.Write(message); err != nil {
			return
		}
		run.counts.sent.Add(1)
	}
	timeout := time.NewTimer(floodAnswerWait)
	defer timeout.Stop()
	for got := range floodWindow {
		select {
		case _, ok := <-answers:
			if ok {
				run.counts.answered.Add(1)
				continue
			}
		case <-timeout.C:
		}
		if !run.counts.ending.Load() {
			run.counts.lost.Add(int64(floodWindow - got))
		}
		return
	}
}
