// Package loadtest measures the product against itself: real router processes on loopback, stand-ins for all that they
// talk to, and clients of several kinds. It is not part of the router.
package loadtest

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"hillknot/internal/testutil/fakes"
)

// Fleet is some routers of one location with a page cache, an origin and a journal, all on loopback.
type Fleet struct {
	Backend *Backend
	Routers []*Router
	dir     string
	set     Setup
	caches  []*fakes.Cache // on the list, the origin, spare
	journal *fakes.Discovery
}

// Router is a router process.
type Router struct {
	Address       string
	ListenAddress string
	bin           string
	conf          string

	Env []string // of the process, beside this one's
	Log string   // the least level that it logs; empty: errors

	busy     bool // a trouble has it, in the soak test
	operator string
	cmd      *exec.Cmd
	dir      string
}

// Backend is what the page cache and the origin do.
type Backend struct {
	mu         sync.Mutex
	refuse     bool
	delay      time.Duration
	rate       float64 // requests a second that it can do; 0: any
	work       float64 // requests that wait to be done
	then       time.Time
	Executions map[string]int // orders that ran, by object
	Requests   int
	OnRequest  func(fakes.Request) // called with each request, if it is set before any comes
}

// Set changes what it does.
func (b *Backend) Set(refuse bool, delay time.Duration, rate float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refuse, b.delay, b.rate, b.work, b.then = refuse, delay, rate, 0, time.Now()
}

