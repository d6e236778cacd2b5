package loadtest

import (
	"fmt"
	"io"
	"net"
	"time"

	"hillknot/internal/rpc"
	"hillknot/internal/testutil/timeline"
)

// Killed is an order whose router was killed at a step, and which its client then claimed.
type StepKillResult struct {
	Txn        string
	Answer     string // served, failed, or another word
	Executions int
	Timeline   timeline.Timeline // of the order, in all routers
}

// KillAt starts a router anew with something in its environment that has it killed at a step of an order, sends it one, and
// claims that at another router. The router is started once more in the end.
func (o *FailoverCluster) KillAtStep(victim int, env string) (k StepKillResult, err error) {
	r := o.Routers[victim]
	r.Kill()
	r.Env = []string{env}
	if err := r.Start(); err != nil {
		return k, err
	}
	r.Env = nil
	if err := o.met(); err != nil {
		return k, err
	}
	o.book.mu.Lock()
	o.made++
	item := o.made<<32 + o.book.rnd.Uint64()>>32
	o.book.mu.Unlock()
	const limit = 2500 * time.Millisecond
	begun := time.Now()
	k.Txn = fmt.Sprintf("%016x", item+1)
	q := &rpc.Request{Method: "new-arrange", Txn: item + 1, Item: item, TimeoutMillis: limit.Milliseconds(), Body: []byte("order")}
	if word, err := ask(r.ListenAddress, q, limit); err == nil {
		return k, fmt.Errorf("the router that was to be killed answers %q", word)
	}
	killed := time.Now()
	q.Txn, q.ResumedTxn, q.Retry, q.TimeoutMillis = item+2, item+1, true, max((limit-time.Since(begun)).Milliseconds(), 1)
	if k.Answer, err = ask(o.Routers[(victim+2)%len(o.Routers)].ListenAddress, q, limit); err != nil {
		return k, fmt.Errorf("claim: %w", err)
	}
	time.Sleep(300 * time.Millisecond) // whatever runs late, has run
	k.Executions = o.book.ran(item)
	_ = r.cmd.Wait() // it was killed, and says so
	if k.Timeline, err = o.Timeline(timeline.Event{Node: fmt.Sprintf("lab-%d", victim), Time: time.Duration(killed.UnixNano()), Action: "killed", Fault: true}); err != nil {
		return k, err
	}
	k.Timeline = k.Timeline.About(k.Txn)
	return k, r.Start()
}

// ask sends a router one request on a connection of its own, and returns served, or the word of its error.
func ask(addr string, q *rpc.Request, wait time.Duration) (string, error) {
	nc, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return "", err
	}
	defer nc.Close()
	if err := nc.SetDeadline(time.Now().Add(wait)); err != nil {
		return "", err
	}
	if _, err := nc.Write(rpc.AppendRequest(nil, 1, q)); err != nil {
		return "", err
	}
	buf := make([]byte, 0, 64<<10)
	for len(buf) < cap(buf) {
		n, err := nc.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		h, progress, bad := rpc.ParseResponseHeader(buf, 4<<10, 32<<10)
		complete := progress.Consumed > 0
		switch {
		case bad != nil:
			return "", bad
		case complete && h.Kind == rpc.ResponseBody:
			return "served", nil
		case complete:
			return map[string]string{"Failed": "failed", rpc.CodeThrottled: "refused"}[string(h.Code)], nil
		case err != nil:
			return "", err
		}
	}
	return "", io.ErrShortBuffer
}
