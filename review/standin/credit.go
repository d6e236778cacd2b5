package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"
)

func init() { scenarios["credit"] = playCredit }

const (
	funded    = 100                    // credits of the account, all at r1; each request costs one
	late      = 100 * time.Millisecond // by which r1 gets what r2 sends, until the link is cut
	underWay  = 500 * time.Millisecond // after which nothing is under way any more
	spendOnR2 = 4 * time.Second
	spendRest = 6 * time.Second
)

// creditPlay is one play of the scenario credit.
type creditPlay struct {
	*fleet
	link   *gossipLink // from the others to r1
	served int         // requests, of one credit each
}

// playCredit: r1 transfers credit to r2, and does not hear that r2 has got it. r2 spends it, and loses its disk. Its new
// ledger must not get the same transfer again.
func playCredit(r *run) (bool, error) {
	f, err := newFleet(r, func(a *ask) { a.done("cached", time.Now(), []byte("page")) })
	if err != nil {
		return false, err
	}
	p := &creditPlay{fleet: f}
	if err := p.prepare(); err != nil {
		return false, err
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(time.Second) // the routers have told each other what they hold
	r.note("test", "account acme has %d credits, all at r1; a request costs 1", funded)
	onFirst := func() {
		if r.trouble {
			p.link.setCut(true)
			r.note("network", "from now on r1 hears nothing of r2")
		}
	}
	if err := p.spend(1, spendOnR2, onFirst); err != nil {
		return false, err
	}
	if err := p.restartR2(); err != nil {
		return false, err
	}
	for _, i := range []int{1, 0} {
		if err := p.spend(i, spendRest, func() {}); err != nil {
			return false, err
		}
	}
	r.note("test", "%d credits were funded, and requests for %d credits were served", funded, p.served)
	return p.served <= funded, nil
}

// prepare writes the file of top-ups and sets up the addresses: each router has its own, and r1 is reached over a link.
func (p *creditPlay) prepare() error {
	topUps := filepath.Join(p.dir, "topups.hcl")
	text := fmt.Sprintf("among = [\"r1\"]\n\ntopup \"first\" {\n  account = \"acme\"\n  amount  = %d\n}\n", funded)
	if err := os.WriteFile(topUps, []byte(text), 0o600); err != nil {
		return err
	}
	p.extra = func(i int) string {
		return fmt.Sprintf(`,"ledger":%q,"credit":{"topups":%q,"unnamed":"refuse","rest_s":1,"chunk_ms":250,"prices":{"part-page":{"each":1}}}`,
			p.ledger(i), topUps)
	}
	for i, address := range p.gossip {
		_, port, err := net.SplitHostPort(address)
		if err != nil {
			return err
		}
		p.gossip[i] = net.JoinHostPort(fmt.Sprintf("127.0.0.%d", i+1), port)
		p.advertise[i] = p.gossip[i]
	}
	var err error
	if p.advertise[0], err = freeAddress(); err != nil {
		return err
	}
	if p.link, err = newGossipLink(p.advertise[0], p.gossip[0], "127.0.0.2"); err != nil {
		return err
	}
	if p.trouble {
		p.link.setDelay(late)
		p.note("network", "r1 gets what r2 sends %v late", late)
	}
	return nil
}

func (p *creditPlay) ledger(i int) string {
	return filepath.Join(p.dir, p.fleet.routers[i].name+".ledger")
}

// restartR2 kills r2 and starts it again, with trouble on a new disk. The link works again.
func (p *creditPlay) restartR2() error {
	p.fleet.routers[1].kill()
	p.note("r2", "killed")
	time.Sleep(underWay)
	if p.trouble {
		p.note("r2", "its disk is lost, and it gets an empty one")
		if err := os.Remove(p.ledger(1)); err != nil {
			return err
		}
	}
	p.link.setDelay(0)
	p.note("network", "r1 hears r2 again; %d packets were lost", p.link.setCut(false))
	if err := p.startRouter(1); err != nil {
		return err
	}
	return p.awaitPeers(len(p.fleet.routers) - 1)
}

// spend sends requests of the account to a router, one after the other, until none was served for some time.
func (p *creditPlay) spend(i int, patience time.Duration, onFirst func()) error {
	name := p.fleet.routers[i].name
	c, err := connect(p.fleet.routers[i].listen)
	if err != nil {
		return err
	}
	defer c.close()
	counts, before, lastServed := map[string]int{}, p.served, time.Now()
	for time.Since(lastServed) < patience {
		fields := map[string]string{"txn": newTxn(), "limit": "2000", "item": "7f3a9c21e0b4d655", "nth": "0", "batch": "17", "account": "acme"}
		a := await(c.send("part-page", fields, nil), 3*time.Second)
		counts[a.String()]++
		switch a.verdict {
		case lost:
			return fmt.Errorf("a request to %s was lost", name)
		case served:
			lastServed = time.Now()
			if p.served++; p.served == before+1 {
				p.note("client", "the first request of many to %s is served", name)
				onFirst()
			}
		}
		time.Sleep(2 * time.Millisecond)
	}
	for text, n := range counts {
		p.note("client", "%d requests to %s, one after the other: %s", n, name, text)
	}
	return nil
}
