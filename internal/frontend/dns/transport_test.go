package dns

import (
	"errors"
	"net/netip"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/miekg/dns"

	"hillknot/balancer"
)

// readErrors holds the errors that recvmsg(2) and its network layers document, without those of an unreadable descriptor.
var readErrors = []syscall.Errno{syscall.ENOMEM, syscall.ENOBUFS, syscall.ECONNREFUSED, syscall.ENETDOWN, syscall.ENETUNREACH,
	syscall.EHOSTDOWN, syscall.EHOSTUNREACH, syscall.ENOTCONN, syscall.ETIMEDOUT, syscall.EIO, syscall.ENOPROTOOPT, syscall.EAGAIN,
	syscall.EINTR, syscall.ECONNRESET, syscall.EPERM}

// failReads makes all reads of datagrams fail with errno for a time span, and returns a counter of the reads.
func (s *testServer) failReads(errno syscall.Errno, span time.Duration) (reads *atomic.Int64) {
	reads = &atomic.Int64{}
	failUntil, read := time.Now().Add(span), s.server.readUDP
	s.server.readUDP = func(buf []byte) (int, netip.AddrPort, error) {
		reads.Add(1)
		if time.Now().Before(failUntil) {
			return 0, netip.AddrPort{}, errno
		}
		return read(buf)
	}
	return reads
}

// After a temporary read error of any kind, the front end keeps running without a busy loop, and answers the queries that have
// arrived. Any read error once ended the whole router.
func TestTemporaryReadErrorsDoNotEndServe(t *testing.T) {
	const span, maxReads = 100 * time.Millisecond, 20
	for _, errno := range readErrors {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			s := prepare(t, 1)
			reads := s.failReads(errno, span)
			ended := make(chan error, 1)
			go func() { ended <- s.server.Serve() }()
			s.setEndpoints(true, endpoint(1, balancer.InService))
			for range 3 {
				if r := s.ask("udp", question(zoneName, dns.TypeA)); len(addresses(r)) != 1 {
					t.Errorf("answer %v", r)
				}
			}
			if n := reads.Load(); n > maxReads {
				t.Errorf("%d reads in %v", n, span)
			}
			select {
			case err := <-ended:
				t.Errorf("Serve returned %v", err)
			default:
			}
		})
	}
}

// Serve returns the error of a UDP socket that can't be read any more, and queries over TCP are still answered.
func TestUnreadableUDPSocketDoesNotStopTCP(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EBADF, syscall.ENOTSOCK, syscall.EINVAL, syscall.EFAULT} {
		s := prepare(t, 1)
		s.failReads(errno, time.Hour)
		ended := make(chan error, 1)
		go func() { ended <- s.server.Serve() }()
		if err := <-ended; !errors.Is(err, errno) {
			t.Errorf("%v: Serve returned %v", errno, err)
		}
		s.setEndpoints(true, endpoint(1, balancer.InService))
		if r := s.ask("tcp", question(zoneName, dns.TypeA)); len(addresses(r)) != 1 {
			t.Errorf("%v: answer over TCP %v", errno, r)
		}
	}
}
