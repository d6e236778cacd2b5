package main

import (
	"net"
	"os"
	"strconv"
	"syscall"
	"testing"
	"time"
)

// breakListener makes the listening sockets of this process on the port of address fail for good: it shuts them down, so that
// accept(2) returns EINVAL.
func breakListener(t *testing.T, address net.Addr) {
	t.Helper()
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	want, broken := address.(*net.TCPAddr), 0
	for _, entry := range entries {
		fd, err := strconv.Atoi(entry.Name())
		if err != nil {
			continue
		}
		listening, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
		name, _ := syscall.Getsockname(fd)
		if v4, ok := name.(*syscall.SockaddrInet4); err == nil && listening == 1 && ok && v4.Port == want.Port {
			if err := syscall.Shutdown(fd, syscall.SHUT_RD); err != nil {
				t.Fatal(err)
			}
			broken++
		}
	}
	if broken == 0 {
		t.Fatalf("no socket listens on %v", address)
	}
}

// A router keeps serving its clients when its admin front end fails. A router used to end at once in this case, and lost
// all open requests.
func TestRouterKeepsServingWhenAdminFrontEndFails(t *testing.T) {
	clients, admin := startRouter(t, minimalConfig, unreachableAddress)
	conn, err := net.Dial("tcp", clients.String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	breakListener(t, admin)
	for range 5 {
		if health := askHealth(t, conn); !health.ready || health.connectionEnded {
			t.Fatalf("the router no longer serves: %+v", health)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if nc, err := net.DialTimeout("tcp", admin.String(), time.Second); err == nil {
		nc.Close()
		t.Error("the admin front end still accepts connections")
	}
}

// A router that can't accept clients any more answers its open requests and then ends with an error.
func TestRouterShutsDownInOrderWhenClientListenerFails(t *testing.T) {
	r := newTestRouter(t, 1).start()
	client := r.dial()
	client.request(1, "order", nil)
	order := r.nextAttempt()
	breakListener(t, r.clientSocket.Addr())
	time.Sleep(300 * time.Millisecond)
	client.request(2, "order", nil)
	second := r.nextAttempt()
	order.serve("first")
	client.expect(1, "first")
	second.serve("second")
	client.expect(2, "second")
	select {
	case err := <-r.exited:
		if err == nil {
			t.Error("the router ended without an error")
		}
		r.exited <- nil
	case <-time.After(harnessTimeout):
		t.Error("the router is still running")
	}
}
