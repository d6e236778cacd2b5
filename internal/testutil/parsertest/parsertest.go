// Package parsertest checks parsers against random cuts of valid messages and random garbage, from fixed
// seeds: every run has the same verdict.
package parsertest

import (
	"bytes"
	"flag"
	"testing"

	"pgregory.net/rapid"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "20261201", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// Parser parses the message at the start of a buffer. It returns the length of the message, or 0 where that is
// not whole yet, with the length that is needed, if it is known.
type Parser func(buf []byte) (n, want int, err error)

// Run checks a parser that is given messages by gen.
func Run(t *testing.T, gen func(*rapid.T) []byte, parse Parser) {
	t.Run("cuts", rapid.MakeCheck(func(t *rapid.T) {
		first := gen(t)
		all := append(bytes.Clone(first), gen(t)...)
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
	}))
	Garbage(t, gen, parse)
}

// Garbage checks a parser against random bytes, and against messages in which some are bent.
func Garbage(t *testing.T, gen func(*rapid.T) []byte, parse Parser) {
	t.Run("garbage", rapid.MakeCheck(func(t *rapid.T) {
		buf := rapid.SliceOf(rapid.Byte()).Draw(t, "bytes")
		if rapid.Bool().Draw(t, "bent") { // most of it valid, which leads further in
			buf = gen(t)
			for range rapid.IntRange(1, 4).Draw(t, "bends") {
				buf[rapid.IntRange(0, len(buf)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
			}
		}
		n, want, err := parse(buf)
		if n < 0 || n > len(buf) || err == nil && n == 0 && want != 0 && want <= len(buf) {
			t.Fatalf("%q: used %d, wants %d", buf, n, want)
		}
	}))
}

// Chunks checks a parser that keeps state: however its input is cut, it must find the same.
func Chunks(t *testing.T, gen func(*rapid.T) []byte, parse func(chunks [][]byte) string) {
	t.Run("chunks", rapid.MakeCheck(func(t *rapid.T) {
		all := gen(t)
		if rapid.Bool().Draw(t, "bent") {
			all[rapid.IntRange(0, len(all)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		}
		want := parse([][]byte{bytes.Clone(all)})
		var chunks [][]byte
		for rest := bytes.Clone(all); len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "n")
			chunks, rest = append(chunks, rest[:n]), rest[n:]
		}
		if got := parse(chunks); got != want {
			t.Fatalf("%q in %d pieces: %q, want %q", all, len(chunks), got, want)
		}
	}))
}
