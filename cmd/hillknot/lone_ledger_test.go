//go:build cluster

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// account pays for the requests of the tests of prepaid credit.
const account = "acme"

// configureCredit has a router charge one credit for each page, of an account whose only top-up goes to the router r0. It returns the path
// of the router's ledger.
func (r *testRouter) configureCredit() (ledger string) {
	r.t.Helper()
	dir := r.t.TempDir()
	ledger = filepath.Join(dir, "ledger")
	topUps := filepath.Join(dir, "topups.hcl")
	writeFile(r.t, topUps, fmt.Sprintf("among = [\"r0\"]\ntopup \"first\" {\n  account = %q\n  amount = 1000\n}\n", account))
	r.configure(ledger, "fleet", "ledger")
	r.configure(jsonMap{"topups": topUps, "prices": jsonMap{"page": jsonMap{"each": 1}}}, "fleet", "credit")
	return ledger
}

// isPageServed requests a page for the account, and reports whether it was served.
func (r *testRouter) isPageServed(client *testClient, id int) bool {
	r.t.Helper()
	client.request(id, "page", map[string]string{"account": account})
	answers := make(chan clientResponse, 1)
	go func() {
		answer, err := client.read()
		if err != nil {
			answer.errorCode = err.Error()
		}
		answers <- answer
	}()
	for {
		select {
		case attempt := <-r.messages:
			attempt.serve("x")
		case answer := <-answers:
			return answer.content() == "x"
		}
	}
}

// A top-up of a single router was counted again when that router had lost its disk: it asked only the other routers among which the top-up
// is divided whether they know an earlier ledger, and there were none (review, case 8).
func TestLoneRouterThatLostItsDiskCountsNoTopUpAgain(t *testing.T) {
	inParallel(t)
	const watchedFor = 4 * time.Second // the new process finds the other router, and has the time to count the top-up
	lone, other := newFailoverPair(t)
	ledger := lone.configureCredit()
	other.configureCredit()
	lone.startProcess()
	other.startProcess()
	client, id := lone.dial(), firstPolling
	for end := time.Now().Add(harnessTimeout); !lone.isPageServed(client, id); id++ {
		if time.Now().After(end) {
			t.Fatal("no page is served before the loss")
		}
		time.Sleep(pollingPeriod)
	}
	lone.processes[0].kill()
	if err := os.Remove(ledger); err != nil {
		t.Fatal(err)
	}
	lone.startProcess()
	client = lone.dial()
	for end := time.Now().Add(watchedFor); time.Now().Before(end); id++ {
		if lone.isPageServed(client, id) {
			t.Fatal("a page is charged to a top-up that the lost ledger had counted")
		}
		time.Sleep(pollingPeriod)
	}
}
