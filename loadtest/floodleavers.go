package loadtest

import (
	"net"
	"sync"
	"time"
)

const (
	leaverRequests   = 20                    // requests that a leaver sends before it closes
	leaverInterval   = 10 * time.Millisecond // between two leavers
	leaverTxns       = 1 << 62               // the txns of leavers lie above
	leaverConnNumber = leaverTxns >> floodTxnBits
)

// withLeavers returns the start of a flood beside which clients send some requests, read nothing and close their connection at once.
func withLeavers(flood func(*floodRun) *sync.WaitGroup) func(*floodRun) *sync.WaitGroup {
	return func(run *floodRun) *sync.WaitGroup {
		senders := flood(run)
		senders.Go(run.keepLeaving)
		return senders
	}
}

// keepLeaving sends and leaves until the flood is to end.
func (run *floodRun) keepLeaving() {
	for number := uint64(leaverConnNumber); ; number++ {
		select {
		case <-run.stop:
			return
		case <-time.After(leaverInterval):
		}
		if conn, err := net.DialTimeout("tcp", run.router.ListenAddress, floodDialTimeout); err == nil {
			run.sendAndLeave(conn, number)
		}
	}
}

// sendAndLeave sends requests and closes the connection.
func (run *floodRun) sendAndLeave(conn net.Conn, number uint64) {
	var messages []byte
	var txns []uint64
	for id := uint64(1); id <= leaverRequests; id++ {
		messages, _ = pageRequests(messages, number, id)
		txns = append(txns, number<<floodTxnBits|id)
	}
	_, _ = conn.Write(messages) // the router may have closed the connection
	_ = conn.Close()
	run.peers.noteDisconnected(time.Now(), txns)
}
