package loadtest

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"hillknot/internal/testutil/fakes"
)

// floodStream writes without pause to a connection of the router until it fails. peers describes the peers of the router.
type floodStream func(peers *floodPeers, conn net.Conn)

// floodPeers are the discovery service and the page caches of a router. A peer with a floodStream sends it on each connection.
type floodPeers struct {
	discovery *fakes.Server // nil: the fleet runs an ordinary one
	caches    []*fakes.Server
	answering []*fakes.Cache // page caches that answer; those in caches relay to them

	mu             sync.Mutex
	position       int                  // of the latest event
	disconnectedAt map[string]time.Time // by txn: when the client of a request has closed its connection
	late           int                  // attempts for such requests that came over maxAttemptAfterClose later
}

// maxAttemptAfterClose is how long after a client's close an attempt for one of its requests may still be sent.
const maxAttemptAfterClose = 100 * time.Millisecond

// answer answers a request as a page cache.
func (p *floodPeers) answer(request fakes.Request) fakes.Reply {
	now := time.Now()
	p.mu.Lock()
	if at, found := p.disconnectedAt[request.ID]; found && now.Sub(at) > maxAttemptAfterClose {
		p.late++
	}
	p.mu.Unlock()
	return fakes.Reply{Status: "DONE", Fields: "res=cached", Body: []byte("body")}
}

// noteDisconnected records that the client of requests has closed its connection.
func (p *floodPeers) noteDisconnected(at time.Time, txns []uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, txn := range txns {
		p.disconnectedAt[objectName(txn)] = at
	}
}

// lateAttempts returns how many attempts came too late after a client's close.
func (p *floodPeers) lateAttempts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.late
}

// startFloodPeers starts the peers. A nil stream stands for a peer that behaves well.
func startFloodPeers(discovery, cache floodStream) (*floodPeers, error) {
	p := &floodPeers{position: 1, disconnectedAt: map[string]time.Time{}}
	for range floodCaches + 1 {
		answering, err := fakes.NewCache("127.0.0.1:0", p.answer)
		if err != nil {
			p.Close()
			return nil, err
		}
		p.answering = append(p.answering, answering)
		if cache == nil {
			continue
		}
		flooding, err := fakes.Listen("127.0.0.1:0", func(conn net.Conn) { cache(p, conn) })
		if err != nil {
			p.Close()
			return nil, err
		}
		p.caches = append(p.caches, flooding)
	}
	if discovery == nil {
		return p, nil
	}
	var err error
	p.discovery, err = fakes.Listen("127.0.0.1:0", func(conn net.Conn) { p.serveDiscovery(conn, discovery) })
	if err != nil {
		p.Close()
		return nil, err
	}
	return p, nil
}

// cacheAddress returns the address of a page cache. All but the first flood, if any do, so that requests can be served.
func (p *floodPeers) cacheAddress(i int) string {
	if i > 0 && i < len(p.caches) {
		return p.caches[i].Addr()
	}
	return p.answering[i].Addr()
}

// discoveryAddress returns the address of the discovery service, or "" if the fleet is to run one.
func (p *floodPeers) discoveryAddress() string {
	if p.discovery == nil {
		return ""
	}
	return p.discovery.Addr()
}

// Close ends the peers.
func (p *floodPeers) Close() {
	if p.discovery != nil {
		p.discovery.Close()
	}
	for _, cache := range p.caches {
		cache.Close()
	}
	for _, cache := range p.answering {
		cache.Close()
	}
}

// serveDiscovery reads the request for the events and sends the stream.
func (p *floodPeers) serveDiscovery(conn net.Conn, stream floodStream) {
	in := bufio.NewReader(conn)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		if strings.TrimSpace(line) == "" {
			break
		}
	}
	if _, err := conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")); err == nil {
		stream(p, conn)
	}
}

// nextPosition returns the position of a new event.
func (p *floodPeers) nextPosition() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.position++
	return p.position
}

