package state

import (
	"encoding/binary"
	"errors"
	"time"
)

// Kind is the kind of a message. It is sent as a number: routers of other releases rely on the order of the constants.
type Kind uint8

// The kinds of messages.
const (
	kindNone           Kind = iota
	KindLeaseRequest        // asks for shares of the budget Key
	KindLeaseGrant          // lends them; Sequence is that of the request, and Value the process that sent the request
	KindCounterUpdate       // carries Value, the sender's own part of the counter Key
	KindHealthEvidence      // reports that the sender found the endpoint Key unhealthy, or healthy again
)

// Message is a message between routers, in the form that all kinds share on the wire. Each kind uses only some of the
// fields, and has a type of its own within the package.
type Message struct {
	Kind      Kind
	From      string // the router that sent it first
	Process   uint64 // of that router
	Key       string
	Sequence  uint64 // of a lease request and its grant, or of the sender's health evidence
	Shares    int
	Value     uint64
	Unhealthy bool
	ValidFor  time.Duration // of health evidence: how much longer it is valid
}

// leaseRequest asks a peer for shares of a budget.
type leaseRequest struct {
	borrower process
	budget   string
	sequence uint64
	shares   int
}

func (r leaseRequest) message() Message {
	return Message{Kind: KindLeaseRequest, From: r.borrower.router, Process: r.borrower.number, Key: r.budget,
		Sequence: r.sequence, Shares: r.shares}
}

func (m Message) leaseRequest() leaseRequest {
	return leaseRequest{borrower: m.sender(), budget: m.Key, sequence: m.Sequence, shares: m.Shares}
}

// leaseGrant lends shares of a budget, in answer to a request.
type leaseGrant struct {
	lender          process
	budget          string
	sequence        uint64 // of the request
	borrowerProcess uint64 // a later process of the borrower must not use the lease
	shares          int
}

func (g leaseGrant) message() Message {
	return Message{Kind: KindLeaseGrant, From: g.lender.router, Process: g.lender.number, Key: g.budget,
		Sequence: g.sequence, Shares: g.shares, Value: g.borrowerProcess}
}

func (m Message) leaseGrant() leaseGrant {
	return leaseGrant{lender: m.sender(), budget: m.Key, sequence: m.Sequence, borrowerProcess: m.Value, shares: m.Shares}
}

// counterUpdate carries one process's part of a counter.
type counterUpdate struct {
	writer  process
	counter string
	value   uint64
}

func (u counterUpdate) message() Message {
	return Message{Kind: KindCounterUpdate, From: u.writer.router, Process: u.writer.number, Key: u.counter,
		Value: u.value}
}

func (m Message) counterUpdate() counterUpdate {
	return counterUpdate{writer: m.sender(), counter: m.Key, value: m.Value}
}

// healthEvidence reports that one router found an endpoint unhealthy, or healthy again.
type healthEvidence struct {
	reporter  process
	endpoint  string
	sequence  uint64
	unhealthy bool
	validFor  time.Duration
}

func (e healthEvidence) message() Message {
	return Message{Kind: KindHealthEvidence, From: e.reporter.router, Process: e.reporter.number, Key: e.endpoint,
		Sequence: e.sequence, Unhealthy: e.unhealthy, ValidFor: e.validFor}
}

func (m Message) healthEvidence() healthEvidence {
	return healthEvidence{reporter: m.sender(), endpoint: m.Key, sequence: m.Sequence, unhealthy: m.Unhealthy,
		validFor: m.ValidFor}
}

func (m Message) sender() process { return process{m.From, m.Process} }

// ErrMalformedMessage reports that bytes are not a valid message of a known kind.
var ErrMalformedMessage = errors.New("malformed message or unknown kind")

// Sizes of the encoded form, and bounds of the values that are accepted in it.
const (
	headerBytes    = 4 // the kind, whether Unhealthy is set, the lengths of From and of Key
	encodedNumbers = 5 // varints after From and Key
	maxShares      = 1 << 20
	maxValidFor    = time.Hour
)

// Append appends the encoded message to b: one byte for the kind, one that is 1 if Unhealthy is set, one each for the
// lengths of From and Key, the two strings, then five varints. A message is shorter than 350 bytes.
func (m Message) Append(b []byte) []byte {
	unhealthy := byte(0)
	if m.Unhealthy {
		unhealthy = 1
	}
	b = append(b, byte(m.Kind), unhealthy, byte(len(m.From)), byte(len(m.Key)))
	b = append(append(b, m.From...), m.Key...)
	numbers := [encodedNumbers]uint64{m.Process, m.Sequence, uint64(max(m.Shares, 0)), m.Value, uint64(max(m.ValidFor, 0))}
	for _, n := range numbers {
		b = binary.AppendUvarint(b, n)
	}
	return b
}

// ParseMessage decodes one message and returns the bytes that follow it. Strings are copied. The error is
// ErrMalformedMessage.
func ParseMessage(b []byte) (m Message, rest []byte, err error) {
	if len(b) < headerBytes || Kind(b[0]) <= kindNone || Kind(b[0]) > KindHealthEvidence || b[1] > 1 {
		return m, nil, ErrMalformedMessage
	}
	keyStart := headerBytes + int(b[2])
	keyEnd := keyStart + int(b[3])
	if len(b) < keyEnd {
		return m, nil, ErrMalformedMessage
	}
	m.Kind, m.Unhealthy = Kind(b[0]), b[1] == 1
	m.From, m.Key = string(b[headerBytes:keyStart]), string(b[keyStart:keyEnd])
	b = b[keyEnd:]
	var numbers [encodedNumbers]uint64
	for i := range numbers {
		v, n := binary.Uvarint(b)
		if n <= 0 {
			return m, nil, ErrMalformedMessage
		}
		numbers[i], b = v, b[n:]
	}
	shares, validFor := numbers[2], numbers[4]
	if shares > maxShares || validFor > uint64(maxValidFor) {
		return m, nil, ErrMalformedMessage
	}
	m.Process, m.Sequence, m.Value = numbers[0], numbers[1], numbers[3]
	m.Shares, m.ValidFor = int(shares), time.Duration(validFor)
	return m, b, nil
}
