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

// readErrors are the errors that recvmsg(2) and its network layers document, but for those of a descriptor that can't be read.
var readErrors = []syscall.Errno{syscall.ENOMEM, syscall.ENOBUFS, syscall.ECONNREFUSED, syscall.ENETDOWN, syscall.ENETUNREACH,
	syscall.EHOSTDOWN, syscall.EHOSTUNREACH, syscall.ENOTCONN, syscall.ETIMEDOUT, syscall.EIO, syscall.ENOPROTOOPT, syscall.EAGAIN,
	syscall.EINTR, syscall.ECONNRESET, syscall.EPERM}

// failReads has reads of datagrams fail for a while, and counts them.
func (s *site) failReads(errno syscall.Errno, span time.Duration) (reads *atomic.Int64) {
	reads = &atomic.Int64{}
	end, read := time.Now().Add(span), s.f.readUDP
	s.f.readUDP = func(buf []byte) (int, netip.AddrPort, error) {
		reads.Add(1)
		if time.Now().Before(end) {
			return 0, netip.AddrPort{}, errno
		}
		return read(buf)
	}
	return reads
}

// Whatever error reading a datagram brings, and for however long: the front end goes on, without a busy loop, and answers what
// has come. Any error once ended the whole router.
func TestReadErrorsPass(t *testing.T) {
	const span, most = 100 * time.Millisecond, 20 // reads
	for _, errno := range readErrors {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			s := prepare(t, 1)
			reads := s.failReads(errno, span)
			ended := make(chan error, 1)
			go func() { ended <- s.f.Serve() }()
			s.members(true, host(1, balancer.InService))
			for range 3 {
				if r := s.ask("udp", question(name, dns.TypeA)); len(addresses(r)) != 1 {
					t.Errorf("answer %v", r)
				}
			}
			if n := reads.Load(); n > most {
				t.Errorf("%d reads in %v", n, span)
			}
			select {
			case err := <-ended:
				t.Errorf("the front end has ended: %v", err)
			default:
			}
		})
	}
}

// A socket that can't be read any more is reported, and queries over TCP are still answered.
func TestUnreadableSocketLeavesTCP(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EBADF, syscall.ENOTSOCK, syscall.EINVAL, syscall.EFAULT} {
		s := prepare(t, 1)
		s.failReads(errno, time.Hour)
		ended := make(chan error, 1)
		go func() { ended <- s.f.Serve() }()
		if err := <-ended; !errors.Is(err, errno) {
			t.Errorf("%v: Serve returned %v", errno, err)
		}
		s.members(true, host(1, balancer.InService))
		if r := s.ask("tcp", question(name, dns.TypeA)); len(addresses(r)) != 1 {
			t.Errorf("%v: answer over TCP %v", errno, r)
		}
	}
}
