package credit

import (
	"cmp"
	"errors"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hillknot/internal/testutil/simulation"
)

var seeds = flag.Int("seeds", 60, "number of seeds, each of which simulates one cluster")

const ms = time.Millisecond

// cluster simulates routers, each with its own ledger, in virtual time. The network loses, delays and repeats packets and
// can be partitioned.
type cluster struct {
	random  *rand.Rand
	now     time.Duration
	routers []*router
	topUps  []TopUp
	prices  map[string]Price
	lastID  uint64 // of ledgers and of processes, which are numbered together

	packetsInFlight []packet
	cutLinks        map[[2]int]bool // by indexes of sender and receiver: no packets arrive
	lossRate        float64         // share of packets, from 0 to 1

	funded     map[string]int64 // by account: sum of the positive top-ups
	charged    map[string]int64 // by account
	lost       map[string]int64 // by account: rights in the memory of killed processes and on lost disks
	served     int              // requests charged at all routers
	violations []string

	fundedRouters []string // among which top-ups are divided
}

// router simulates a router whose process and disk can fail.
type router struct {
	index int
	name  string

	incarnation uint64
	ledger      *Ledger
	down        bool
	pausedUntil time.Duration
	clockOffset time.Duration
	nextTick    time.Duration

	disk        map[string][]byte
	ledgerID    string
	diskFull    bool
	writing     []Record
	writeEndsAt time.Duration

	class        string
	demand       map[string]float64 // requests per second, by account
	due          map[string]float64 // requests to make now, by account; fractions are kept for later
	openRequests []openRequest
	served       map[string]int
	rejected     map[string]int
}

type openRequest struct {
	endsAt      time.Duration
	reservation Reservation
}

type packet struct {
	arrivesAt time.Duration
	from, to  int
	data      []byte
}

func newCluster(seed uint64, size int) *cluster {
	c := &cluster{
		random:   rand.New(rand.NewPCG(seed, 21)),
		cutLinks: map[[2]int]bool{},
		funded:   map[string]int64{},
		charged:  map[string]int64{},
		lost:     map[string]int64{},
		prices: map[string]Price{
			"page":  {PerRequest: 1000, PerMegabyte: 500_000, Weight: 1},
			"order": {PerRequest: 9000, Weight: 3},
		},
	}
	for i := range size {
		c.routers = append(c.routers, &router{
			index:    i,
			name:     fmt.Sprintf("r%d", i),
			class:    "page",
			demand:   map[string]float64{},
			due:      map[string]float64{},
			served:   map[string]int{},
			rejected: map[string]int{},
		})
	}
	for _, r := range c.routers {
		c.replaceDisk(r)
		c.start(r)
	}
	return c
}

// replaceDisk gives a router that is down an empty disk. The rights on the old one are lost.
func (c *cluster) replaceDisk(r *router) {
	for key, value := range r.disk {
		var record accountRecord
		if kind, name := splitKey(key); kind == kindAccount {
			if err := cbor.Unmarshal(value, &record); err != nil {
				panic(err)
			}
			c.lost[name] += max(record.Rights, 0)
		}
	}
	c.lastID++
	r.disk, r.ledgerID = map[string][]byte{}, fmt.Sprintf("l%d", c.lastID)
}

// start starts a new process of a router from the records on its disk.
func (c *cluster) start(r *router) {
	c.lastID++
	r.incarnation, r.down, r.pausedUntil, r.writing, r.openRequests = c.lastID, false, 0, nil, nil
	r.clockOffset = time.Duration(c.random.Int64N(int64(time.Hour))) // may be lower than in the earlier process
	settings := Defaults(r.name, r.incarnation, r.ledgerID)
	settings.Prices, settings.MaxResponseBytes, settings.ClusterSize = c.prices, 20_000, len(c.routers)
	var records []Record
	for _, key := range slices.Sorted(maps.Keys(r.disk)) {
		records = append(records, Record{key, r.disk[key]})
	}
	var err error
	if r.ledger, err = New(settings, records); err != nil {
		panic(err)
	}
	if err := r.ledger.ApplyTopUps(c.topUps); err != nil {
		panic(err)
	}
}

