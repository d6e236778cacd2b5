package client

import "io"

// responseStream is the body of the response that is being received for a request with To. The client's lock guards
// it, but the bytes of body after received are filled without the lock. The zero value is for a request without To.
type responseStream struct {
	progress   chan struct{} // holds an element when more of the body was received
	generation int           // number of responses that began; an attempt may break off inside a response
	body       []byte        // has the full size of the body
	received   int           // bytes of body that were received
}

func (s *responseStream) enabled() bool { return s.progress != nil }

// begin records that a response begins, which may be that of a retry.
func (s *responseStream) begin() {
	s.generation++
	s.body, s.received = nil, 0
}

// update publishes the received part of a body.
func (s *responseStream) update(body []byte, received int) {
	s.body, s.received = body, received
	wake(s.progress)
}

// wake sends on a channel with capacity 1 unless it holds an element already.
func wake(signal chan<- struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// sinkWriter writes a response to Request.To as it arrives. Only the goroutine of Do uses it.
type sinkWriter struct {
	generation int // responseStream.generation of the response that was written
	written    int // bytes of that response that were written
}

// write writes what was received of a response since the last call. A response that begins again is written from its
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

	if generation != w.generation && w.written > 0 { // only after a retry, and therefore only with a Rewinder
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
