package core

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"hillknot/balancer"
	"hillknot/internal/cluster/state"
	"hillknot/internal/testutil/golden"
)

// Routers of different releases share state under keys, and under ids of endpoints that each router derives by itself.
// The files of testdata/golden were written at commit 86ccf0f.
//
// The bytes depend on no name of a type or field, but on the texts of the constants retryBudget ("retries"),
// warmUpBudgetPrefix ("cold "), hitsPrefix, missesPrefix and errorsPrefix ("hits ", "misses ", "errors "), and the
// hash of EndpointIDOf. A key with another text would split one budget or counter in two.

// recordingPeers is the Peers of a router in a cluster of two. It records the messages that are sent.
type recordingPeers struct{ sent []state.OutgoingMessage }

func (p *recordingPeers) Send(messages []state.OutgoingMessage) { p.sent = append(p.sent, messages...) }
func (p *recordingPeers) PublishFullState([]state.Message)      {}
func (p *recordingPeers) DroppedMessages() uint64               { return 0 }
func (p *recordingPeers) Alive() ([]string, int)                { return []string{"r2"}, 2 }
func (p *recordingPeers) keys(kind state.Kind) (text string) {
	for _, outgoing := range p.sent {
		if outgoing.Message.Kind == kind {
			text += fmt.Sprintf("%q %q\n", outgoing.ReplaceKey, outgoing.Message.Key)
		}
	}
	return text
}

func TestGoldenBudgetAndCounterKeys(t *testing.T) {
	h := newHarness(t)
	limits := state.BudgetLimits{Rate: 1, Burst: 256}
	s, err := NewClusterState(ClusterSettings{State: state.Defaults("r1", 11, 2), WarmUp: limits, Retries: limits})
	if err != nil {
		t.Fatal(err)
	}
	peers := &recordingPeers{}
	h.core.JoinCluster(s, peers)
	cache := h.core.endpoints.byID[EndpointIDOf("a")]
	s.state.OpenBudget(h.now, warmUpBudgetPrefix+cache.ID, limits, 0)
	for _, result := range []AttemptResult{
		{Status: balancer.OK, Detail: balancer.Hit}, {Status: balancer.Miss}, {Status: balancer.Error},
	} {
		s.countResult(&Attempt{Endpoint: cache}, result)
	}
	for range 20 { // budgets are lent once both routers may spend; this router has nothing left
		h.now += 250 * time.Millisecond
		s.core.iteration.now = h.now
		for s.AdmitRetry(h.now) {
			s.AttemptSent(h.now, balancer.SendAttempt{MayHaveRun: true})
		}
		for s.AdmitWarmingUp(h.now, cache.moduleID) {
			s.AttemptSent(h.now, balancer.SendAttempt{Endpoint: cache.moduleID})
		}
		s.state.SetPeers([]string{"r2"}, 2)
		s.state.Tick(h.now)
		s.flush()
	}
	leaseRequests := map[string]bool{}
	for _, outgoing := range peers.sent {
		if outgoing.Message.Kind == state.KindLeaseRequest {
			leaseRequests[outgoing.Message.Key] = true
		}
	}
	if len(leaseRequests) != 2 || !leaseRequests["retries"] || !leaseRequests["cold a"] {
		t.Errorf("lease requests for budgets %v, want retries and cold a", leaseRequests)
	}
	golden.Same(t, "counts.txt", []byte(peers.keys(state.KindCounterUpdate)))
}

// All routers derive the same id of an endpoint. The choices that have to agree, and the state that is handed over to a
// successor, depend on it.
func TestGoldenEndpointIDs(t *testing.T) {
	var ids []byte
	for _, name := range []string{"", "a", "edge-7", "ünion", "a name that is longer than any hash"} {
		ids = binary.BigEndian.AppendUint64(ids, uint64(EndpointIDOf(name)))
	}
	golden.Same(t, "nodes.hex", ids)
}