// fund adds a top-up to the list, which the given routers read unless they are down.
func (c *cluster) fund(t TopUp, readers ...*router) {
	c.topUps = append(c.topUps, t)
	c.funded[t.Account] += max(t.Amount, 0)
	for _, r := range readers {
		if r.down {
			continue
		}
		if err := r.ledger.ApplyTopUps(c.topUps); err != nil {
			c.violations = append(c.violations, err.Error())
		}
	}
}

func (c *cluster) routerNames() (names []string) {
	for _, r := range c.routers {
		names = append(names, r.name)
	}
	return names
}

// kill ends a router's process. A write in progress is on the disk afterwards with a probability of 1/2.
func (c *cluster) kill(r *router) {
	if r.down {
		return
	}
	if r.writing != nil && c.random.IntN(2) == 0 {
		r.writeToDisk(r.writing)
	}
	for name, a := range r.ledger.accounts {
		c.lost[name] += a.available + a.reserved
	}
	r.down = true
}

func (r *router) writeToDisk(records []Record) {
	for _, record := range records {
		r.disk[record.Key] = record.Value
	}
}

// step advances the time by 5 ms, runs all routers that are due and records violations.
func (c *cluster) step() {
	c.now += 5 * ms
	c.deliverPackets()
	for _, r := range c.routers {
		if !r.down && c.now >= r.pausedUntil {
			c.runRouter(r)
		}
	}
	for name, amount := range c.charged {
		if amount > c.funded[name] {
			violation := fmt.Sprintf("%v: %d charged of %d funded to %s", c.now, amount, c.funded[name], name)
			c.violations = append(c.violations, violation)
		}
	}
}

func (c *cluster) sortPackets() {
	slices.SortStableFunc(c.packetsInFlight, func(a, b packet) int { return cmp.Compare(a.arrivesAt, b.arrivesAt) })
}

// deliverPackets delivers the packets that have arrived by now. Packets to a paused router wait until it runs again;
// packets to a router that is down are lost.
func (c *cluster) deliverPackets() {
	c.sortPackets()
	for len(c.packetsInFlight) > 0 && c.packetsInFlight[0].arrivesAt <= c.now {
		p := c.packetsInFlight[0]
		c.packetsInFlight = c.packetsInFlight[1:]
		switch r := c.routers[p.to]; {
		case r.down:
		case c.now < r.pausedUntil:
			p.arrivesAt = r.pausedUntil
			c.packetsInFlight = append(c.packetsInFlight, p)
			c.sortPackets()
		default:
			r.ledger.ReceivePacket(c.now+r.clockOffset, p.data)
		}
	}
}

// runRouter performs all due actions of a router.
func (c *cluster) runRouter(r *router) {
	now := c.now + r.clockOffset
	c.completeWrite(now, r)
	c.tick(now, r)
	c.admitRequests(now, r)
	c.completeRequests(r)
	c.beginWrite(r)
	c.sendPackets(now, r)
}

func (c *cluster) completeWrite(now time.Duration, r *router) {
	if r.writing == nil || c.now < r.writeEndsAt {
		return
	}
	records, err := r.writing, error(nil)
	r.writing = nil
	if r.diskFull {
		err = errors.New("no space left")
	}
	if err == nil || c.random.IntN(4) == 0 { // a write whose sync failed may still be on the disk
		r.writeToDisk(records)
	}
	r.ledger.WriteCompleted(now, records, err)
}

func (c *cluster) tick(now time.Duration, r *router) {
	if c.now < r.nextTick {
		return
	}
	r.nextTick = c.now + 200*ms
	var alive []string
	for _, other := range c.routers {
		if other != r && !other.down && !c.cutLinks[[2]int{other.index, r.index}] && c.now >= other.pausedUntil {
			alive = append(alive, other.name)
		}
	}
	r.ledger.SetPeers(alive)
	r.ledger.Tick(now)
}

func (c *cluster) admitRequests(now time.Duration, r *router) {
	for _, name := range slices.Sorted(maps.Keys(r.demand)) {
		for r.due[name] = min(r.due[name]+r.demand[name]/200, 20); r.due[name] >= 1; r.due[name]-- {
			reservation, err := r.ledger.Reserve(now, name, r.class)
			if err != nil {
				r.rejected[name]++
				continue
			}
			r.served[name]++
			endsAt := c.now + time.Duration(c.random.Int64N(int64(100*ms)))
			r.openRequests = append(r.openRequests, openRequest{endsAt, reservation})
		}
	}
}

