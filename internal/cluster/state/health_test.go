package state

import (
	"testing"
	"time"
)

// Evidence that arrives again after newer evidence of the same router is ignored.
func TestRepeatedEvidenceIsIgnored(t *testing.T) {
	settings := Defaults("a", 1, 3)
	settings.Quorum = 2
	s := newState(t, settings)
	unhealthy := func(from string, sequence uint64) Message {
		return Message{Kind: KindHealthEvidence, From: from, Process: 1, Key: testEndpoint, Sequence: sequence,
			Unhealthy: true, ValidFor: time.Second}
	}
	first := unhealthy("b", 1)
	s.ReceiveMessage(0, first)
	s.ReceiveMessage(0, Message{Kind: KindHealthEvidence, From: "b", Process: 1, Key: testEndpoint, Sequence: 2})
	s.ReceiveMessage(0, first)
	s.ReceiveMessage(0, unhealthy("z", 1))
	if s.Ejected(0, testEndpoint) {
		t.Error("ejected on the evidence of one router and withdrawn evidence of another")
	}
	if s.ReceiveMessage(0, unhealthy("b", 3)); !s.Ejected(0, testEndpoint) {
		t.Error("not ejected on the evidence of two routers")
	}
}

// observe makes a router observe consecutive failures and the latest response of the endpoint.
func (c *simulatedCluster) observe(router, failures int, lastResponse time.Duration) {
	r := c.routers[router]
	r.state.ObserveHealth(r.clock(c.now), testEndpoint, failures, lastResponse)
}

// countEjected returns for how many routers the endpoint is ejected, and how many avoid it.
func (c *simulatedCluster) countEjected() (ejected, avoided int) {
	for _, r := range c.routers {
		now := r.clock(c.now)
		if r.state.Ejected(now, testEndpoint) {
			ejected++
		}
		if r.state.ProbedByPeer(now, testEndpoint) {
			avoided++
		}
	}
	return ejected, avoided
}

// An ejection needs evidence of a quorum. All routers but one then avoid the endpoint. The router that probes it prolongs
// the ejection, or ends it for all. Without new evidence the ejection expires.
func TestEjectionNeedsQuorumAndExpires(t *testing.T) {
	c := newSimulatedCluster(t, 3, 7)
	c.run(time.Second)
	c.observe(0, 2, 0)
	c.observe(1, 3, 0)
	c.observe(2, 4, 0)
	c.observe(3, 3, 0)
	c.run(time.Second)
	if ejected, _ := c.countEjected(); ejected > 0 {
		t.Fatalf("ejected by %d of 7 routers on the evidence of three", ejected)
	}
	c.observe(4, 3, 0)
	c.run(500 * ms)
	if ejected, avoided := c.countEjected(); ejected != 7 || avoided != 6 {
		t.Fatalf("ejected by %d of 7 routers and avoided by %d on the evidence of four", ejected, avoided)
	}
	for failures := 4; failures < 12; failures++ { // the router that probes the endpoint still sees failures
		c.observe(1, failures, 0)
		c.run(time.Second)
	}
	if ejected, _ := c.countEjected(); ejected != 7 {
		t.Errorf("ejected by %d of 7 routers while one still sees failures", ejected)
	}
	c.observe(1, 0, c.now)
	c.run(500 * ms)
	if ejected, _ := c.countEjected(); ejected > 0 {
		t.Errorf("ejected by %d of 7 routers after a good response", ejected)
	}
	for i := range 4 {
		c.observe(i, 20, 0)
	}
	c.run(500 * ms)
	if ejected, _ := c.countEjected(); ejected != 7 {
		t.Errorf("ejected by %d of 7 routers when it fails again", ejected)
	}
	c.run(4 * time.Second)
	if ejected, _ := c.countEjected(); ejected > 0 {
		t.Errorf("ejected by %d of 7 routers with no evidence for four seconds", ejected)
	}
}

// An ejection ends within a bounded time after the latest evidence that any router sent, under all faults.
func TestEjectionsExpireUnderFaults(t *testing.T) {
	// The latest message arrives at most about 6 s late, and may then wait for the end of a pause of up to 5 s.
	const longest = 3*time.Second*102/98 + 11*time.Second + 300*ms
	for seed := range uint64(*seeds) / 3 {
		c := newSimulatedCluster(t, seed, 5)
		latest := time.Duration(0)
		for c.now < 22*time.Second {
			c.step()
			if c.rnd.IntN(150) == 0 {
				c.injectFault()
			}
			if c.rnd.IntN(20) == 0 && c.now < 5*time.Second {
				latest = c.now
				c.observe(c.rnd.IntN(5), 3+int(c.now/ms), 0)
			}
			if ejected, _ := c.countEjected(); ejected > 0 && c.now > latest+longest {
				t.Fatalf("seed %d: ejected by %d routers %v after the latest evidence", seed, ejected, c.now-latest)
			}
		}
	}
}
