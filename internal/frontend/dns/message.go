package dns

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

	headerLen  = 12
	optSubnet  = 8
	familyIPv4 = 1
	familyIPv6 = 2
	plainUDP   = 512  // what a resolver without EDNS takes
	largestUDP = 1232 // what passes without being cut on the way
)