func (b *Backend) answer(a fakes.Request) fakes.Reply {
	if b.OnRequest != nil {
		b.OnRequest(a)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Requests++
	full, wait := b.refuse, b.delay+5*time.Millisecond
	if b.rate > 0 {
		// What it can do waits in a line of a quarter of a second; to refuse the rest is a tenth of the work, as far as
		// that gets done at all.
		now := time.Now()
		b.work = max(0, b.work-now.Sub(b.then).Seconds()*b.rate)
		b.then = now
		if full = full || b.work >= b.rate/4; full {
			b.work = min(b.work+0.1, b.rate/2)
		} else {
			b.work++
			wait += time.Duration(b.work / b.rate * float64(time.Second))
		}
	}
	if full {
		return fakes.Reply{Status: "WAIT"}
	}
	note, body := "cached", []byte(nil)
	switch a.Fields["kind"] {
	case "new-arrange":
		b.Executions[a.Fields["obj"]]++
		note = "fetched_root"
	case "full-score":
		body = make([]byte, 24<<10)
	default:
		body = make([]byte, 4<<10)
	}
	return fakes.Reply{Status: "DONE", Body: body, Delay: wait,
		Fields: fmt.Sprintf("res=%s,version=1,stamp=%d", note, time.Now().UnixMilli())}
}

// Setup is what a fleet consists of.
type Setup struct {
	Routers        int
	RetryAfter     bool                                         // they tell refused clients how long to stay away
	Caches         int                                          // page caches on the list; beside them there is an origin
	SpareCaches    int                                          // page caches that are not on the list yet
	KnownRouters   int                                          // routers that each router is told to stand beside, itself counted
	OverloadFactor int                                          // of its capacity, a new page cache may be sent this multiple
	Answer         func(cache int, a fakes.Request) fakes.Reply // nil: Backend answers
	Addresses      func(cache int) string                       // of page caches that others play, the origin last; nil: the fleet plays them
	Operator       func(i int, ip string) string                // the operator's file of a router; nil: there is none
	Log            string                                       // the least level that routers log; empty: errors
}

// NewFleet starts so many routers of the program bin. With later, they tell refused clients how long to stay away.
func NewFleet(bin string, routers int, later bool) (*Fleet, error) {
	return StartFleet(bin, Setup{Routers: routers, RetryAfter: later, Caches: 2, KnownRouters: 1, OverloadFactor: 4})
}

// coldFor is how long a page cache of the fleet is cold after its start.
const coldFor = 18 * time.Second

// StartFleet starts a fleet.
func StartFleet(bin string, set Setup) (*Fleet, error) {
	f := &Fleet{Backend: &Backend{Executions: map[string]int{}}, set: set}
	if err := f.start(bin); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(bin string) (err error) {
	if f.dir, err = os.MkdirTemp("", "hillknot-loadtest-"); err != nil {
		return err
	}
	if f.journal, err = fakes.NewDiscovery("127.0.0.1:0", 2); err != nil {
		return err
	}
	var hosts []map[string]any
	for i := range f.set.Caches + 1 + f.set.SpareCaches {
		answer := f.Backend.answer
		if f.set.Answer != nil {
			answer = func(a fakes.Request) fakes.Reply { return f.set.Answer(i, a) }
		}
		c, err := fakes.NewCache("127.0.0.1:0", answer)
		if err != nil {
			return err
		}
		f.caches = append(f.caches, c)
		kind, zone := "small", "edge"
		switch {
		case i == f.set.Caches:
			kind, zone = "origin", "hub"
		case i > f.set.Caches:
			continue
		}
		addr := c.Addr()
		if f.set.Addresses != nil {
			addr = f.set.Addresses(i)
		}
		hosts = append(hosts, map[string]any{"instanceId": fmt.Sprintf("s-%d", i+1), "hostPort": addr, "zone": zone, "machineType": kind,
			"lifecycle": "ready", "weight": 1})
	}
	for i := range f.set.Routers {
		r, err := f.router(bin, i, hosts)
		if err != nil {
			return err
		}
		f.Routers = append(f.Routers, r)
		if err := r.Start(); err != nil {
			return err
		}
	}
	return nil
}

// router writes the configuration of one router.
func (f *Fleet) router(bin string, i int, hosts []map[string]any) (*Router, error) {
	// An address of its own to come back to: no other's connection can be given that port meanwhile.
	n := rand.Uint32()
	r := &Router{Address: fmt.Sprintf("127.%d.%d.%d", 64+n>>16&63, n>>8&255, 1+n%254), bin: bin, dir: filepath.Join(f.dir, fmt.Sprint(i))}
	r.ListenAddress, r.Log = r.Address+":7001", f.set.Log
	r.conf = filepath.Join(r.dir, "config.json")
	us := func(d time.Duration) int64 { return d.Microseconds() }
	class := func(name, repeat string, aim, deadline time.Duration, worth int) map[string]any {
		return map[string]any{"name": name, "repeat": repeat, "promiseUs": us(aim), "deadlineUs": us(deadline), "worth": worth}
	}
	const ms = time.Millisecond
	text, err := json.Marshal(map[string]any{
		"name": fmt.Sprintf("lab-%d", i), "listen": r.ListenAddress, "journal": f.journal.Addr(),
		"known": map[string]any{"pos": 1, "entries": []any{map[string]any{"pos": 1,
			"hosts": map[string]any{"generation": 0, "reset": true, "instances": hosts}}}},
		"settings": map[string]any{
			"locality": "edge", "dcs": []string{"hub", "edge"}, "hostTypes": []string{"small", "origin"},
			"allowed": map[string]any{"cancel": true, "connectTimeoutUs": 400000, "keepaliveUs": 30000000, "maxAttempts": 6,
				"retryAfter": f.set.RetryAfter, "maxRetryAfterUs": 500000},
			"invariants": map[string]any{"coldFrom": 0.21, "coldUs": us(coldFor), "fallUs": 2000000, "overloadFactor": f.set.OverloadFactor},
			"profiles": []any{class("full-score", "safe", 400*ms, 5*time.Second, 2), class("part-page", "safe", 250*ms, 3*time.Second, 1),
				class("new-arrange", "unsafe", 700*ms, 3*time.Second, 3)},
			"specifics": map[string]any{"instancesByZone": []int{0, f.set.KnownRouters}, "midKind": -1, "storeKind": 1, "classWrite": []bool{false, false, true},
				"classFreshUs": []int{0, 20000000, 0}, "purgeTakesUs": 6000000},
		},
	})
	if err != nil {
		return nil, err
	}
	if err := os.Mkdir(r.dir, 0o700); err != nil {
		return nil, err
	}
	if f.set.Operator != nil {
		r.operator = filepath.Join(r.dir, "operator.hcl")
		if err := os.WriteFile(r.operator, []byte(f.set.Operator(i, r.Address)), 0o600); err != nil {
			return nil, err
		}
	}
	return r, os.WriteFile(r.conf, text, 0o600)
}

// Start starts the process and waits until it accepts.
func (r *Router) Start() error {
	args := []string{"-config", r.conf, "--log-level", cmp.Or(r.Log, "error"), "--log-format", "json"}
	if r.operator != "" {
		args = append(args, "--operator", r.operator)
	}
	r.cmd = exec.Command(r.bin, args...)
	r.cmd.Env = append(append(os.Environ(), "TMPDIR="+r.dir), r.Env...)
	log, err := os.OpenFile(filepath.Join(r.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	r.cmd.Stderr = log
	if err := r.cmd.Start(); err != nil {
		return err
	}
	for range 200 {
		if nc, err := net.Dial("tcp", r.ListenAddress); err == nil {
			return nc.Close()
		}
		time.Sleep(10 * time.Millisecond)
	}
	said, _ := os.ReadFile(log.Name()) // it may have said nothing
	return fmt.Errorf("router %s does not accept: %s", r.ListenAddress, said)
}

// Signal sends the process a signal.
func (r *Router) Signal(s syscall.Signal) { _ = r.cmd.Process.Signal(s) } // it may have ended

// Kill ends the process at once.
func (r *Router) Kill() {
	r.Signal(syscall.SIGKILL)
	_ = r.cmd.Wait() // it was killed, and says so
}

// roll restarts one router after the other on SIGTERM.
func (f *Fleet) roll() error {
	for _, r := range f.Routers {
		r.Signal(syscall.SIGTERM)
		if err := r.cmd.Wait(); err != nil { // anything but exit 0
			return fmt.Errorf("%s: %w", r.ListenAddress, err)
		}
		if err := r.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Close ends all and leaves nothing.
func (f *Fleet) Close() {
	for _, r := range f.Routers {
		if r.cmd != nil && r.cmd.Process != nil {
			r.Kill()
		}
	}
	for _, c := range f.caches {
		c.Close()
	}
	if f.journal != nil {
		f.journal.Close()
	}
	_ = os.RemoveAll(f.dir) // in the folder for what is temporary
}

// Tell has the journal tell an event: what comes behind "pos" in its data.
func (f *Fleet) Publish(format string, args ...any) { f.journal.Publish(format, args...) }

// StartSpare has the journal tell of a spare page cache that has just started, under a name.
func (f *Fleet) StartSpare(i int, name string) {
	f.Publish(`"hosts":{"generation":1,"reset":false,"instances":[{"instanceId":%q,"hostPort":%q,"zone":"edge","machineType":"small","lifecycle":"ready","weight":1,"startedAtMs":%d}]}`,
		name, f.caches[f.set.Caches+1+i].Addr(), time.Now().UnixMilli())
}

// addrs are the routers' addresses.
func (f *Fleet) addrs() (out []string) {
	for _, r := range f.Routers {
		out = append(out, r.ListenAddress)
	}
	return out
}
