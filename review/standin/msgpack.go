package main

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// This file holds the part of MessagePack that clients of a router need.

func appendStr(b []byte, s string) []byte {
	return append(binary.BigEndian.AppendUint16(append(b, 0xda), uint16(len(s))), s...)
}

func appendBin(b, data []byte) []byte {
	return append(binary.BigEndian.AppendUint32(append(b, 0xc6), uint32(len(data))), data...)
}

func appendUint(b []byte, n uint32) []byte { return binary.BigEndian.AppendUint32(append(b, 0xce), n) }

func appendFields(b []byte, fields map[string]string) []byte {
	b = binary.BigEndian.AppendUint16(append(b, 0xde), uint16(len(fields)))
	for name, value := range fields {
		b = appendStr(appendStr(b, name), value)
	}
	return b
}

// appendCall appends [0, ID, METHOD, [FIELDS, BODY]].
func appendCall(b []byte, id uint32, method string, fields map[string]string, body []byte) []byte {
	b = appendStr(appendUint(append(b, 0x94, 0x00), id), method)
	return appendBin(appendFields(append(b, 0x92), fields), body)
}

// appendHealth appends [0, ID, "health", [FIELDS]].
func appendHealth(b []byte, id uint32) []byte {
	b = appendStr(appendUint(append(b, 0x94, 0x00), id), "health")
	return appendFields(append(b, 0x91), nil)
}

// appendCancel appends [2, "cancel", [ID]].
func appendCancel(b []byte, id uint32) []byte {
	return appendUint(append(appendStr(append(b, 0x93, 0x02), "cancel"), 0x91), id)
}

var errForm = errors.New("unexpected form of a MessagePack value")

// readValue reads one value: nil, bool, uint64, []byte (of str and bin), []any or map[string]any.
func readValue(r io.Reader) (any, error) {
	var head [1]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	h := head[0]
	switch {
	case h <= 0x7f:
		return uint64(h), nil
	case h <= 0x8f:
		return readMap(r, int(h&0x0f))
	case h <= 0x9f:
		return readArray(r, int(h&0x0f))
	case h <= 0xbf:
		return readBytes(r, int(h&0x1f))
	case h == 0xc0:
		return nil, nil
	case h == 0xc2 || h == 0xc3:
		return h == 0xc3, nil
	case h >= 0xcc && h <= 0xcf:
		return readUint(r, 1<<(h-0xcc))
	}
	return readLong(r, h)
}

// readLong reads a value whose length follows its head.
func readLong(r io.Reader, head byte) (any, error) {
	sizes := map[byte]int{0xc4: 1, 0xc5: 2, 0xc6: 4, 0xd9: 1, 0xda: 2, 0xdb: 4, 0xdc: 2, 0xdd: 4, 0xde: 2, 0xdf: 4}
	size, ok := sizes[head]
	if !ok {
		return nil, fmt.Errorf("%w: head %#x", errForm, head)
	}
	n, err := readUint(r, size)
	if err != nil {
		return nil, err
	}
	if n > 1<<24 {
		return nil, errForm
	}
	switch head {
	case 0xdc, 0xdd:
		return readArray(r, int(n))
	case 0xde, 0xdf:
		return readMap(r, int(n))
	}
	return readBytes(r, int(n))
}

func readUint(r io.Reader, size int) (uint64, error) {
	var b [8]byte
	if _, err := io.ReadFull(r, b[8-size:]); err != nil {
		return 0, err
	}
	return binary.BigEndian.Uint64(b[:]), nil
}

func readBytes(r io.Reader, size int) ([]byte, error) {
	b := make([]byte, size)
	_, err := io.ReadFull(r, b)
	return b, err
}

func readArray(r io.Reader, size int) ([]any, error) {
	var values []any
	for range size {
		v, err := readValue(r)
		if err != nil {
			return nil, err
		}
		values = append(values, v)
	}
	return values, nil
}

func readMap(r io.Reader, size int) (map[string]any, error) {
	values := map[string]any{}
	for range size {
		name, err := readValue(r)
		if err != nil {
			return nil, err
		}
		text, ok := name.([]byte)
		if !ok {
			return nil, errForm
		}
		if values[string(text)], err = readValue(r); err != nil {
			return nil, err
		}
	}
	return values, nil
}