func (c *cluster) completeRequests(r *router) {
	r.openRequests = slices.DeleteFunc(r.openRequests, func(request openRequest) bool {
		if c.now < request.endsAt {
			return false
		}
		if c.random.IntN(10) == 0 {
			r.ledger.Release(request.reservation)
		} else {
			c.charged[request.reservation.Account] += r.ledger.Charge(request.reservation, c.random.IntN(20_000))
			c.served++
		}
		return true
	})
}

func (c *cluster) beginWrite(r *router) {
	if r.writing != nil {
		return
	}
	if r.writing = r.ledger.NextWrite(); r.writing != nil {
		r.writeEndsAt = c.now + 5*ms + time.Duration(c.random.Int64N(int64(15*ms)))
	}
}

func (c *cluster) sendPackets(now time.Duration, r *router) {
	for _, p := range r.ledger.OutgoingPackets(now) {
		to := slices.IndexFunc(c.routers, func(other *router) bool { return other.name == p.To })
		for range 1 + c.random.IntN(10)/9 {
			if c.cutLinks[[2]int{r.index, to}] || c.random.Float64() < c.lossRate {
				continue
			}
			arrivesAt := c.now + time.Duration(c.random.ExpFloat64()*float64(8*ms))
			if c.random.IntN(60) == 0 {
				arrivesAt += time.Duration(c.random.Int64N(int64(6 * time.Second)))
			}
			c.packetsInFlight = append(c.packetsInFlight, packet{arrivesAt, r.index, to, p.Data})
		}
	}
}

// advance advances the time by duration in steps.
func (c *cluster) advance(duration time.Duration) {
	for end := c.now + duration; c.now < end; {
		c.step()
	}
}

// injectRandomFault begins a random fault, or ends the faults of the network. It also restarts some of the routers that
// are down.
func (c *cluster) injectRandomFault() {
	size := len(c.routers)
	r := c.routers[c.random.IntN(size)]
	switch c.random.IntN(10) {
	case 0:
		simulation.Partition(c.random, size, c.cutLinks)
	case 1:
		c.cutLinks[[2]int{r.index, c.random.IntN(size)}] = true
	case 2:
		c.lossRate = c.random.Float64() * 0.4
	case 3:
		r.pausedUntil = c.now + time.Duration(c.random.Int64N(int64(4*time.Second)))
	case 4, 5:
		c.kill(r)
	case 6:
		r.diskFull = !r.diskFull
	case 7:
		// Only the disks of routers with an index above 1 are lost: a router that remembers the lost ledger must remain.
		if c.random.IntN(4) == 0 && r.index > 1 {
			c.kill(r)
			c.replaceDisk(r)
		}
	default:
		clear(c.cutLinks)
		c.lossRate = 0
	}
	for _, r := range c.routers {
		if r.down && c.random.IntN(3) == 0 {
			c.start(r)
		}
	}
}

// loseReceiver has a router lose its disk after the others have heard nothing of it for a while, so that acknowledgements of
// transfers to it are lost.
func (c *cluster) loseReceiver(r *router) {
	if r.down {
		return
	}
	for _, other := range c.routers {
		c.cutLinks[[2]int{r.index, other.index}] = true
	}
	c.advance(time.Second)
	c.kill(r)
	c.replaceDisk(r)
	clear(c.cutLinks)
	c.start(r)
}

// heal ends all faults except pauses, which end by themselves, and starts the routers that are down.
func (c *cluster) heal() {
	clear(c.cutLinks)
	c.lossRate = 0
	for _, r := range c.routers {
		r.diskFull = false
		if r.down {
			c.start(r)
		}
	}
}

// totalHeld returns the sum of the rights of an account that all routers hold, and that are being transferred. A suspended
// transfer is to a lost ledger: if that one has counted it, its rights were spent or lost there.
func (c *cluster) totalHeld(name string) (sum int64) {
	for _, r := range c.routers {
		if a := r.ledger.accounts[name]; a != nil {
			sum += a.record.Rights + a.available + a.withdrawing + a.reserved
		}
		for _, t := range r.ledger.transfers {
			if t.record.Account == name && t.state != transferSuspended {
				sum += t.record.Amount
			}
		}
	}
	return sum
}

