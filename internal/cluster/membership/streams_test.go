//go:build cluster

package membership

import (
	"encoding/binary"
	"io"
	stdlog "log"
	"net"
	"net/netip"
	"runtime"
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

// sendForever connects and writes a head and then zeros, until the router closes the connection.
func sendForever(address netip.AddrPort, head []byte) {
	conn, err := net.Dial("tcp", address.String())
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(2 * connectTimeout))
	_, err = conn.Write(head)
	for zeros := make([]byte, 64<<10); err == nil; {
		_, err = conn.Write(zeros)
	}
	_, _ = io.Copy(io.Discard, conn)
}

// No more than maxOpenStreams are handed on, each gives up its place once when it is closed, and none gives more than maxStreamBytes.
func TestStreamLimits(t *testing.T) {
	limits := &streamLimits{}
	var streams []net.Conn
	for i := range maxOpenStreams + 2 {
		local, remote := net.Pipe()
		t.Cleanup(func() { remote.Close() })
		stream, ok := limits.accept(local)
		if ok != (i < maxOpenStreams) {
			t.Fatalf("connection %d is accepted: %v", i, ok)
		}
		if ok {
			streams = append(streams, stream)
		}
	}
	streams[0].Close()
	streams[0].Close()
	local, remote := net.Pipe()
	stream, ok := limits.accept(local)
	if open := limits.open.Load(); !ok || open != maxOpenStreams {
		t.Fatalf("after a close %d connections are open, accepted: %v", open, ok)
	}
	go func() {
		chunk := make([]byte, 64<<10)
		for err := error(nil); err == nil; {
			_, err = remote.Write(chunk)
		}
	}()
	n, err := io.Copy(io.Discard, stream)
	if err != errStreamTooLong || n > maxStreamBytes {
		t.Errorf("read %d bytes, error %v; want %v after %d", n, err, errStreamTooLong, maxStreamBytes)
	}
	stream.Close()
	remote.Close()
	if received := limits.received.Load(); received != 0 {
		t.Errorf("%d bytes still count after the close", received)
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
