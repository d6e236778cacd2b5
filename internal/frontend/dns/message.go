package dns

// Types, classes, response codes, flags and sizes of RFC 1035, 2782, 3596, 6891 and 7871.
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

	bitResponse         = 1 << 15
	bitAuthoritative    = 1 << 10
	bitTruncated        = 1 << 9
	bitRecursionDesired = 1 << 8 // copied from the query into the reply
	opcodeMask          = 0xf << 11

	headerLen       = 12
	optClientSubnet = 8
	familyIPv4      = 1
	familyIPv6      = 2
	plainUDPSize    = 512  // largest reply in bytes that a resolver without EDNS accepts
	maxUDPSize      = 1232 // largest reply in bytes that is not fragmented on its way
)
