package main

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// fleetConfig is the configuration of a router that shares state with others. Its verbs are, in order: name, listen, ops,
// journal, known, the block fleet, and the time limits of the classes full-score, part-page and new-arrange in microseconds.
const fleetConfig = `{"name":%q,"listen":%q,"ops":%q,"journal":%q,
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
 "known":%s,
 "fleet":%s,
 "settings":{"locality":"edge-1","dcs":["upper","edge-1"],"hostTypes":["small","large","parent","origin"],"discovery":"push",
  "allowed":{"cancel":true,"connectTimeoutUs":400000,"keepaliveUs":30000000,"maxAttempts":6,"mayDuplicate":false,
   "retryAfter":true,"maxRetryAfterUs":500000},
  "invariants":{"answerSlackUs":8000,"coldFrom":0.21,"coldUs":18000000,"drainGraceUs":250000,"fallUs":2000000,"overloadFactor":4},
  "profiles":[
   {"name":"full-score","repeat":"safe","group":"all","promiseUs":400000,"aimStretch":1.6,"deadlineUs":%d,"windowUs":5000000,"worth":2},
   {"name":"part-page","repeat":"safe","group":"all","promiseUs":250000,"aimStretch":2,"deadlineUs":%d,"windowUs":5000000,"worth":1},
   {"name":"new-arrange","repeat":"unsafe","group":"all","promiseUs":700000,"deadlineUs":%d,"windowUs":5000000,"worth":3}],
  "specifics":{"passThroughOk":false,"collapses":false,"instancesByZone":[0,3],"midKind":2,"storeKind":3,"peersFill":"off",
   "classWrite":[false,false,true],"classFreshUs":[0,20000000,0],"graceForUs":[0,10000000,0],"notesGiven":"all",
   "noticeTimeUs":1000000,"purgeTakesUs":6000000,"parentFloor":0.062,"parentColdUs":21000000,"parentBreaksAt":2}}}`

// fleet is a cluster of three routers with their endpoints and journal.
type fleet struct {
	*run
	journal   *journal
	keyFile   string
	routers   []*router
	gossip    []string         // addresses at which the routers listen for gossip
	advertise []string         // addresses at which the other routers reach them
	deadlines [3]time.Duration // of the classes full-score, part-page and new-arrange
	extra     func(i int) string
}

// newFleet prepares a fleet with two page caches and an origin, which call onAsk. Nothing is started yet.
func newFleet(r *run, onAsk func(*ask)) (*fleet, error) {
	f := &fleet{run: r, keyFile: filepath.Join(r.dir, "keys"), deadlines: [3]time.Duration{5 * time.Second, 3 * time.Second, 3 * time.Second}}
	var key [32]byte
	_, _ = rand.Read(key[:]) // never returns an error
	if err := os.WriteFile(f.keyFile, []byte(hex.EncodeToString(key[:])+"\n"), 0o600); err != nil {
		return nil, err
	}
	var err error
	if f.journal, err = newJournal(); err != nil {
		return nil, err
	}
	var list []string
	for _, e := range [...]struct{ name, zone, kind string }{{"s-1", "edge-1", "small"}, {"s-2", "edge-1", "small"}, {"o-1", "upper", "origin"}} {
		stand, err := newEndpoint(e.name, onAsk)
		if err != nil {
			return nil, err
		}
		list = append(list, instance(e.name, stand.address, e.zone, e.kind, 0, "ready"))
	}
	f.journal.publish(hosts(true, list...))
	for i := range 3 {
		var addresses [3]string
		for k := range addresses {
			if addresses[k], err = freeAddress(); err != nil {
				return nil, err
			}
		}
		f.routers = append(f.routers, &router{name: fmt.Sprintf("r%d", i+1), listen: addresses[0], ops: addresses[1]})
		f.gossip = append(f.gossip, addresses[2])
	}
	f.advertise = append([]string(nil), f.gossip...)
	return f, nil
}

// config returns the configuration of a router.
func (f *fleet) config(i int) string {
	var peers []string
	for k, address := range f.advertise {
		if k != i {
			peers = append(peers, fmt.Sprintf("%q", address))
		}
	}
	block := fmt.Sprintf(`{"listen":%q,"advertise":%q,"peers":[%s],"key_file":%q,"size":%d%s}`,
		f.gossip[i], f.advertise[i], strings.Join(peers, ","), f.keyFile, len(f.routers), f.extra(i))
	r := f.routers[i]
	return fmt.Sprintf(fleetConfig, r.name, r.listen, r.ops, f.journal.address, f.journal.known(), block,
		f.deadlines[0].Microseconds(), f.deadlines[1].Microseconds(), f.deadlines[2].Microseconds())
}

// startRouter starts a router of the fleet.
func (f *fleet) startRouter(i int) error { return f.start(fleetProgram(), f.routers[i], f.config(i)) }

// fleetProgram returns the path of the program for routers that share state: of review/build.sh, or else of make build.
func fleetProgram() string {
	const built = "review/bin/hillknot-cluster"
	if _, err := os.Stat(built); err == nil {
		return built
	}
	return "bin/hillknot-cluster"
}

// startAll starts all routers and waits until each sees the others.
func (f *fleet) startAll() error {
	for i := range f.routers {
		if err := f.startRouter(i); err != nil {
			return err
		}
	}
	return f.awaitPeers(len(f.routers) - 1)
}

// awaitPeers waits until each router sees a number of others.
func (f *fleet) awaitPeers(others int) error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		complete := true
		for _, r := range f.routers {
			complete = complete && int(r.metric("app_fleet_others")) == others
		}
		if complete {
			return nil
		}
	}
	return fmt.Errorf("the routers do not see each other")
}
