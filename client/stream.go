package client

import "io"

// responseStream is the body of the response that is coming in for a request with To. It is guarded by the client's
// lock; the bytes of body behind received are being filled without it. The zero value is for a request without To.
type responseStream struct {
	progress   chan struct{} // has an element when more has come
	generation int           // counts the responses that began: an attempt may break off inside one
	body       []byte        // of its full size
	received   int           // bytes of body that have come
}

func (s *responseStream) enabled() bool { return s.progress != nil }

// begin records that a response begins. It may be another one than before: of a retry.
func (s *responseStream) begin() {
	s.generation++
	s.body, s.received = nil, 0
}

// update publishes what has come of a body.
func (s *responseStream) update(body []byte, received int) {
	s.body, s.received = body, received
	wake(s.progress)
}

// wake sends on a channel with one element unless it has one already.
func wake(signal chan<- struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// sinkWriter writes a response to Request.To as it comes. It belongs to the goroutine of Do.
type sinkWriter struct {
	generation int // of the response that was written, as responseStream counts them
	written    int // bytes
}

// write writes what has come of a response since the last call. A response that begins anew is written from its
// start.
func (w *sinkWriter) write(c *Client, call *pendingCall) error {
	sink := call.request.To
	rewinder, canRewind := sink.(Rewinder)

	c.mu.Lock()
	size, body, generation := len(call.stream.body), call.stream.body[:call.stream.received], call.stream.generation
	if len(body) > 0 && !canRewind {
		call.policyCall.ForbidRetry()
	}
	c.mu.Unlock()

	if generation != w.generation && w.written > 0 { // only after a retry, and so only with a Rewinder
		if err := rewinder.Rewind(); err != nil {
			return err
		}
		w.written = 0
	}
	w.generation = generation
	if w.written == len(body) {
		return nil
	}
	if sizer, ok := sink.(Sizer); ok && w.written == 0 {
		sizer.Size(size)
	}
	rest := body[w.written:]
	n, err := sink.Write(rest)
	w.written += n
	if err == nil && n < len(rest) {
		err = io.ErrShortWrite
	}
	return err
}
