// Command citest reads the output of `go test -json` and decides whether continuous integration passes, given a list of the
// tests that are known to fail.
//
//	go test -json ./... | go run ./tools/citest -known KNOWN-RED.txt
//
// It prints the closing line of each package, the output of each failed test, the known failures, the faults of the run and
// the counts of tests. It exits with status 1 unless the failed tests are exactly the listed ones and all packages ran to
// their end. A test that is listed as failing at times may pass or fail, but must run.
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
	known := flag.String("known", "KNOWN-RED.txt", "`FILE` that lists the tests that are known to fail")
	flag.Parse()
	passed, err := run(*known, os.Stdin, os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "citest:", err)
	}
	if err != nil || !passed {
		os.Exit(1)
	}
}

// run reads test output from in, compares it with the list at knownPath, prints a report to out, and reports whether the run
// passed. A list file that does not exist counts as an empty list. run returns an error if it cannot read or parse the list
// or the test output.
func run(knownPath string, in io.Reader, out io.Writer) (passed bool, err error) {
	text, err := os.ReadFile(knownPath)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return false, err
	}
	known, err := parseKnownFailures(string(text))
	if err != nil {
		return false, fmt.Errorf("%s: %w", knownPath, err)
	}
	results, err := readResults(in, out)
	if err != nil {
		return false, err
	}
	faults := results.findFaults(known)
	results.report(out, known, faults)
	return len(faults) == 0, nil
}
