package loadtest

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// startHalfMessages returns the start of a flood of connections that each send half of a large message and stay.
func startHalfMessages(conns int) func(*floodRun) *sync.WaitGroup {
	return startConns(conns, func(_ *floodRun, conn net.Conn) {
		message, _ := bodyRequests(nil, 1, 1)
		_, _ = conn.Write(message[:len(message)-1]) // the router ends the connection after a while
		_, _ = io.Copy(io.Discard, conn)
	})
}

// startChurn returns the start of a flood of connections that send many requests and are reset at once.
func startChurn(conns int) func(*floodRun) *sync.WaitGroup {
	return startConns(conns, func(_ *floodRun, conn net.Conn) {
		var messages []byte
		number := rand.Uint64N(1 << 20)
		for id := uint64(1); id <= 64; id++ {
			messages, _ = pageRequests(messages, number, id)
		}
		_, _ = conn.Write(messages)          // the router may have closed the connection
		_ = conn.(*net.TCPConn).SetLinger(0) // the close is a reset
		time.Sleep(time.Duration(rand.IntN(2)) * time.Millisecond)
	})
}

// startMalformed returns the start of a flood of connections that send what is no message.
func startMalformed(conns int) func(*floodRun) *sync.WaitGroup {
	return startConns(conns, func(_ *floodRun, conn net.Conn) {
		_, _ = conn.Write([]byte("\xc1 nonsense")) // the router ends the connection
		_ = conn.(*net.TCPConn).SetLinger(0)       // the close is a reset
	})
}

// startConns returns the start of a flood of connections to the clients' address: each is used and closed, and another follows.
func startConns(conns int, use func(*floodRun, net.Conn)) func(*floodRun) *sync.WaitGroup {
	return func(run *floodRun) *sync.WaitGroup { return run.startConnsTo(run.router.ListenAddress, conns, use) }
}

func (run *floodRun) startConnsTo(address string, conns int, use func(*floodRun, net.Conn)) *sync.WaitGroup {
	var users sync.WaitGroup
	for range conns {
		users.Go(func() {
			for {
				select {
				case <-run.stop:
					return
				default:
				}
				conn, err := net.DialTimeout("tcp", address, floodDialTimeout)
				if err != nil {
					time.Sleep(floodDialTimeout / 20)
					continue
				}
				closeAtStop := run.closeAtStop(conn)
				use(run, conn)
				closeAtStop()
			}
		})
	}
	return &users
}

// closeAtStop closes a connection when the flood is to end. The result closes it earlier.
func (run *floodRun) closeAtStop(conn net.Conn) (closeNow func()) {
	done := make(chan struct{})
	go func() {
		select {
		case <-run.stop:
		case <-done:
		}
		_ = conn.Close() // the router may have closed it
	}()
	return func() { close(done) }
}
