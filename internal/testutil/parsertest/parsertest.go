// Package parsertest checks parsers with random messages that are truncated, damaged or split into chunks. Every run uses the
// same seed, so that its result does not vary. Only tests use this package.
package parsertest

import (
	"bytes"
	"flag"
	"testing"

	"pgregory.net/rapid"
)

// maxDamagedBytes is the largest number of bytes that Garbage damages in a message.
const maxDamagedBytes = 4

// init fixes the seed of rapid, which can only be set by a flag, and keeps rapid from writing files about failures.
func init() {
	for name, value := range map[string]string{"rapid.seed": "20261201", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// Parser parses the message at the start of buf. It returns n, the length of the message in bytes. If the message is
// incomplete, n is 0 and needed is the length of buf that the parser needs, in bytes, or 0 if that is unknown.
type Parser func(buf []byte) (n, needed int, err error)

// Run checks a parser with the messages that generate returns: complete, truncated and damaged ones.
func Run(t *testing.T, generate func(*rapid.T) []byte, parse Parser) {
	t.Helper()
	t.Run("cuts", rapid.MakeCheck(func(t *rapid.T) { checkTruncated(t, generate, parse) }))
	Garbage(t, generate, parse)
}

// checkTruncated checks a parser with two consecutive messages that are truncated at a random position. The parser must
// return the length of the first message if that is complete. Otherwise it must consume nothing, and the length that it needs
// must be 0, or larger than the buffer and not larger than the first message.
func checkTruncated(t *rapid.T, generate func(*rapid.T) []byte, parse Parser) {
	first := generate(t)
	all := append(bytes.Clone(first), generate(t)...)
	cut := rapid.IntRange(0, len(all)).Draw(t, "cut")
	n, needed, err := parse(bytes.Clone(all[:cut]))
	switch {
	case err != nil:
		t.Fatalf("%q: %v", all[:cut], err)
	case cut >= len(first) && n != len(first):
		t.Fatalf("%q: consumed %d bytes of a message of %d", all[:cut], n, len(first))
	case cut < len(first) && (n != 0 || needed != 0 && (needed <= cut || needed > len(first))):
		t.Fatalf("%q: consumed %d bytes and needs %d of an incomplete message of %d", all[:cut], n, needed, len(first))
	}
}

// Garbage checks a parser with random bytes and with damaged messages. The parser may return an error, but it must not panic,
// consume more bytes than the buffer holds, or need a length that the buffer already has.
func Garbage(t *testing.T, generate func(*rapid.T) []byte, parse Parser) {
	t.Helper()
	t.Run("garbage", rapid.MakeCheck(func(t *rapid.T) {
		buf := rapid.SliceOf(rapid.Byte()).Draw(t, "bytes")
		if rapid.Bool().Draw(t, "bent") { // messages that are mostly valid reach more of the parser's code
			buf = generate(t)
			for range rapid.IntRange(1, maxDamagedBytes).Draw(t, "bends") {
				damageByte(t, buf)
			}
		}
		n, needed, err := parse(buf)
		if n < 0 || n > len(buf) || err == nil && n == 0 && needed != 0 && needed <= len(buf) {
			t.Fatalf("%q: consumed %d bytes and needs %d", buf, n, needed)
		}
	}))
}

// Chunks checks a parser that keeps state between calls: its result must not depend on how its input is split into chunks. The
// function parse passes all chunks to a new parser, and returns a description of the result.
func Chunks(t *testing.T, generate func(*rapid.T) []byte, parse func(chunks [][]byte) string) {
	t.Helper()
	t.Run("chunks", rapid.MakeCheck(func(t *rapid.T) {
		all := generate(t)
		if rapid.Bool().Draw(t, "bent") {
			damageByte(t, all)
		}
		want := parse([][]byte{bytes.Clone(all)})
		chunks := splitAtRandom(t, bytes.Clone(all))
		if got := parse(chunks); got != want {
			t.Fatalf("%q in %d chunks: got %q, want %q", all, len(chunks), got, want)
		}
	}))
}

// damageByte sets a random byte of a message to a random value.
func damageByte(t *rapid.T, message []byte) {
	message[rapid.IntRange(0, len(message)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
}

// splitAtRandom splits all into chunks of random lengths, none of them empty.
func splitAtRandom(t *rapid.T, all []byte) (chunks [][]byte) {
	for len(all) > 0 {
		n := rapid.IntRange(1, len(all)).Draw(t, "n")
		chunks, all = append(chunks, all[:n]), all[n:]
	}
	return chunks
}
