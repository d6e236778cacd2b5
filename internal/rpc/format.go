package rpc

// format is the type of a MessagePack value, which its head byte determines.
type format uint8

const (
	formatNeverUsed format = iota
	formatPositiveInt
	formatNegativeInt
	formatNil
	formatBool
	formatUint
	formatInt
	formatFloat
	formatString
	formatBinary
	formatArray
	formatMap
	formatExtension
	formatFixedExtension
)

// The head bytes of the formats. A head byte is the first byte of a value. The formats of 8, 16, 32 and 64 bits have
// consecutive head bytes, so that the distance from the first of them gives the size.
const (
	headFixMap        = 0x80
	headFixArray      = 0x90
	headFixString     = 0xa0
	headNil           = 0xc0
	headNeverUsed     = 0xc1
	headFalse         = 0xc2
	headTrue          = 0xc3
	headBinary8       = 0xc4
	headBinary16      = 0xc5
	headBinary32      = 0xc6
	headExtension8    = 0xc7
	headFloat32       = 0xca
	headUint8         = 0xcc
	headUint16        = 0xcd
	headUint32        = 0xce
	headUint64        = 0xcf
	headInt8          = 0xd0
	headFixExtension1 = 0xd4
	headString8       = 0xd9
	headString16      = 0xda
	headArray16       = 0xdc
	headMap16         = 0xde
	headNegativeInt   = 0xe0
)

// maxPositiveFixInt is the largest integer that is encoded as its head byte alone.
const maxPositiveFixInt = headFixMap - 1

// Masks of the length that the head byte of a short map, array or string holds.
const (
	shortCollectionMask = 0x0f
	shortStringMask     = 0x1f
)

// formats holds the format of each head byte.
var formats = formatTable()

// formatTable returns the format of each head byte.
func formatTable() [256]format {
	ranges := []struct {
		head   int
		format format
	}{
		{0x00, formatPositiveInt},
		{headFixMap, formatMap},
		{headFixArray, formatArray},
		{headFixString, formatString},
		{headNil, formatNil},
		{headNeverUsed, formatNeverUsed},
		{headFalse, formatBool},
		{headBinary8, formatBinary},
		{headExtension8, formatExtension},
		{headFloat32, formatFloat},
		{headUint8, formatUint},
		{headInt8, formatInt},
		{headFixExtension1, formatFixedExtension},
		{headString8, formatString},
		{headArray16, formatArray},
		{headMap16, formatMap},
		{headNegativeInt, formatNegativeInt},
	}
	var table [256]format
	for _, r := range ranges { // each range ends where the next begins
		for c := r.head; c < len(table); c++ {
			table[c] = r.format
		}
	}
	return table
}