// runRandomFaults funds three accounts, spends from them during random faults until second 20, ends the faults and
// waits for 30 seconds. Where losesReceivers is set, routers also lose their disks after a transfer that is not acknowledged.
func (c *cluster) runRandomFaults(losesReceivers bool) {
	for i := range 3 {
		c.fund(TopUp{
			ID:      fmt.Sprint("first", i),
			Account: fmt.Sprint("a", i),
			Amount:  2_000_000 + c.random.Int64N(9_000_000),
			Routers: c.fundedRouters,
		}, c.routers...)
	}
	for _, r := range c.routers {
		r.demand[fmt.Sprint("a", c.random.IntN(3))] = c.random.Float64() * 120
		r.class = []string{"page", "order"}[c.random.IntN(2)]
	}
	c.advance(2 * time.Second)
	for c.now < 20*time.Second && len(c.violations) == 0 {
		c.step()
		if c.random.IntN(60) == 0 {
			c.injectRandomFault()
		}
		if losesReceivers && c.random.IntN(400) == 0 {
			c.loseReceiver(c.routers[2+c.random.IntN(len(c.routers)-2)]) // others remember the lost ledger
		}
		if c.random.IntN(600) == 0 {
			c.fundAtRandomRouters()
		}
	}
	c.heal()
	for _, r := range c.routers {
		if err := r.ledger.ApplyTopUps(c.topUps); err != nil {
			c.violations = append(c.violations, err.Error())
		}
		clear(r.demand)
	}
	c.advance(30 * time.Second)
}

// fundAtRandomRouters adds a random top-up that a random set of routers reads.
func (c *cluster) fundAtRandomRouters() {
	var readers []*router
	for _, r := range c.routers {
		if c.random.IntN(2) == 0 {
			readers = append(readers, r)
		}
	}
	c.fund(TopUp{
		ID:      fmt.Sprint("more", c.now),
		Account: fmt.Sprint("a", c.random.IntN(3)),
		Amount:  1 + c.random.Int64N(3_000_000),
		Routers: c.fundedRouters,
	}, readers...)
}

// The routers never charge more than was funded, despite kills during writes, full and lost disks, partitions of all
// shapes, lost, late and repeated packets, and top-ups that only some routers read, or that are read late or twice. No
// rights appear from nothing, and rights in the memory of a killed process do not reappear.
func TestNeverOverspent(t *testing.T) { checkNeverOverspent(t, (*cluster).routerNames) }

// The same, with top-ups that go to a single router, which loses its disk: it once counted them again, as it asked only the others among
// which they are divided, and there were none (review, case 8).
func TestNeverOverspentWithSingleFundedRouter(t *testing.T) {
	checkNeverOverspent(t, func(*cluster) []string { return []string{"r2"} })
}

// The same, with top-ups that go to some routers, all of which lose their disks, while only routers outside remember their ledgers.
func TestNeverOverspentWhenOnlyOutsidersRemember(t *testing.T) {
	checkNeverOverspent(t, func(c *cluster) []string { return c.routerNames()[2:] }) // the first two keep their disks
}

// checkNeverOverspent simulates the clusters of all seeds. The top-ups are divided among the routers that fundedRouters returns.
func checkNeverOverspent(t *testing.T, fundedRouters func(*cluster) []string) {
	t.Helper()
	var mu sync.Mutex
	served, lost, funded := 0, int64(0), int64(0)
	simulation.ForEachSeed(*seeds, func(seed uint64) {
		c := newCluster(seed, 3+int(seed%5))
		c.fundedRouters = fundedRouters(c)
		c.runRandomFaults(seed%2 == 1)
		mu.Lock()
		defer mu.Unlock()
		if len(c.violations) > 0 {
			t.Errorf("seed %d: %s", seed, c.violations[0])
		}
		c.checkConservation(t, fmt.Sprint("seed ", seed))
		for name, sum := range c.funded {
			held, charged := c.totalHeld(name), c.charged[name]
			funded, lost = funded+sum, lost+sum-held-charged
		}
		served += c.served
	})
	t.Logf("%d requests charged; %.3f of all funds lost with disks or in the memory of killed processes",
		served, float64(lost)/float64(funded))
	if served < 400**seeds {
		t.Errorf("only %d requests were charged in all simulations", served)
	}
}
