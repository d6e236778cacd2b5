package loadtest

import (
	"errors"
	"slices"
	"sync"
	"time"
)

// Settings of the restart of a router that has many clients.
const (
	reconnectClients  = 300
	reconnectRate     = 5 // requests a second of each client
	reconnectLength   = 8 * time.Second
	reconnectKillAt   = 2 * time.Second
	reconnectDowntime = 500 * time.Millisecond
	reconnectStagger  = 200 * time.Millisecond // in which all clients start
	reconnectWindow   = 100 * time.Millisecond // in which reconnects are counted
)

var errNoReconnect = errors.New("no client reconnected")

// reconnects measures how the clients of a router that is killed spread their reconnects.
func (c *clientComparison) reconnects() error {
	c.printf("| restart under %d clients, %d requests/s each | came back | 5th to 95th percentile | most in 100 ms "+
		"| served in the 6 s after |\n| --- | --- | --- | --- | --- |\n", reconnectClients, reconnectRate)
	for _, kind := range clientKinds {
		r, err := measureReconnects(c.program, kind)
		if err != nil {
			return err
		}
		count := len(r.delays)
		if count == 0 {
			return errNoReconnect
		}
		p5, p95 := r.delays[count*5/100].Seconds(), r.delays[count*95/100].Seconds()
		c.printf("| %s | %d | %.2f s (%.2f to %.2f) | %.0f%% | %.1f%% |\n", kind.name, count, p95-p5, p5, p95,
			100*float64(r.maxInWindow())/float64(count), 100*r.servedAfterKill())
	}
	c.printf("\n")
	return nil
}

// reconnectRecorder records what clients do before and after their router is killed.
type reconnectRecorder struct {
	mu       sync.Mutex
	killed   time.Time       // zero: not killed yet
	delays   []time.Duration // from the kill to the first reconnect of each client
	outcomes []outcome
}

// measureReconnects kills the router of many clients, and starts it again after reconnectDowntime. The delays of the result
// are sorted.
func measureReconnects(program string, kind clientKind) (*reconnectRecorder, error) {
	fleet, err := StartFleet(program, independentFleet(1, false))
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	r := &reconnectRecorder{}
	clients, err := r.newClients(kind, fleet.listenAddresses())
	if err != nil {
		return nil, err
	}
	var running sync.WaitGroup
	for i, client := range clients {
		running.Go(func() {
			defer client.close()
			time.Sleep(time.Duration(i) * reconnectStagger / reconnectClients)
			r.addOutcomes(sendOpenLoop(client, reconnectRate, reconnectLength, uint64(i), onlyPages))
		})
	}
	time.Sleep(reconnectKillAt)
	r.markKilled()
	fleet.Routers[0].Kill()
	time.Sleep(reconnectDowntime)
	err = fleet.Routers[0].Start()
	running.Wait()
	slices.Sort(r.delays)
	return r, err
}

// newClients makes the clients, and has their reconnects recorded.
func (r *reconnectRecorder) newClients(kind clientKind, routers []string) ([]requester, error) {
	var clients []requester
	for i := range reconnectClients {
		recorded := false
		client, err := kind.newClient(uint64(i), routers, func() { r.recordConnection(&recorded) })
		if err != nil {
			for _, open := range clients {
				open.close()
			}
			return nil, err
		}
		clients = append(clients, client)
	}
	return clients, nil
}

// recordConnection records the first connection that a client opens after the kill.
func (r *reconnectRecorder) recordConnection(recorded *bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.killed.IsZero() || *recorded {
		return
	}
	*recorded = true
	r.delays = append(r.delays, time.Since(r.killed))
}

func (r *reconnectRecorder) markKilled() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.killed = time.Now()
}

func (r *reconnectRecorder) addOutcomes(outcomes []outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, outcomes...)
}

// maxInWindow returns the maximum number of reconnects within any reconnectWindow.
func (r *reconnectRecorder) maxInWindow() (most int) {
	for i, first := range r.delays {
		n := 0
		for n < len(r.delays)-i && r.delays[i+n] < first+reconnectWindow {
			n++
		}
		most = max(most, n)
	}
	return most
}

// servedAfterKill returns the fraction of the requests due after the kill that were served.
func (r *reconnectRecorder) servedAfterKill() float64 {
	served, total := 0, 0
	for _, o := range r.outcomes {
		if o.due < reconnectKillAt {
			continue
		}
		total++
		if o.err == nil {
			served++
		}
	}
	return float64(served) / float64(total)
}
