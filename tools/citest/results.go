package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// maxLineSize is the largest accepted length of a line of the test output, in bytes.
const maxLineSize = 16 << 20

// testName identifies a test by the import path of its package and its full name, in which slashes separate the names of
// subtests. Test is empty for the package itself.
type testName struct{ Package, Test string }

func (n testName) String() string { return n.Package + "." + n.Test }

func (n testName) compare(other testName) int { return strings.Compare(n.String(), other.String()) }

// event is one line of the output of `go test -json`, as `go doc test2json` describes it.
type event struct {
	Action     string
	Package    string
	ImportPath string // package that a build-output or build-fail event is about
	Test       string
	Output     string
}

// results holds the outcome of a run of `go test -json`.
type results struct {
	passed, skipped int                           // numbers of tests and subtests
	failed          map[testName]bool             // failed tests, without those that have a failed subtest
	outcomes        map[testName]string           // action that ended each test: pass, fail or skip
	output          map[testName]*strings.Builder // printed lines of each test and package
	brokenPackages  map[string]string             // output of the packages that did not build or did not run to their end
	packageFailed   map[string]bool               // whether the package failed, for each package that ended
	startedPackages map[string]bool               // packages that started
}

// readResults reads the events of a run, and copies the closing line of each package to out as soon as it is read. It returns
// an error if a line is not JSON or reading fails.
func readResults(in io.Reader, out io.Writer) (*results, error) {
	r := &results{failed: map[testName]bool{}, outcomes: map[testName]string{}, output: map[testName]*strings.Builder{},
		brokenPackages: map[string]string{}, packageFailed: map[string]bool{}, startedPackages: map[string]bool{}}
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLineSize)
	for lines.Scan() {
		var e event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return nil, fmt.Errorf("line is not output of go test -json: %q", lines.Text())
		}
		r.record(e, out)
	}
	if err := lines.Err(); err != nil {
		return nil, err
	}
	r.removeFailedParents()
	return r, nil
}

// record adds one event to the results.
func (r *results) record(e event, out io.Writer) {
	name := testName{Package: e.Package, Test: e.Test}
	switch e.Action {
	case "start":
		r.startedPackages[e.Package] = true
	case "output", "build-output":
		r.recordOutput(name, e, out)
	case "build-fail":
		r.brokenPackages[e.ImportPath] += "build failed\n"
	case "pass", "fail", "skip":
		if e.Test == "" {
			r.packageFailed[e.Package] = e.Action == "fail"
			return
		}
		r.outcomes[name] = e.Action
		switch e.Action {
		case "pass":
			r.passed++
		case "skip":
			r.skipped++
		default:
			r.failed[name] = true
		}
	}
}

// recordOutput records the output of an event for the report, marks its package as broken if the output is of a build or a
// crash, and copies the closing line of a package to out.
func (r *results) recordOutput(name testName, e event, out io.Writer) {
	if e.ImportPath != "" && e.Package == "" {
		r.brokenPackages[e.ImportPath] += e.Output
		return
	}
	if r.output[name] == nil {
		r.output[name] = &strings.Builder{}
	}
	r.output[name].WriteString(e.Output)
	if isCrash(e.Output) { // the remaining tests of the package have not run
		r.brokenPackages[e.Package] += e.Output
	}
	if isClosingLine(e) {
		_, _ = io.WriteString(out, e.Output) // the result of the run counts even if it cannot be printed
	}
}

// isCrash reports whether a line of output begins the message of a panic, a fatal error or a data race. Such a message counts
// as an early end of the test program.
func isCrash(line string) bool {
	return strings.HasPrefix(line, "panic: ") || strings.HasPrefix(line, "fatal error: ") ||
		strings.HasPrefix(line, "WARNING: DATA RACE")
}

