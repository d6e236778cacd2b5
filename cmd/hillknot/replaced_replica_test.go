//go:build cluster

package main

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// longestRequest is the longest deadline of a class of testConfig.
const longestRequest = 3 * time.Second

// newFailoverPair returns two routers of a cluster, each of which keeps records of the orders of the other. They are not started yet.
func newFailoverPair(t *testing.T) (owner, replica *testRouter) {
	t.Helper()
	routers := []*testRouter{newTestRouter(t, 2), newTestRouter(t, 2)}
	addresses := []string{freeAddress(t), freeAddress(t)}
	keys := filepath.Join(t.TempDir(), "keys")
	writeFile(t, keys, strings.Repeat("0a", 32)+"\n")
	for i, r := range routers {
		r.configure(fmt.Sprint("r", i), "name")
		r.configure(jsonMap{"listen": addresses[i], "peers": addresses, "key_file": keys, "size": 2, "takeover": jsonMap{}}, "fleet")
	}
	return routers[0], routers[1]
}

// serveFirstOrder has an order served by a router as soon as it has found the other one, which must keep a record of it.
func (r *testRouter) serveFirstOrder() {
	r.t.Helper()
	client := r.dial()
	for id, end := firstPolling, time.Now().Add(harnessTimeout); time.Now().Before(end); id++ {
		client.request(id, "order", nil)
		select {
		case attempt := <-r.messages:
			attempt.serve("x")
			client.expect(id, "x")
			return
		case <-time.After(pollingPeriod):
			client.expect(id, "Throttled")
		}
	}
	r.t.Fatal("no order is taken")
}

// kill ends the process at once.
func (p *routerProcess) kill() {
	p.t.Helper()
	p.signal(syscall.SIGKILL)
	_ = p.cmd.Wait() // says that it was killed
	p.ended = true
}

// An order that had run was told that it never ran, or ran a second time, when the router that kept its record was replaced by a hot
// restart and its own router was killed: the new process took the time since its start for proof that there was no record, but the old
// one had kept records until its end (review, case 6).
func TestOrderDoesNotRunAgainAfterItsReplicaWasReplaced(t *testing.T) {
	for name, endOld := range map[string]func(*routerProcess){
		"the old process ends": (*routerProcess).end,
		"it is killed":         (*routerProcess).kill,
		"it stands still":      (*routerProcess).stop,
	} {
		t.Run(name, func(t *testing.T) {
			inParallel(t)
			replaceReplica(t, endOld)
		})
	}
}

// replaceReplica has an order run while the router that keeps its record is replaced, ends the old process of that router, kills the order's
// router, and claims the order at the new process.
func replaceReplica(t *testing.T, endOld func(*routerProcess)) {
	t.Helper()
	const (
		order     = 0x77
		orderAt   = 2200 * time.Millisecond // after SIGTERM to the old process, which ends after 3.3 s
		claimedAt = 1500 * time.Millisecond // after the order was sent; the new process has been up for over longestRequest
	)
	owner, replica := newFailoverPair(t)
	tempDir := "TMPDIR=" + shortTempDir(t)
	owner.startProcess()
	replica.startProcess(tempDir)
	owner.serveFirstOrder()
	replica.serveFirstOrder()
	time.Sleep(longestRequest)

	replica.dial().request(1, "order", map[string]string{"limit": "3000"}) // keeps the old process up
	replica.nextAttempt()
	old := replica.processes[0]
	replica.startSuccessor(tempDir)
	old.signal(syscall.SIGTERM)
	time.Sleep(orderAt)
	sentAt := time.Now()
	owner.dial().request(order, "order", map[string]string{"limit": "3000"})
	owner.nextAttempt() // the order runs, and its answer never comes
	endOld(old)
	owner.processes[0].kill()
	time.Sleep(claimedAt - time.Since(sentAt))
	left := longestRequest - time.Since(sentAt)
	id := fmt.Sprintf("%016x", order)
	claim := replica.dial()
	claim.request(2, "order", map[string]string{"resumes": id, "item": id, "limit": strconv.FormatInt(left.Milliseconds(), 10)})
	replica.expectNoAttempt("the order has run at the other router")
	claim.expect(2, "Failed")
}
