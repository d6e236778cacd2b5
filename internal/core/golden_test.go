package core

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"hillknot/balancer"
	"hillknot/internal/fleetstate"
	"hillknot/internal/golden"
)

// What routers of different releases share goes by keys, and by ids of members that each derives by itself. The files of
// testdata/golden were written at commit 86ccf0f.
//
// What reaches the bytes: no name of a type or field, but the texts of the constants retries and cold, those of Shared.count
// ("hits ", "misses ", "errors "), and the hash of NodeOf. A key that is worded otherwise splits one budget or count in two.

// crowd is a fleet of two, and notes what is said.
type crowd struct{ said []fleetstate.Letter }

func (p *crowd) Send(l []fleetstate.Letter) { p.said = append(p.said, l...) }
func (p *crowd) Know([]fleetstate.Message)  {}
func (p *crowd) Lost() uint64               { return 0 }
func (p *crowd) Alive() ([]string, int)     { return []string{"r2"}, 2 }
func (p *crowd) keys(kind fleetstate.Kind) (text string) {
	for _, l := range p.said {
		if l.Msg.Kind == kind {
			text += fmt.Sprintf("%q %q\n", l.Key, l.Msg.Key)
		}
	}
	return text
}

func TestGoldenKeys(t *testing.T) {
	r := newRig(t)
	terms := fleetstate.Terms{Rate: 1, Burst: 256}
	s, err := NewShared(Talk{State: fleetstate.Defaults("r1", 11, 2), Cold: terms, Retries: terms})
	if err != nil {
		t.Fatal(err)
	}
	p := &crowd{}
	r.c.Share(s, p)
	cache := r.c.members[NodeOf("a")]
	s.state.Open(r.now, cold+cache.ID, terms, 0)
	for _, e := range []End{{Status: balancer.OK, Note: balancer.Hit}, {Status: balancer.Miss}, {Status: balancer.Error}} {
		s.count(&Attempt{Node: cache}, e)
	}
	for range 20 { // budgets are lent once both routers may spend; this one has none left
		r.now += 250 * time.Millisecond
		s.core.now = r.now
		for s.Repeat(r.now) {
			s.Sent(r.now, balancer.Get{Again: true})
		}
		for s.Spare(r.now, cache.node) {
			s.Sent(r.now, balancer.Get{Node: cache.node})
		}
		s.state.Live([]string{"r2"}, 2)
		s.state.Beat(r.now)
		s.flush()
	}
	asks := map[string]bool{}
	for _, l := range p.said {
		if l.Msg.Kind == fleetstate.KindAsk {
			asks[l.Msg.Key] = true
		}
	}
	if len(asks) != 2 || !asks["retries"] || !asks["cold a"] {
		t.Errorf("asked for shares of %v, want retries and cold a", asks)
	}
	golden.Same(t, "counts.txt", []byte(p.keys(fleetstate.KindCount)))
}

// All routers derive the same id of a member: the choices that have to agree, and the state that a successor is handed, go by it.
func TestGoldenNodes(t *testing.T) {
	var ids []byte
	for _, name := range []string{"", "a", "edge-7", "ünion", "a name that is longer than any hash"} {
		ids = binary.BigEndian.AppendUint64(ids, uint64(NodeOf(name)))
	}
	golden.Same(t, "nodes.hex", ids)
}
