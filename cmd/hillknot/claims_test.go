package main

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// enterStandby drains the router whose address for operators is given.
func enterStandby(t *testing.T, address string) {
	t.Helper()
	caller := http.Client{Timeout: harnessTimeout}
	response, err := caller.Post("http://"+address+"/standby", "text/plain", nil)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Fatalf("POST /standby: %s", response.Status)
	}
}

// A client that has lost its router claims its order over a connection to another one, which is on standby. That router once told it
// that the order never ran (review, case 9). Orders that are no claims are still rejected.
func TestClaimOnStandbyIsNotRejected(t *testing.T) {
	inParallel(t)
	const rejectsNewAfter = 2200 * time.Millisecond // on standby; 2 s and a reserve
	r := newTestRouter(t, 2)
	address := freeAddress(t)
	r.startProcess("RELAY_OPS=" + address)
	client := r.dial()
	client.request(1, "order", map[string]string{"limit": "3000"}) // keeps the connection open
	attempt := r.nextAttempt()
	enterStandby(t, address)
	time.Sleep(rejectsNewAfter)
	client.request(2, "order", map[string]string{"resumes": fmt.Sprintf("%016x", 17)})
	client.expect(2, "Failed")
	client.request(3, "order", nil)
	client.expect(3, "Throttled")
	r.expectNoAttempt("the router is on standby")
	attempt.serve("x")
	client.expect(1, "x")
}
