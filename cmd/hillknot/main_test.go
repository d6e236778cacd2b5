package main

import (
	"os"
	"runtime"
	"testing"
)

// runAsRouterVariable is the environment variable that has the test's own program be the router.
const runAsRouterVariable = "HILLKNOT_TEST_AS_ROUTER"

// TestMain lets the test's own program be the router, as a process that can be killed.
func TestMain(m *testing.M) {
	if os.Getenv(runAsRouterVariable) != "" {
		main()
	}
	if err := os.Setenv(runAsRouterVariable, "1"); err != nil { // for every process that a test starts
		panic(err)
	}
	os.Exit(m.Run())
}

// program is the test's own program, which is the router where it is started from this test.
func program(t *testing.T) string {
	t.Helper()
	bin, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return bin
}

// inParallel runs a test beside others that play with router processes of their own. It gives the load that the test
// drives all processors: a router within the test's process, as earlier tests have, leaves it with one.
func inParallel(t *testing.T) {
	t.Helper()
	t.Parallel()
	runtime.GOMAXPROCS(runtime.NumCPU())
}
