package state

import (
	"encoding/binary"
	"errors"
	"time"
)

// Kind is the kind of a message.
type Kind uint8

// The messages.
const (
	kindNone           Kind = iota
	KindLeaseRequest        // asks for shares of the budget Key
	KindLeaseGrant          // lends them; Round repeats that of the ask, and Value is the process that asked
	KindCounterUpdate       // the sender's own part of the count Key is Value
	KindHealthEvidence      // the sender has found the page cache Key ill, or well
)

// Message goes between routers.
type Message struct {
	Kind      Kind
	From      string
	Process   uint64
	Key       string
	Sequence  uint64 // of KindAsk and KindGrant; of KindEvidence, its number among the sender's
	Shares    int
	Value     uint64
	Unhealthy bool
	ValidFor  time.Duration // of KindEvidence: how long it has still to count
}

var errBad = errors.New("message not understood")

// Append encodes a message: one byte for the kind, one that is 1 where Ill is set, the length of From and of Key in a byte
// each, the two texts, then five varints. It is under 350 bytes long.
func (m Message) Append(b []byte) []byte {
	ill := byte(0)
	if m.Unhealthy {
		ill = 1
	}
	b = append(b, byte(m.Kind), ill, byte(len(m.From)), byte(len(m.Key)))
	b = append(append(b, m.From...), m.Key...)
	for _, n := range []uint64{m.Process, m.Sequence, uint64(max(m.Shares, 0)), m.Value, uint64(max(m.ValidFor, 0))} {
		b = binary.AppendUvarint(b, n)
	}
	return b
}

// ParseMessage decodes one message and returns what follows it. Texts are copied.
func ParseMessage(b []byte) (m Message, rest []byte, err error) {
	if len(b) < 4 || Kind(b[0]) <= kindNone || Kind(b[0]) > KindHealthEvidence || b[1] > 1 {
		return m, nil, errBad
	}
	from, key := int(b[2]), int(b[3])
	if len(b) < 4+from+key {
		return m, nil, errBad
	}
	m = Message{Kind: Kind(b[0]), Unhealthy: b[1] == 1, From: string(b[4 : 4+from]), Key: string(b[4+from : 4+from+key])}
	b = b[4+from+key:]
	var ns [5]uint64
	for i := range ns {
		v, n := binary.Uvarint(b)
		if n <= 0 {
			return m, nil, errBad
		}
		ns[i], b = v, b[n:]
	}
	if ns[2] > 1<<20 || ns[4] > uint64(time.Hour) {
		return m, nil, errBad
	}
	m.Process, m.Sequence, m.Shares, m.Value, m.ValidFor = ns[0], ns[1], int(ns[2]), ns[3], time.Duration(ns[4])
	return m, b, nil
}
