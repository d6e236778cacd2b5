package loadtest

import (
	"fmt"
	"net"
	"time"

	"hillknot/internal/rpc"
	"hillknot/internal/testutil/timeline"
)

// StepKillResult is the outcome of an order whose router was killed at a step, and which was then claimed at another router.
type StepKillResult struct {
	Txn        string
	Answer     string // to the claim: served, failed or rejected; empty: another error
	Executions int
	Timeline   timeline.Timeline // of the order, in all routers
}

const (
	stepKillTimeout    = 2500 * time.Millisecond // of the order, its claim included
	stepKillSettleTime = 300 * time.Millisecond  // after the answer to the claim, until all attempts have run
)

// KillAtStep restarts a router with an entry in its environment by which it is killed at a step of an order. It sends the
// router an order, and claims the order at another router. At the end it starts the killed router again.
func (c *FailoverCluster) KillAtStep(victim int, env string) (result StepKillResult, err error) {
	router := c.Routers[victim]
	if err := c.restartWithEnv(router, env); err != nil {
		return result, err
	}
	item := c.orders.randomItem(c.nextClientNumber())
	order := &rpc.Request{Method: classOrder, Txn: item + 1, Item: item, Body: []byte("order"),
		TimeoutMillis: stepKillTimeout.Milliseconds()}
	result.Txn = objectName(order.Txn)
	deadline := time.Now().Add(stepKillTimeout)
	if answer, err := requestOnce(router.ListenAddress, order); err == nil {
		return result, fmt.Errorf("the router should have been killed, but it answered %q", answer)
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
	_ = router.wait() // the error says that the process was killed
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

// requestOnce sends a request to a router on a new connection, and returns the name of the answer.
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

// answerName returns the name of an answer, or an empty string if the answer is not an expected one.
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
