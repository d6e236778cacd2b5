package dns

import (
	"encoding/binary"
	"net"
	"strings"
)

// reply builds the reply to a query.
type reply struct {
	b     []byte
	count [sectionCount]int // records by section
}

// newReply starts the reply to a query. The reply repeats the question, if it could be read.
func newReply(q query, code int) *reply {
	r := &reply{b: make([]byte, headerLen, 256)}
	binary.BigEndian.PutUint16(r.b, q.id)
	flags := q.flags&(opcodeMask|bitRecursionDesired) | bitResponse | uint16(code&0xf)
	if code == codeOK || code == codeNXDomain {
		flags |= bitAuthoritative
	}
	binary.BigEndian.PutUint16(r.b[2:], flags)
	if len(q.question) > 0 {
		binary.BigEndian.PutUint16(r.b[4:], 1)
		r.b = append(r.b, q.question...)
	}
	return r
}

// section is a section of a reply that holds records.
type section int

// The sections, in their order on the wire.
const (
	answerSection section = iota
	authoritySection
	additionalSection
	sectionCount
)

// appendRecord appends a record. The caller must append the records of the sections in their order.
func (r *reply) appendRecord(s section, name string, rtype, class uint16, ttl uint32, data []byte) {
	r.b = appendName(r.b, name)
	r.b = binary.BigEndian.AppendUint16(r.b, rtype)
	r.b = binary.BigEndian.AppendUint16(r.b, class)
	r.b = binary.BigEndian.AppendUint32(r.b, ttl)
	r.b = binary.BigEndian.AppendUint16(r.b, uint16(len(data)))
	r.b = append(r.b, data...)
	r.count[s]++
}

// finish completes the reply and returns it. A reply of more than size bytes loses all its records but the OPT record, and
// is marked as truncated, so that the resolver retries over TCP.
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

// optRecord returns the OPT record of a reply, RFC 6891. It repeats the client's subnet, RFC 7871, as the answer is valid
// for all clients of that subnet.
func optRecord(q query, code int) []byte {
	var data []byte
	if q.hasSubnet {
		family, addr := uint16(familyIPv4), q.subnet.Addr().AsSlice()
		if len(addr) == net.IPv6len {
			family = familyIPv6
		}
		bits := q.subnet.Bits()
		size := (bits + 7) / 8
		data = binary.BigEndian.AppendUint16(nil, optClientSubnet)
		data = binary.BigEndian.AppendUint16(data, uint16(4+size))
		data = binary.BigEndian.AppendUint16(data, family)
		data = append(data, byte(bits), byte(bits)) // prefix lengths of the query and of the answer
		data = append(data, addr[:size]...)
	}
	opt := &reply{}
	opt.appendRecord(additionalSection, "", typeOPT, maxUDPSize, uint32(code>>4)<<24, data)
	return opt.b
}

// appendName appends a name in uncompressed form.
func appendName(b []byte, name string) []byte {
	for l := range strings.SplitSeq(name, ".") {
		if l != "" {
			b = append(append(b, byte(len(l))), l...)
		}
	}
	return append(b, 0)
}
