//go:build cluster

package main

import (
	"sync/atomic"

	"hillknot/internal/logging"
)

const (
	// maxIncomingBytes is how many bytes of other routers' messages may wait for the core.
	maxIncomingBytes = 4 << 20

	// incomingOverheadBytes is the memory that a waiting message takes besides its content.
	incomingOverheadBytes = 256
)

// incomingMessages passes the messages of other routers on to the core. Those that come faster than the core takes them are
// dropped: the network may lose any of them, too, so their senders send again what matters.
type incomingMessages struct {
	post    func(f func()) // has the core call f
	waiting atomic.Int64   // bytes that wait for the core
}

// receive has the core call handle, unless too many bytes wait for it. size is the length of the message in bytes.
func (m *incomingMessages) receive(size int, handle func()) {
	counted := int64(size + incomingOverheadBytes)
	if m.waiting.Add(counted) > maxIncomingBytes {
		m.waiting.Add(-counted)
		log.Debug("message of peer dropped", logging.KeyReason, "too many wait")
		return
	}
	m.post(func() {
		m.waiting.Add(-counted)
		handle()
	})
}
