package msgpackrpc

import (
	"errors"
	"slices"
	"sync"

	"hillknot/internal/netio"
	"hillknot/internal/rpc"
)

const (
	// refusalBatchBytes is the length up to which refusals are sent together. It is short enough for netio.Conn.Send to take
	// it whatever the budget.
	refusalBatchBytes = 200

	// maxPendingRefusalBytes is how many bytes may wait to be written to a client when further refusals are sent to it. Those
	// that have to wait take no memory as messages.
	maxPendingRefusalBytes = 16 << 10

	// maxRefusalRanges is the maximum number of ranges of message ids whose refusals wait. The message ids of a connection count
	// up, so that even a client that sends without end needs few ranges.
	maxRefusalRanges = 1024
)

// errTooManyRefusals is returned when no refusal can be remembered any more.
var errTooManyRefusals = errors.New("too many refusals wait to be sent")

// idRange is a range of message ids, both ends included, whose requests are refused with the same error code.
type idRange struct {
	first, last uint64
	code        string
}

// refusals holds the message ids of requests that were refused as they were read, and whose refusals were not sent yet because
// the client reads too slowly. Its methods may be called from any goroutine.
type refusals struct {
	mu     sync.Mutex
	ranges []idRange // in the order in which they are sent
}

// add adds a message id, whose request is refused with an error code.
func (r *refusals) add(messageID uint64, code string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := len(r.ranges); n > 0 && r.ranges[n-1].last+1 == messageID && r.ranges[n-1].code == code {
		r.ranges[n-1].last = messageID
		return nil
	}
	if len(r.ranges) >= maxRefusalRanges {
		return errTooManyRefusals
	}
	r.ranges = append(r.ranges, idRange{messageID, messageID, code})
	return nil
}

// contains reports whether the refusal with a message id waits.
func (r *refusals) contains(messageID uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.ranges, func(ids idRange) bool { return ids.first <= messageID && messageID <= ids.last })
}

// take removes message ids and returns their encoded refusals, of refusalBatchBytes at most, and how many there are.
func (r *refusals) take() (encoded []byte, count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.ranges) > 0 {
		ids := &r.ranges[0]
		next := rpc.AppendErrorResponse(encoded, ids.first, ids.code)
		if len(next) > refusalBatchBytes {
			return encoded, count
		}
		encoded, count = next, count+1
		if ids.first == ids.last {
			r.ranges = slices.Delete(r.ranges, 0, 1)
			continue
		}
		ids.first++
	}
	return encoded, count
}

// sendRefusals sends the refusals that wait, as long as the client reads. Drained calls it again.
func (c *conn) sendRefusals() {
	for c.transport.PendingBytes() < maxPendingRefusalBytes {
		encoded, count := c.refusals.take()
		if count == 0 {
			return
		}
		if c.queueResponse(encoded) != nil {
			return // the connection ends, and the other refusals with it
		}
		c.finishReplies(count, nil)
	}
}

// Drained implements netio.DrainHandler.
func (c *conn) Drained() { c.sendRefusals() }

var _ netio.DrainHandler = (*conn)(nil)
