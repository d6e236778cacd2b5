package rpc

import (
	"encoding/binary"
	"errors"
	"math"
)

// errIncomplete reports that the buffer ends within the message. After any other error, the buffer can never become a
// valid message.
var errIncomplete = errors.New("message is incomplete")

// maxDepth is the largest number of nesting levels of a value that is skipped.
const maxDepth = 8

// decoder reads MessagePack values from a buffer that may end anywhere.
type decoder struct {
	buffer []byte
	offset int
	needed int // after errIncomplete: bytes that the buffer must hold for the parser to get further
}

// progress returns the result of parsing a value of at most limit bytes. err is the error that stopped the parser, or nil.
func (d *decoder) progress(limit int, err error) (Progress, error) {
	switch {
	case errors.Is(err, errIncomplete) && d.needed <= limit && len(d.buffer) < limit:
		return Progress{Needed: d.needed}, nil
	case err != nil || d.offset > limit:
		return Progress{}, ErrMalformed
	}
	return Progress{Consumed: d.offset}, nil
}

// peek returns the next byte without consuming it.
func (d *decoder) peek() (byte, error) {
	if d.offset >= len(d.buffer) {
		d.needed = d.offset + 1
		return 0, errIncomplete
	}
	return d.buffer[d.offset], nil
}

// take consumes and returns the next size bytes.
func (d *decoder) take(size int) ([]byte, error) {
	if size > len(d.buffer)-d.offset {
		d.needed = d.offset + size
		return nil, errIncomplete
	}
	d.offset += size
	return d.buffer[d.offset-size : d.offset : d.offset], nil
}

// bigEndian reads an unsigned big-endian number of size bytes, at most 8.
func (d *decoder) bigEndian(size int) (uint64, error) {
	bytes, err := d.take(size)
	if err != nil {
		return 0, err
	}
	var padded [8]byte
	copy(padded[8-size:], bytes)
	return binary.BigEndian.Uint64(padded[:]), nil
}

// uint reads an unsigned integer.
func (d *decoder) uint() (uint64, error) {
	head, err := d.peek()
	if err != nil {
		return 0, err
	}
	switch formats[head] {
	case formatPositiveInt:
		d.offset++
		return uint64(head), nil
	case formatUint:
		d.offset++
		return d.bigEndian(1 << (head - headUint8))
	}
	return 0, ErrMalformed
}

// messageID reads the id of a message, which must fit in 32 bits.
func (d *decoder) messageID() (uint64, error) {
	id, err := d.uint()
	if err == nil && id > math.MaxUint32 {
		err = ErrMalformed
	}
	return id, err
}

// arrayLength reads the head of an array, and returns the number of its elements.
func (d *decoder) arrayLength() (int, error) { return d.collectionLength(formatArray, headArray16) }

// mapLength reads the head of a map, and returns the number of its key-value pairs.
func (d *decoder) mapLength() (int, error) { return d.collectionLength(formatMap, headMap16) }

// collectionLength reads the head of an array or a map, whose form with a 16-bit length has the head byte head16. The
// head byte of the form with a 32-bit length is the next one.
func (d *decoder) collectionLength(expected format, head16 byte) (int, error) {
	head, err := d.peek()
	if err != nil {
		return 0, err
	}
	d.offset++
	if formats[head] != expected {
		return 0, ErrMalformed
	}
	if head >= head16 {
		return d.length(2 << (head - head16))
	}
	return int(head & shortCollectionMask), nil
}

// length reads a length that is encoded in size bytes. It must fit in 31 bits.
func (d *decoder) length(size int) (int, error) {
	length, err := d.bigEndian(size)
	if err != nil {
		return 0, err
	}
	if length > math.MaxInt32 {
		return 0, ErrMalformed
	}
	return int(length), nil
}

// bytes reads a string or binary data. Both are accepted, as some client libraries don't distinguish them.
func (d *decoder) bytes() ([]byte, error) {
	size, err := d.bytesLength()
	if err != nil {
		return nil, err
	}
	return d.take(size)
}

// bytesLength reads the head of a string or of binary data, and returns its length in bytes.
func (d *decoder) bytesLength() (int, error) {
	head, err := d.peek()
	if err != nil {
		return 0, err
	}
	d.offset++
	switch {
	case formats[head] == formatBinary:
		return d.length(1 << (head - headBinary8))
	case formats[head] != formatString:
		return 0, ErrMalformed
	case head >= headString8:
		return d.length(1 << (head - headString8))
	}
	return int(head & shortStringMask), nil
}

// skip skips a value of any format. A value with more than depth nesting levels is malformed.
func (d *decoder) skip(depth int) error {
	head, err := d.peek()
	if err != nil {
		return err
	}
	if depth == 0 {
		return ErrMalformed
	}
	switch formats[head] {
	case formatMap:
		pairs, err := d.mapLength()
		if err != nil {
			return err
		}
		return d.skipValues(2*pairs, depth-1)
	case formatArray:
		values, err := d.arrayLength()
		if err != nil {
			return err
		}
		return d.skipValues(values, depth-1)
	case formatExtension:
		return d.skipExtension(head)
	case formatString, formatBinary:
		_, err := d.bytes()
		return err
	case formatNeverUsed:
		return ErrMalformed
	}
	_, err = d.take(scalarSize(head))
	return err
}

// skipValues skips count values, each of at most depth nesting levels.
func (d *decoder) skipValues(count, depth int) error {
	for range count {
		if err := d.skip(depth); err != nil {
			return err
		}
	}
	return nil
}

// skipExtension skips an extension value that consists of a length, a type and data.
func (d *decoder) skipExtension(head byte) error {
	d.offset++
	size, err := d.length(1 << (head - headExtension8))
	if err != nil {
		return err
	}
	_, err = d.take(1 + size)
	return err
}

// scalarSize returns the size in bytes, with the head byte, of a value whose size depends on its head byte alone.
func scalarSize(head byte) int {
	switch formats[head] {
	case formatFloat:
		return 1 + 4<<(head-headFloat32)
	case formatUint:
		return 1 + 1<<(head-headUint8)
	case formatInt:
		return 1 + 1<<(head-headInt8)
	case formatFixedExtension:
		return 2 + 1<<(head-headFixExtension1) // head byte, type and data
	}
	return 1
}