// writeEvents writes events until the connection ends. data returns the data of an event after its position.
func (p *floodPeers) writeEvents(conn net.Conn, data func(position int) string) {
	for {
		var chunk bytes.Buffer
		for chunk.Len() < floodWriteBytes {
			position := p.nextPosition()
			fmt.Fprintf(&chunk, "id: %d\ndata: {\"pos\":%d,%s}\n\n", position, position, data(position))
		}
		if _, err := conn.Write(chunk.Bytes()); err != nil {
			return
		}
	}
}

// purgeEvents sends small events: purges of objects that no client asks for.
func purgeEvents(p *floodPeers, conn net.Conn) {
	p.writeEvents(conn, func(position int) string {
		return fmt.Sprintf(`"expire":{"name":"%016x","stamp":1}`, position<<20)
	})
}

// floodListSize is how many page caches the lists of completeLists have.
const floodListSize = 400

// completeLists sends complete lists of many page caches, in another order each.
func completeLists(p *floodPeers, conn net.Conn) {
	list := p.longList()
	p.writeEvents(conn, func(int) string { return list })
}

// longList returns the data of an event with a complete list of many page caches, after its position.
func (p *floodPeers) longList() string {
	var endpoints []endpoint
	for i := range floodListSize {
		endpoints = append(endpoints, newEndpoint(endpointName(i), p.cacheAddress(i%floodCaches), stateReady))
	}
	origin := newEndpoint("origin", p.cacheAddress(floodCaches), stateReady)
	origin.Zone, origin.MachineType = zoneHub, machineOrigin
	return endpointsEvent(1, true, append(endpoints, origin))
}

// longListEvent returns an event with a complete list of many page caches.
func (p *floodPeers) longListEvent() string {
	position := p.nextPosition()
	return fmt.Sprintf("id: %d\ndata: {\"pos\":%d,%s}\n\n", position, position, p.longList())
}

// comments sends comments, which hold no event.
func comments(_ *floodPeers, conn net.Conn) {
	writeUntilError(conn, bytes.Repeat([]byte(": here\n\n"), 8<<10))
}

// endlessLine sends one line without end.
func endlessLine(_ *floodPeers, conn net.Conn) {
	writeUntilError(conn, bytes.Repeat([]byte("x"), floodWriteBytes))
}

// immediateEnds ends the connection at once.
func immediateEnds(*floodPeers, net.Conn) {}

// unsolicitedAnswers sends answers to requests that nobody sent.
func unsolicitedAnswers(_ *floodPeers, conn net.Conn) {
	writeUntilError(conn, bytes.Repeat([]byte("0123456789abcdef BROKE - 0\r\n\r\n"), 2<<10))
}

// unsolicitedBodies sends answers of the largest size to requests that nobody sent.
func unsolicitedBodies(_ *floodPeers, conn net.Conn) {
	const size = 240_000
	writeUntilError(conn, fmt.Appendf(nil, "0123456789abcdef DONE res=cached,version=v %d\r\n%s\r\n", size, bytes.Repeat([]byte("x"), size)))
}

// logPipe is a pipe that takes the place of a router's log.
type logPipe struct{ read, write *os.File }

// unreadPipe returns a pipe that is full and that nobody reads.
func unreadPipe() (pipe logPipe, err error) {
	if pipe.read, pipe.write, err = os.Pipe(); err != nil {
		return pipe, err
	}
	fd := int(pipe.write.Fd())
	if err := syscall.SetNonblock(fd, true); err != nil {
		return pipe, err
	}
	for {
		if _, err := syscall.Write(fd, make([]byte, 4<<10)); err != nil {
			break // the pipe is full
		}
	}
	return pipe, syscall.SetNonblock(fd, false)
}

// closedPipe returns a pipe whose read end is closed.
func closedPipe() (pipe logPipe, err error) {
	if pipe.read, pipe.write, err = os.Pipe(); err != nil {
		return pipe, err
	}
	return pipe, pipe.read.Close()
}
