package main

import (
	"os"
	"runtime"
	"testing"
)

// runAsRouterVariable is the environment variable that makes the test program run as the router.
const runAsRouterVariable = "HILLKNOT_TEST_AS_ROUTER"

// TestMain runs the test program as the router if runAsRouterVariable is set, so that tests can start and kill router processes.
func TestMain(m *testing.M) {
	if os.Getenv(runAsRouterVariable) != "" {
		main()
	}
	if err := os.Setenv(runAsRouterVariable, "1"); err != nil { // for every process that a test starts
		panic(err)
	}
	os.Exit(m.Run())
}

// program returns the path of the test program, which runs as the router when a test starts it.
func program(t *testing.T) string {
	t.Helper()
	bin, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return bin
}

// inParallel runs a test in parallel with other tests that start their own router processes. It lets the load of the test use
// all processors, because a router in the process of the test, as earlier tests have, sets GOMAXPROCS to 1.
func inParallel(t *testing.T) {
	t.Helper()
	t.Parallel()
	runtime.GOMAXPROCS(runtime.NumCPU())
}
