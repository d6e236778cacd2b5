package loadtest

import (
	"net"
	"sync"
	"time"
)

const (
	soakIdleRunEvery   = 3   // one seed in this many has idle clients
	soakIdleRunSockets = 256 // descriptors that a router may hold in a run with idle clients
	soakIdleClients    = 160 // idle clients of a router, more than it can accept
	soakIdlePause      = 100 * time.Millisecond
	soakIdleReadLimit  = 4 << 10 // bytes that an idle client reads at a time, at most
)

// hasIdleClients reports whether idle clients fill the descriptors of the routers in the run of a seed.
func hasIdleClients(seed uint64) bool { return seed%soakIdleRunEvery == 0 }

// holdIdleConns runs idle clients that hold connections to a router until stop is closed. A client whose connection ends
// connects again.
func holdIdleConns(address string, stop <-chan struct{}) {
	var clients sync.WaitGroup
	for range soakIdleClients {
		clients.Go(func() { runIdleClient(address, stop) })
	}
	clients.Wait()
}

// runIdleClient holds one connection after another until stop is closed, and sends nothing.
func runIdleClient(address string, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(soakIdlePause):
		}
		conn, err := net.DialTimeout("tcp", address, soakDialTimeout)
		if err != nil {
			continue
		}
		waitForEnd(conn, stop)
	}
}

// waitForEnd waits until a connection ends or stop is closed, and closes it.
func waitForEnd(conn net.Conn, stop <-chan struct{}) {
	defer conn.Close()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		buffer := make([]byte, soakIdleReadLimit)
		for {
			if _, err := conn.Read(buffer); err != nil {
				return
			}
		}
	}()
	select {
	case <-ended:
	case <-stop:
	}
}
