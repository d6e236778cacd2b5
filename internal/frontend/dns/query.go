package dns

import (
	"cmp"
	"encoding/binary"
	"errors"
	"net"
	"net/netip"
	"strings"
)

var errMalformed = errors.New("malformed query")

// query is a parsed query. Its raw question is a slice of the buffer that the query was read from.
type query struct {
	id, flags   uint16
	question    []byte
	name        string // in lower case, without the last dot
	qtype       uint16
	qclass      uint16
	edns        bool
	ednsVersion uint8
	size        int          // of the longest reply over UDP that the resolver accepts, in bytes
	subnet      netip.Prefix // of the client, if hasSubnet is set
	hasSubnet   bool
}

// parseQuery reads a query. If the message is too short for a header, or is a response, ok is false, and no reply may be sent.
// With any other error, parseQuery returns what it has read of the query, so that the error can be answered.
func parseQuery(b []byte) (q query, ok bool, err error) {
	if len(b) < headerLen || b[2]&0x80 != 0 {
		return q, false, errMalformed
	}
	q.id, q.flags, q.size = binary.BigEndian.Uint16(b), binary.BigEndian.Uint16(b[2:]), plainUDPSize
	if q.flags&opcodeMask != 0 {
		return q, true, nil // other opcodes may have another message format
	}
	count := func(i int) int { return int(binary.BigEndian.Uint16(b[4+2*i:])) }
	if count(0) != 1 || count(1) != 0 {
		return q, true, errMalformed
	}
	name, i, err := readName(b, headerLen)
	if err != nil || len(b) < i+4 {
		return q, true, errMalformed
	}
	q.name, q.qtype, q.qclass = name, binary.BigEndian.Uint16(b[i:]), binary.BigEndian.Uint16(b[i+2:])
	q.question = b[headerLen : i+4]
	i += 4
	for range count(2) + count(3) {
		if i, err = q.readRecord(b, i); err != nil {
			return q, true, err
		}
	}
	return q, true, nil
}

// readRecord reads a record after the question, and returns the offset after it. All records but the OPT record are
// ignored.
func (q *query) readRecord(b []byte, i int) (int, error) {
	name, i, err := readName(b, i)
	if err != nil || len(b) < i+10 {
		return 0, errMalformed
	}
	end := i + 10 + int(binary.BigEndian.Uint16(b[i+8:]))
	if len(b) < end {
		return 0, errMalformed
	}
	if binary.BigEndian.Uint16(b[i:]) == typeOPT {
		if name != "" || q.edns {
			return 0, errMalformed
		}
		q.edns, q.ednsVersion = true, b[i+5]
		q.size = min(max(int(binary.BigEndian.Uint16(b[i+2:])), plainUDPSize), maxUDPSize)
		return end, q.readOptions(b[i+10 : end])
	}
	return end, nil
}

// readOptions reads the options of the OPT record, of which only the client's subnet is used.
func (q *query) readOptions(b []byte) error {
	for len(b) > 0 {
		if len(b) < 4 {
			return errMalformed
		}
		code, n := binary.BigEndian.Uint16(b), int(binary.BigEndian.Uint16(b[2:]))
		if len(b) < 4+n {
			return errMalformed
		}
		if code == optClientSubnet {
			if err := q.readSubnet(b[4 : 4+n]); err != nil {
				return err
			}
		}
		b = b[4+n:]
	}
	return nil
}

// readSubnet reads the option that holds the client's subnet, RFC 7871, 6.
func (q *query) readSubnet(b []byte) error {
	if len(b) < 4 {
		return errMalformed
	}
	bits, size := int(b[2]), 0
	switch binary.BigEndian.Uint16(b) {
	case familyIPv4:
		size = net.IPv4len
	case familyIPv6:
		size = net.IPv6len
	default:
		return nil // unknown address family
	}
	if bits > size*8 || len(b)-4 != (bits+7)/8 {
		return errMalformed
	}
	var padded [16]byte
	copy(padded[:], b[4:])
	addr, _ := netip.AddrFromSlice(padded[:size])
	q.subnet, q.hasSubnet = netip.PrefixFrom(addr, bits).Masked(), true
	return nil
}

// readName reads the name at offset i, and returns it in lower case with the offset after it. Compression pointers may
// only point backwards, so that reading always ends.
func readName(b []byte, i int) (name string, next int, err error) {
	var text strings.Builder
	lowest := i // a pointer must point before this offset
	for {
		if i >= len(b) {
			return "", 0, errMalformed
		}
		n := int(b[i])
		switch {
		case n == 0:
			return strings.ToLower(text.String()), cmp.Or(next, i+1), nil
		case n&pointerMask == pointerMask:
			if i+1 >= len(b) {
				return "", 0, errMalformed
			}
			next = cmp.Or(next, i+2)
			target := n&^pointerMask<<8 | int(b[i+1])
			if target >= lowest || target < headerLen {
				return "", 0, errMalformed
			}
			i, lowest = target, target
		case n > maxLabel || i+1+n > len(b) || text.Len()+n+1 > maxName:
			return "", 0, errMalformed
		default:
			if text.Len() > 0 {
				text.WriteByte('.')
			}
			text.Write(b[i+1 : i+1+n])
			i += 1 + n
		}
	}
}

// The encoding of names, RFC 1035, 3.1 and 4.1.4. Lengths are in bytes.
const (
	pointerMask = 0xc0
	maxLabel    = 63
	maxName     = 255
)
