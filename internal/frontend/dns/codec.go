package dns

import (
	"encoding/binary"
	"errors"
	"net/netip"
	"strings"
)

// Types, classes, codes and bits of RFC 1035, 2782, 3596, 6891 and 7871.
const (
	typeA    = 1
	typeSOA  = 6
	typeAAAA = 28
	typeSRV  = 33
	typeOPT  = 41

	classIN  = 1
	classANY = 255

	codeOK       = 0
	codeFormErr  = 1
	codeServFail = 2
	codeNXDomain = 3
	codeNotImp   = 4
	codeRefused  = 5
	codeBadVers  = 16

	bitResponse  = 1 << 15
	bitAuth      = 1 << 10
	bitTruncated = 1 << 9
	bitRecursion = 1 << 8 // desired; copied
	opcodeMask   = 0xf << 11

	headLen    = 12
	optSubnet  = 8
	plainUDP   = 512  // what a resolver without EDNS takes
	largestUDP = 1232 // what passes without being cut on the way
)

var errForm = errors.New("malformed query")

// query is a parsed query. Its raw question is a slice of the buffer that it was read from.
type query struct {
	id, flags uint16
	question  []byte
	name      string // in lower case, without the last dot
	qtype     uint16
	qclass    uint16
	edns      bool
	version   uint8
	size      int
	subnet    netip.Prefix // of the client, if it is told
	hasSubnet bool
}

// parse reads a query. A message too short for a header, or one that is an answer, gets no reply: ok is
// false. Other faults come with what is known of the query, so that they can be answered.
func parse(b []byte) (q query, ok bool, err error) {
	if len(b) < headLen || b[2]&0x80 != 0 {
		return q, false, errForm
	}
	q.id, q.flags, q.size = binary.BigEndian.Uint16(b), binary.BigEndian.Uint16(b[2:]), plainUDP
	if q.flags&opcodeMask != 0 {
		return q, true, nil // the rest may have another form
	}
	count := func(i int) int { return int(binary.BigEndian.Uint16(b[4+2*i:])) }
	if count(0) != 1 || count(1) != 0 {
		return q, true, errForm
	}
	name, i, err := readName(b, headLen)
	if err != nil || len(b) < i+4 {
		return q, true, errForm
	}
	q.name, q.qtype, q.qclass = name, binary.BigEndian.Uint16(b[i:]), binary.BigEndian.Uint16(b[i+2:])
	q.question = b[headLen : i+4]
	i += 4
	for range count(2) + count(3) {
		if i, err = q.record(b, i); err != nil {
			return q, true, err
		}
	}
	return q, true, nil
}

// record reads a record after the question; only the OPT record matters.
func (q *query) record(b []byte, i int) (int, error) {
	name, i, err := readName(b, i)
	if err != nil || len(b) < i+10 {
		return 0, errForm
	}
	end := i + 10 + int(binary.BigEndian.Uint16(b[i+8:]))
	if len(b) < end {
		return 0, errForm
	}
	if binary.BigEndian.Uint16(b[i:]) == typeOPT {
		if name != "" || q.edns {
			return 0, errForm
		}
		q.edns, q.version = true, b[i+5]
		q.size = min(max(int(binary.BigEndian.Uint16(b[i+2:])), plainUDP), largestUDP)
		return end, q.options(b[i+10 : end])
	}
	return end, nil
}

func (q *query) options(b []byte) error {
	for len(b) > 0 {
		if len(b) < 4 {
			return errForm
		}
		code, n := binary.BigEndian.Uint16(b), int(binary.BigEndian.Uint16(b[2:]))
		if len(b) < 4+n {
			return errForm
		}
		if code == optSubnet {
			if err := q.readSubnet(b[4 : 4+n]); err != nil {
				return err
			}
		}
		b = b[4+n:]
	}
	return nil
}

