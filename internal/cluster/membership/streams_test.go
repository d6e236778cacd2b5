//go:build cluster

package membership

import (
	"encoding/binary"
	"io"
	stdlog "log"
	"net"
	"net/netip"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"

	"hillknot/internal/clock"
)

// Peers without the key of the cluster open many connections, and send 20 MB on each. The router holds little of it, and others that have
// the key find it meanwhile. A router once held all of it: 3.6 GB from 300 connections.
func TestStreamsOfStrangersAreBounded(t *testing.T) {
	const (
		encryptedMessage = 10
		strangers        = 3 * maxOpenStreams
		maxGrowth        = 8 * maxReceivedOnAll
	)
	key := strings.Repeat("0a", 32) + "\n"
	address := freeAddress(t)
	first := startAgent(t, "r1", address, key)
	waitUntil(t, "the router listens", func() bool { return canConnect(address) })
	runtime.GC()
	var before, now runtime.MemStats
	runtime.ReadMemStats(&before)
	stop := make(chan struct{})
	defer close(stop)
	for range strangers {
		go func() {
			for {
				select {
				case <-stop:
					return
				default:
					sendForever(address, binary.BigEndian.AppendUint32([]byte{encryptedMessage}, 20<<20))
				}
			}
		}()
	}
	begun := clock.Now()
	second := startAgent(t, "r2", freeAddress(t), key, address.String())
	waitUntil(t, "the routers see each other", func() bool { return first.sees("r2")() && second.sees("r1")() })
	most := uint64(0)
	for clock.Now()-begun < 3*connectTimeout {
		runtime.ReadMemStats(&now)
		most = max(most, now.HeapAlloc)
		time.Sleep(10 * time.Millisecond)
	}
	if most > before.HeapAlloc+maxGrowth {
		t.Errorf("the heap grew from %d to %d bytes, want %d more at most", before.HeapAlloc, most, maxGrowth)
	}
}

func canConnect(address netip.AddrPort) bool {
	conn, err := net.Dial("tcp", address.String())
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// zeros is shared by all strangers, so that their own memory does not count as the router's.
var zeros = make([]byte, 64<<10)

// sendForever connects and writes a head and then zeros, until the router closes the connection.
func sendForever(address netip.AddrPort, head []byte) {
	conn, err := net.Dial("tcp", address.String())
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(2 * connectTimeout))
	_, err = conn.Write(head)
	for err == nil {
		_, err = conn.Write(zeros)
	}
	_, _ = io.Copy(io.Discard, conn)
}

// No more than maxOpenStreams are open: each further one closes the one that has received most, or the earliest if none has received
// much. A connection that is closed again gives up its place once.
func TestOpenStreamsAreBounded(t *testing.T) {
	limits := &streamLimits{}
	streams := make([]*boundedStream, maxOpenStreams)
	for i := range streams {
		streams[i] = acceptFrom(t, limits, false)
	}
	limits.count(streams[5], smallStreamBytes+1)
	limits.count(streams[7], smallStreamBytes+2)
	limits.count(streams[9], smallStreamBytes)
	for _, closed := range []int{7, 5, 0, 1} {
		acceptFrom(t, limits, true)
		if len(limits.open) != maxOpenStreams || slices.Contains(limits.open, streams[closed]) {
			t.Errorf("%d connections are open, and connection %d is not the closed one", len(limits.open), closed)
		}
		if _, err := streams[closed].Read(make([]byte, 1)); err == nil {
			t.Errorf("connection %d is still read", closed)
		}
	}
	streams[9].Close()
	streams[9].Close()
	if len(limits.open) != maxOpenStreams-1 || limits.received != 0 {
		t.Errorf("after a close %d connections with %d bytes are open", len(limits.open), limits.received)
	}
	acceptFrom(t, limits, false)
}

// acceptFrom accepts a connection, and checks whether that closes another one.
func acceptFrom(t *testing.T, limits *streamLimits, wantReplaced bool) *boundedStream {
	t.Helper()
	local, remote := net.Pipe()
	t.Cleanup(func() { remote.Close() })
	stream, replaced := limits.accept(local)
	if replaced != wantReplaced {
		t.Errorf("another connection is closed: %v, want %v", replaced, wantReplaced)
	}
	return stream
}

// A connection gives no more than maxStreamBytes, and all together hold no more than maxReceivedOnAll: the longest one is closed, and a
// short one goes on, whichever reads.
func TestReceivedBytesAreBounded(t *testing.T) {
	limits := &streamLimits{}
	local, remote := net.Pipe()
	endless, _ := limits.accept(local)
	go func() {
		chunk := make([]byte, 64<<10)
		for err := error(nil); err == nil; {
			_, err = remote.Write(chunk)
		}
	}()
	if n, err := io.Copy(io.Discard, endless); err != errStreamTooLong || n > maxStreamBytes {
		t.Errorf("read %d bytes, error %v; want %v after %d", n, err, errStreamTooLong, maxStreamBytes)
	}
	endless.Close()
	remote.Close()

	short, middle, longest := acceptFrom(t, limits, false), acceptFrom(t, limits, false), acceptFrom(t, limits, false)
	limits.count(middle, maxStreamBytes-1)
	limits.count(longest, maxStreamBytes)
	if _, err := limits.count(short, 2); err != nil {
		t.Errorf("a short connection ends with %v", err)
	}
	if _, err := limits.count(longest, 1); err != errStreamReplaced {
		t.Errorf("the longest connection gives %v, want %v", err, errStreamReplaced)
	}
	if limits.received != maxStreamBytes+1 {
		t.Errorf("%d bytes count, want %d", limits.received, maxStreamBytes+1)
	}
	short.Close()
	middle.Close()
	if limits.received != 0 || len(limits.open) != 0 {
		t.Errorf("%d bytes on %d connections still count after the close", limits.received, len(limits.open))
	}
}

// An agent never ended while strangers connected: what passes connections on had ended, and the listener waited for it forever.
func TestShutdownWhileStrangersConnect(t *testing.T) {
	address := freeAddress(t)
	network, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{
		BindAddrs: []string{address.Addr().String()},
		BindPort:  int(address.Port()),
		Logger:    stdlog.New(io.Discard, "", 0),
	})
	if err != nil {
		t.Fatal(err)
	}
	transport := newTransport(network, address.Addr())
	for range 2 * maxOpenStreams { // nobody takes them from the transport
		conn, err := net.Dial("tcp", address.String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
	waitUntil(t, "a connection is passed on", func() bool { return len(transport.streams) > 0 })
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = transport.Shutdown()
	}()
	select {
	case <-ended:
	case <-time.After(joinDeadline):
		t.Error("Shutdown does not return")
	}
}
