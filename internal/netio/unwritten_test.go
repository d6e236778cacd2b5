package netio

import (
	"fmt"
	"syscall"
	"testing"

	"github.com/cloudwego/netpoll"
)

// sendErrors are the errors that sendmsg(2) on a connected socket documents, with those that a broken connection brings.
// Netpoll returns one only where the call before it took part of the message, at most: the rest is not handed to the
// system any more, and the message never comes to the peer whole.
var sendErrors = []syscall.Errno{syscall.EPIPE, syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH,
	syscall.ENETDOWN, syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR, syscall.EACCES, syscall.EPERM}

// A message whose write failed in the system has not gone out whole. One that waited for room, and whose connection ended or
// whose time was over meanwhile, may have.
func TestUnwritten(t *testing.T) {
	for _, errno := range sendErrors {
		if err := fmt.Errorf("write: %w", netpoll.Exception(errno, "when flush")); !IsIncompleteWrite(err) {
			t.Errorf("%v: taken for written", errno)
		}
	}
	for _, errno := range []error{netpoll.ErrWriteTimeout, netpoll.ErrConnClosed, netpoll.ErrEOF} {
		if err := fmt.Errorf("write: %w", netpoll.Exception(errno, "when flush")); IsIncompleteWrite(err) {
			t.Errorf("%v: taken for not written", errno)
		}
	}
	if IsIncompleteWrite(nil) {
		t.Error("no error: taken for not written")
	}
	if !IsIncompleteWrite(fmt.Errorf("write: %w", ErrClosed)) {
		t.Error("closed before: taken for written")
	}
}