func (q *query) readSubnet(b []byte) error {
	if len(b) < 4 {
		return errForm
	}
	bits, size := int(b[2]), 0
	switch binary.BigEndian.Uint16(b) {
	case 1:
		size = 4
	case 2:
		size = 16
	default:
		return nil // a family that we don't know
	}
	if bits > size*8 || len(b)-4 != (bits+7)/8 {
		return errForm
	}
	var wide [16]byte
	copy(wide[:], b[4:])
	addr, _ := netip.AddrFromSlice(wide[:size])
	q.subnet, q.hasSubnet = netip.PrefixFrom(addr, bits).Masked(), true
	return nil
}

// readName reads a name, with pointers, which may only point backwards, so that it ends.
func readName(b []byte, i int) (string, int, error) {
	var s strings.Builder
	end, least := 0, i
	for {
		if i >= len(b) {
			return "", 0, errForm
		}
		n := int(b[i])
		switch {
		case n == 0:
			if end == 0 {
				end = i + 1
			}
			return strings.ToLower(s.String()), end, nil
		case n&0xc0 == 0xc0:
			if i+1 >= len(b) {
				return "", 0, errForm
			}
			if end == 0 {
				end = i + 2
			}
			to := n&0x3f<<8 | int(b[i+1])
			if to >= least || to < headLen {
				return "", 0, errForm
			}
			i, least = to, to
		case n > 63 || i+1+n > len(b) || s.Len()+n+1 > 255:
			return "", 0, errForm
		default:
			if s.Len() > 0 {
				s.WriteByte('.')
			}
			s.Write(b[i+1 : i+1+n])
			i += 1 + n
		}
	}
}

// reply builds an answer.
type reply struct {
	b     []byte
	count [3]int // answers, authority, additional
}

// newReply starts the reply to a query with the question, where that was understood.
func newReply(q query, code int) *reply {
	r := &reply{b: make([]byte, headLen, 256)}
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

const (
	answerPart = iota
	authorityPart
	additionalPart
)

// record appends a record. Parts have to come in their order.
func (r *reply) record(part int, name string, rtype, class uint16, ttl uint32, data []byte) {
	r.b = appendName(r.b, name)
	r.b = binary.BigEndian.AppendUint16(r.b, rtype)
	r.b = binary.BigEndian.AppendUint16(r.b, class)
	r.b = binary.BigEndian.AppendUint32(r.b, ttl)
	r.b = binary.BigEndian.AppendUint16(r.b, uint16(len(data)))
	r.b = append(r.b, data...)
	r.count[part]++
}

// finish ends the reply. What is over the size is cut to the question, and marked so: the resolver asks
// again over TCP.
func (r *reply) finish(q query, code, size int) []byte {
	var opt []byte
	if q.edns {
		var data []byte
		if q.hasSubnet { // the answer holds for the whole of the subnet that was told
			family, addr := uint16(1), q.subnet.Addr().AsSlice()
			if len(addr) == 16 {
				family = 2
			}
			bits := q.subnet.Bits()
			data = binary.BigEndian.AppendUint16(nil, optSubnet)
			data = binary.BigEndian.AppendUint16(data, uint16(4+(bits+7)/8))
			data = binary.BigEndian.AppendUint16(data, family)
			data = append(append(data, byte(bits), byte(bits)), addr[:(bits+7)/8]...)
		}
		o := &reply{}
		o.record(additionalPart, "", typeOPT, largestUDP, uint32(code>>4)<<24, data)
		opt = o.b
	}
	if len(r.b)+len(opt) > size {
		r.b, r.count = r.b[:headLen+len(q.question)], [3]int{}
		r.b[2] |= bitTruncated >> 8
	}
	if opt != nil {
		r.b = append(r.b, opt...)
		r.count[additionalPart]++
	}
	for i, n := range r.count {
		binary.BigEndian.PutUint16(r.b[6+2*i:], uint16(n))
	}
	return r.b
}

func appendName(b []byte, name string) []byte {
	for l := range strings.SplitSeq(name, ".") {
		if l != "" {
			b = append(append(b, byte(len(l))), l...)
		}
	}
	return append(b, 0)
}
