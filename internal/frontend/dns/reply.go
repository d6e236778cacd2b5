package dns

import (
	"encoding/binary"
	"net"
	"strings"
)

// reply builds an answer.
type reply struct {
	b     []byte
	count [sectionCount]int // records by section
}

// newReply starts the reply to a query with the question, where that was understood.
func newReply(q query, code int) *reply {
	r := &reply{b: make([]byte, headerLen, 256)}
	binary.BigEndian.PutUint16(r.b, q.id)
	flags := q.flags&(opcodeMask|bitRecursion) | bitResponse | uint16(code&0xf)
	if code == codeOK || code == codeNXDomain {
		flags |= bitAuth
	}
	binary.BigEndian.PutUint16(r.b[2:], flags)
	if len(q.question) > 0 {
		binary.BigEndian.PutUint16(r.b[4:], 1)
		r.b = append(r.b, q.question...)
	}
	return r
}

// section is a part of a reply.
type section int

// The sections, in the order in which they stand.
const (
	answerSection section = iota
	authoritySection
	additionalSection
	sectionCount
)

// record appends a record. Sections have to come in their order.
func (r *reply) record(s section, name string, rtype, class uint16, ttl uint32, data []byte) {
	r.b = appendName(r.b, name)
	r.b = binary.BigEndian.AppendUint16(r.b, rtype)
	r.b = binary.BigEndian.AppendUint16(r.b, class)
	r.b = binary.BigEndian.AppendUint32(r.b, ttl)
	r.b = binary.BigEndian.AppendUint16(r.b, uint16(len(data)))
	r.b = append(r.b, data...)
	r.count[s]++
}

// finish ends the reply. What is over the size is cut to the question, and marked so: the resolver asks
// again over TCP.
func (r *reply) finish(q query, code, size int) []byte {
	var opt []byte
	if q.edns {
		opt = optRecord(q, code)
	}
	if len(r.b)+len(opt) > size {
		r.b, r.count = r.b[:headerLen+len(q.question)], [sectionCount]int{}
		r.b[2] |= bitTruncated >> 8
	}
	if opt != nil {
		r.b = append(r.b, opt...)
		r.count[additionalSection]++
	}
	for i, n := range r.count {
		binary.BigEndian.PutUint16(r.b[6+2*i:], uint16(n))
	}
	return r.b
}

// optRecord is the OPT record of a reply, RFC 6891. It repeats the client's subnet, RFC 7871: the answer holds for the
// whole of it.
func optRecord(q query, code int) []byte {
	var data []byte
	if q.hasSubnet {
		family, addr := uint16(familyIPv4), q.subnet.Addr().AsSlice()
		if len(addr) == net.IPv6len {
			family = familyIPv6
		}
		bits := q.subnet.Bits()
		size := (bits + 7) / 8
		data = binary.BigEndian.AppendUint16(nil, optSubnet)
		data = binary.BigEndian.AppendUint16(data, uint16(4+size))
		data = binary.BigEndian.AppendUint16(data, family)
		data = append(data, byte(bits), byte(bits)) // of the query, and of the answer
		data = append(data, addr[:size]...)
	}
	opt := &reply{}
	opt.record(additionalSection, "", typeOPT, largestUDP, uint32(code>>4)<<24, data)
	return opt.b
}

// appendName appends a name without compression.
func appendName(b []byte, name string) []byte {
	for l := range strings.SplitSeq(name, ".") {
		if l != "" {
			b = append(append(b, byte(len(l))), l...)
		}
	}
	return append(b, 0)
}
