package loadtest

import (
	"encoding/binary"
	"io"
	"math/rand/v2"
	"net"
	"sync"
)

// startDatagrams returns the start of a flood of datagrams to a port of the router, whose answers nobody reads. packet returns a
// datagram, of which each socket counts its own from 1.
func startDatagrams(port, sockets int, packet func(number uint64) []byte) func(*floodRun) *sync.WaitGroup {
	return func(run *floodRun) *sync.WaitGroup {
		var senders sync.WaitGroup
		for range sockets {
			senders.Go(func() {
				conn, err := net.Dial("udp", run.router.addressOf(port))
				if err != nil {
					return
				}
				defer conn.Close()
				for number := uint64(1); ; number++ {
					select {
					case <-run.stop:
						return
					default:
						_, _ = conn.Write(packet(number)) // fails for as long as the router is down
					}
				}
			})
		}
		return &senders
	}
}

// sameNameQuery returns a DNS query for the addresses of floodZone.
func sameNameQuery(number uint64) []byte { return appendQuery(nil, uint16(number)) }

// startDNSConnections returns the start of a flood of DNS queries over TCP, whose answers nobody reads.
func startDNSConnections(conns int) func(*floodRun) *sync.WaitGroup {
	return func(run *floodRun) *sync.WaitGroup {
		address := run.router.addressOf(floodDNSPort)
		return run.startConnsTo(address, conns, func(_ *floodRun, conn net.Conn) {
			var queries []byte
			for id := range uint16(1000) {
				query := appendQuery(nil, id)
				queries = append(binary.BigEndian.AppendUint16(queries, uint16(len(query))), query...)
			}
			writeUntilError(conn, queries)
		})
	}
}

// writeUntilError writes the same bytes until the connection ends.
func writeUntilError(conn net.Conn, b []byte) {
	for {
		if _, err := conn.Write(b); err != nil {
			return
		}
	}
}

// appendQuery appends a DNS query for the addresses of floodZone, RFC 1035.
func appendQuery(b []byte, id uint16) []byte {
	b = binary.BigEndian.AppendUint16(b, id)
	b = append(b, 1, 0, 0, 1, 0, 0, 0, 0, 0, 0) // recursion desired, one question
	for _, label := range []string{"flood", "example", "org"} {
		b = append(append(b, byte(len(label))), label...)
	}
	return append(b, 0, 0, 1, 0, 1) // type A, class IN
}

// startAdminRequests returns the start of a flood of requests to the operators' address, whose answers are read in part.
func startAdminRequests(conns int) func(*floodRun) *sync.WaitGroup {
	return func(run *floodRun) *sync.WaitGroup {
		address := run.router.addressOf(adminPort)
		return run.startConnsTo(address, conns, func(_ *floodRun, conn net.Conn) {
			path := []string{"GET /status/metrics", "POST /active"}[rand.IntN(2)]
			request := []byte(path + " HTTP/1.1\r\nHost: x\r\n\r\n")
			for range 100 {
				if _, err := conn.Write(request); err != nil {
					return
				}
			}
			_, _ = io.CopyN(io.Discard, conn, 100)
		})
	}
}

// startAgentChecks returns the start of a flood of agent checks, on which bytes are sent without end.
func startAgentChecks(conns int) func(*floodRun) *sync.WaitGroup {
	return func(run *floodRun) *sync.WaitGroup {
		address := run.router.addressOf(floodAgentCheckPort)
		return run.startConnsTo(address, conns, func(_ *floodRun, conn net.Conn) {
			writeUntilError(conn, make([]byte, floodWriteBytes))
		})
	}
}
