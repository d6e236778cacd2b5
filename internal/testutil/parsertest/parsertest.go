// Package parsertest checks parsers with random messages: cut, damaged, and split into chunks. All runs draw from one fixed
// seed, so that they have the same verdict. Only tests use it.
package parsertest

import (
	"bytes"
	"flag"
	"testing"

	"pgregory.net/rapid"
)

// maxDamaged is the largest number of bytes that are damaged in a message.
const maxDamaged = 4

// init fixes the seed of rapid, which reads it from a flag alone.
func init() {
	for name, value := range map[string]string{"rapid.seed": "20261201", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// Parser parses the message at the start of a buffer. It returns the length of the message, in bytes. Where the message is
// not complete yet that is 0, and want is the length that is needed, or 0 if it is not known.
type Parser func(buf []byte) (n, want int, err error)

// Run checks a parser with the messages that generate draws: complete ones, incomplete ones, and damaged ones.
func Run(t *testing.T, generate func(*rapid.T) []byte, parse Parser) {
	t.Helper()
	t.Run("cuts", rapid.MakeCheck(func(t *rapid.T) { checkCut(t, generate, parse) }))
	Garbage(t, generate, parse)
}

// checkCut checks a parser with two messages, of which the end is missing.
func checkCut(t *rapid.T, generate func(*rapid.T) []byte, parse Parser) {
	first := generate(t)
	all := append(bytes.Clone(first), generate(t)...)
	cut := rapid.IntRange(0, len(all)).Draw(t, "cut")
	n, want, err := parse(bytes.Clone(all[:cut]))
	switch {
	case err != nil:
		t.Fatalf("%q: %v", all[:cut], err)
	case cut >= len(first) && n != len(first):
		t.Fatalf("%q: used %d of a message of %d", all[:cut], n, len(first))
	case cut < len(first) && (n != 0 || want != 0 && (want <= cut || want > len(first))):
		t.Fatalf("%q: used %d, wants %d of a message of %d", all[:cut], n, want, len(first))
	}
}

// Garbage checks a parser with random bytes and with damaged messages: it may fail, but it may not claim more than it was
// given, nor panic.
func Garbage(t *testing.T, generate func(*rapid.T) []byte, parse Parser) {
	t.Helper()
	t.Run("garbage", rapid.MakeCheck(func(t *rapid.T) {
		buf := rapid.SliceOf(rapid.Byte()).Draw(t, "bytes")
		if rapid.Bool().Draw(t, "bent") { // mostly valid bytes reach more of the parser
			buf = generate(t)
			for range rapid.IntRange(1, maxDamaged).Draw(t, "bends") {
				damage(t, buf)
			}
		}
		n, want, err := parse(buf)
		if n < 0 || n > len(buf) || err == nil && n == 0 && want != 0 && want <= len(buf) {
			t.Fatalf("%q: used %d, wants %d", buf, n, want)
		}
	}))
}

// Chunks checks a parser that keeps state between calls: its result must not depend on how its input is split. The function
// parse gives all chunks to a new parser, and describes the result.
func Chunks(t *testing.T, generate func(*rapid.T) []byte, parse func(chunks [][]byte) string) {
	t.Helper()
	t.Run("chunks", rapid.MakeCheck(func(t *rapid.T) {
		all := generate(t)
		if rapid.Bool().Draw(t, "bent") {
			damage(t, all)
		}
		want := parse([][]byte{bytes.Clone(all)})
		chunks := split(t, bytes.Clone(all))
		if got := parse(chunks); got != want {
			t.Fatalf("%q in %d pieces: %q, want %q", all, len(chunks), got, want)
		}
	}))
}

// damage sets one byte of a message at random.
func damage(t *rapid.T, message []byte) {
	message[rapid.IntRange(0, len(message)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
}

// split cuts bytes into chunks at random.
func split(t *rapid.T, all []byte) (chunks [][]byte) {
	for len(all) > 0 {
		n := rapid.IntRange(1, len(all)).Draw(t, "n")
		chunks, all = append(chunks, all[:n]), all[n:]
	}
	return chunks
}