// isClosingLine reports whether an event is the line that `go test` prints at the end of a package that passed or failed.
func isClosingLine(e event) bool {
	return e.Test == "" && (strings.HasPrefix(e.Output, "ok  \t") || strings.HasPrefix(e.Output, "FAIL\t"))
}

// removeFailedParents removes from the failed tests each one that has a failed subtest.
func (r *results) removeFailedParents() {
	for name := range maps.Clone(r.failed) {
		for {
			slash := strings.LastIndex(name.Test, "/")
			if slash < 0 {
				break
			}
			name.Test = name.Test[:slash]
			delete(r.failed, name)
		}
	}
}

// findFaults returns a description of each fault of the run: a failed test that is not listed, a listed test that did not
// fail or did not run, and a package that failed for another reason than its tests. It is a fault as well if no test ran.
func (r *results) findFaults(known []knownFailure) []string {
	faults := append(r.findTestFaults(known), r.findPackageFaults()...)
	if len(r.outcomes) == 0 {
		faults = append(faults, "no test ran")
	}
	return faults
}

// findTestFaults returns the differences between the failed tests and the listed ones.
func (r *results) findTestFaults(known []knownFailure) (faults []string) {
	listed := map[testName]bool{}
	for _, failure := range known {
		if failure.Test == (testName{}) {
			continue
		}
		listed[failure.Test] = true
		switch outcome := r.outcomes[failure.Test]; {
		case outcome == "" || outcome == "skip":
			faults = append(faults, fmt.Sprintf("%s is listed but did not run", failure.Test))
		case failure.Intermittent:
		case !r.failed[failure.Test]:
			faults = append(faults, fmt.Sprintf(
				"%s is listed but did not fail by itself (%s): remove it from the list", failure.Test, outcome))
		}
	}
	for _, name := range slices.SortedFunc(maps.Keys(r.failed), testName.compare) {
		if !listed[name] {
			faults = append(faults, fmt.Sprintf("%s failed but is not listed", name))
		}
	}
	return faults
}

// findPackageFaults returns a description of each package that failed without a failed test, did not end, did not build or did
// not run to its end.
func (r *results) findPackageFaults() (faults []string) {
	hasFailedTest := map[string]bool{}
	for name := range r.failed {
		hasFailedTest[name.Package] = true
	}
	for _, pkg := range slices.Sorted(maps.Keys(r.packageFailed)) {
		if r.packageFailed[pkg] && !hasFailedTest[pkg] && r.brokenPackages[pkg] == "" {
			faults = append(faults, fmt.Sprintf("package %s failed without a failed test", pkg))
		}
	}
	for _, pkg := range slices.Sorted(maps.Keys(r.startedPackages)) {
		if _, ended := r.packageFailed[pkg]; !ended {
			faults = append(faults, fmt.Sprintf("package %s started but did not end", pkg))
		}
	}
	for _, pkg := range slices.Sorted(maps.Keys(r.brokenPackages)) {
		faults = append(faults, fmt.Sprintf("package %s did not build or did not run to its end", pkg))
	}
	return faults
}

// report prints the output of the failed tests and broken packages, the known failures, the faults and the counts of tests.
func (r *results) report(out io.Writer, known []knownFailure, faults []string) {
	printf := func(format string, args ...any) { _, _ = fmt.Fprintf(out, format, args...) } // ignores errors, as recordOutput does
	for _, name := range slices.SortedFunc(maps.Keys(r.failed), testName.compare) {
		printf("--- output of %s\n%s", name, r.output[name])
	}
	for _, pkg := range slices.Sorted(maps.Keys(r.brokenPackages)) {
		printf("--- output of package %s\n%s%s\n", pkg, r.brokenPackages[pkg], r.output[testName{Package: pkg}])
	}
	for _, failure := range known {
		printf("known failure: %s\n", failure.text)
	}
	for _, fault := range faults {
		printf("fault: %s\n", fault)
	}
	printf("%d passed, %d failed, %d skipped\n", r.passed, len(r.failed), r.skipped)
}
