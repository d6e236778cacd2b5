package loadtest

import (
	"fmt"
	"net"
	"time"

	"hillknot/internal/rpc"
	"hillknot/internal/testutil/timeline"
)

// StepKillResult is what became of an order whose router was killed at a step, and which its client then claimed.
type StepKillResult struct {
	Txn        string
	Answer     string // to the claim: served, failed, rejected; empty: another error
	Executions int
	Timeline   timeline.Timeline // of the order, in all routers
}

const (
	stepKillTimeout    = 2500 * time.Millisecond // of the order, its claim included
	stepKillSettleTime = 300 * time.Millisecond  // after which all that was to run has run
)

// KillAtStep starts a router anew with an entry of its environment that has it killed at a step of an order, sends it one, and
// claims that at another router. The router is started once more in the end.
func (c *FailoverCluster) KillAtStep(victim int, env string) (result StepKillResult, err error) {
	router := c.Routers[victim]
	if err := c.restartWithEnv(router, env); err != nil {
		return result, err
	}
	item := c.orders.randomItem(c.nextClient())
	order := &rpc.Request{Method: classOrder, Txn: item + 1, Item: item, Body: []byte("order"),
		TimeoutMillis: stepKillTimeout.Milliseconds()}
	result.Txn = objectName(order.Txn)
	deadline := time.Now().Add(stepKillTimeout)
	if answer, err := requestOnce(router.ListenAddress, order); err == nil {
		return result, fmt.Errorf("the router that was to be killed answers %q", answer)
	}
	killed := timeline.Event{Node: router.name, Time: time.Duration(time.Now().UnixNano()), Action: "killed", Fault: true}
	claim := *order
	claim.Txn, claim.ResumedTxn, claim.Retry = item+2, order.Txn, true
	claim.TimeoutMillis = max(time.Until(deadline).Milliseconds(), 1)
	other := c.Routers[(victim+2)%len(c.Routers)]
	if result.Answer, err = requestOnce(other.ListenAddress, &claim); err != nil {
		return result, fmt.Errorf("claim: %w", err)
	}
	time.Sleep(stepKillSettleTime)
	result.Executions = c.orders.ran(item)
	_ = router.wait() // it says that the process was killed
	events, err := c.Timeline(killed)
	if err != nil {
		return result, err
	}
	result.Timeline = events.About(result.Txn)
	return result, router.Start()
}

// restartWithEnv restarts a router with an entry in the environment of that process alone.
func (c *FailoverCluster) restartWithEnv(r *Router, env string) error {
	r.env = []string{env}
	err := r.restart()
	r.env = nil
	if err != nil {
		return err
	}
	return c.waitForMembership()
}

// requestOnce sends a router a request on a connection of its own, and returns the name of its answer.
func requestOnce(address string, request *rpc.Request) (string, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	header, err := exchange(conn, request, time.Now().Add(stepKillTimeout))
	if err != nil {
		return "", err
	}
	return answerName(header), nil
}

// answerName names an answer; empty: one that is not expected.
func answerName(header rpc.ResponseHeader) string {
	if header.Kind == rpc.ResponseBody {
		return "served"
	}
	switch string(header.Code) {
	case "Failed":
		return "failed"
	case rpc.CodeThrottled:
		return "rejected"
	}
	return ""
}
