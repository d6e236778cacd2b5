package discovery

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"github.com/valyala/fastjson"

	"hillknot/internal/config"
	"hillknot/internal/jsonfields"
)

// responseHeader is the start of a response of the discovery service: the status line and one header. The empty line that
// ends the headers is missing.
const responseHeader = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"

// testLimits returns the limits of a watcher that connects again after the duration retry.
func testLimits(retry time.Duration) config.Limits {
	return config.Limits{
		ConnectTimeout:       10 * time.Second,
		DiscoveryLineBytes:   1 << 16,
		DiscoverySilence:     time.Minute,
		DiscoveryCalls:       3,
		DiscoveryCallTimeout: time.Minute,
		DiscoveryBackoffMin:  retry,
		DiscoveryBackoffMax:  retry,
		Discovery:            config.ConnLimits{MaxPendingBytes: 1 << 16, ReadTimeout: time.Minute, WriteTimeout: time.Minute},
	}
}

func parseObject(t *testing.T, text string) jsonfields.Object {
	t.Helper()
	v, err := fastjson.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return jsonfields.FromValue(v)
}

// startWatcher runs a new watcher until the test ends. It must be called after the service is set up, so that the watcher
// ends before the service.
func startWatcher(t *testing.T, handler EventHandler, address string, limits config.Limits, start jsonfields.Object) *Watcher {
	t.Helper()
	w, err := New(handler, address, limits, start)
	if err != nil {
		t.Fatal(err)
	}
	runWatcher(t, w)
	return w
}

// runWatcher runs a watcher until the test ends.
func runWatcher(t *testing.T, w *Watcher) {
	t.Helper()
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		w.Run(stop)
	}()
	t.Cleanup(func() {
		close(stop)
		<-done
	})
}

// listen returns a listener on which the test acts as the service.
func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

// acceptWatch accepts the connection of the watcher and reads its request. A service that sends before it is asked is refused.
func acceptWatch(t *testing.T, ln net.Listener) net.Conn {
	t.Helper()
	conn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := readRequest(conn); err != nil {
		t.Fatal(err)
	}
	return conn
}

// readRequest reads a request up to the empty line that ends it.
func readRequest(conn net.Conn) error {
	var request []byte
	for next := make([]byte, 1); !bytes.HasSuffix(request, []byte("\r\n\r\n")); request = append(request, next...) {
		if _, err := conn.Read(next); err != nil {
			return err
		}
	}
	return nil
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}
