// Command citest turns the output of `go test -json` into the verdict of continuous integration, with regard to the
// tests that are known to fail.
//
//	go test -json ./... | go run ./tools/citest -known KNOWN-RED.txt
//
// It prints the packages' lines, the output of each test that failed and the known failures, and exits with 1 unless the
// tests that failed are exactly those that are listed.
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"io/fs"
	"os"
)

func main() {
	known := flag.String("known", "KNOWN-RED.txt", "the `FILE` that lists the tests that are known to fail")
	flag.Parse()
	passed, err := run(*known, os.Stdin, os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "citest:", err)
	}
	if err != nil || !passed {
		os.Exit(1)
	}
}

// run judges the test output read from in, and reports whether the run passed. A list that does not exist is an empty one.
func run(knownPath string, in io.Reader, out io.Writer) (passed bool, err error) {
	text, err := os.ReadFile(knownPath)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return false, err
	}
	known, err := parseKnown(string(text))
	if err != nil {
		return false, fmt.Errorf("%s: %w", knownPath, err)
	}
	results, err := readResults(in, out)
	if err != nil {
		return false, err
	}
	faults := results.judge(known)
	results.report(out, known, faults)
	return len(faults) == 0, nil
}
