package main

import (
	"errors"
	"fmt"
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
	spendRest = 4 * time.Second
	payers    = 4 // clients that take turns
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
	if p.served == 0 {
		return false, errors.New("r2 has got no credit")
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
	var err error
	for i := range p.gossip {
		if p.gossip[i], err = freeAddressOf(fmt.Sprintf("127.0.0.%d", i+1)); err != nil {
			return err
		}
		p.advertise[i] = p.gossip[i]
	}
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
	p.kill(p.fleet.routers[1])
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

// payer is a client that pays from the account. It stays away as long as it is told.
type payer struct {
	*client
	name      string
	awayUntil time.Time
}

// spend has clients send requests of the account to a router, one at a time, until none was served for some time.
func (p *creditPlay) spend(i int, patience time.Duration, onFirst func()) error {
	router := p.fleet.routers[i]
	clients := make([]*payer, payers)
	for k := range clients {
		c, err := connect(router.listen)
		if err != nil {
			return err
		}
		defer c.close()
		clients[k] = &payer{client: c, name: fmt.Sprintf("client %d", k+1)}
	}
	before, lastServed := p.served, time.Now()
	for turn := 0; time.Since(lastServed) < patience; turn++ {
		time.Sleep(2 * time.Millisecond)
		c := clients[turn%payers]
		if time.Now().Before(c.awayUntil) {
			continue
		}
		verdict, err := p.pay(c, router)
		if err != nil {
			return err
		}
		if verdict == served {
			lastServed = time.Now()
			if p.served == before+1 {
				onFirst()
			}
		}
	}
	p.note("test", "%s served %d of these requests; its own figure app_credit_charged is %.0f millionths", router.name, p.served-before,
		router.metric("app_credit_charged"))
	return nil
}

// pay sends one request and counts it if it is served.
func (p *creditPlay) pay(c *payer, router *router) (verdict, error) {
	txn := newTxn()
	fields := map[string]string{"txn": txn, "limit": "2000", "item": "7f3a9c21e0b4d655", "nth": "0", "batch": "17", "account": "acme"}
	a := await(c.send("part-page", fields, nil), 3*time.Second)
	switch a.verdict {
	case lost:
		return lost, fmt.Errorf("a request to %s was lost", router.name)
	case served:
		p.served++
	default:
		c.awayUntil = time.Now().Add(a.stayAway())
	}
	p.note(c.name, "asks %s (%s) and is told: %v; served so far: %d", router.name, txn, a, p.served)
	return a.verdict, nil
}
