package loadtest

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"hillknot/internal/testutil/fakes"
)

// firstEventPosition is the position of the first event of the fake discovery service. Position 1 is the endpoint list that a
// router starts with.
const firstEventPosition = 2

// Fleet is a number of routers of one zone with page caches, an origin and a discovery service, all on loopback.
type Fleet struct {
	Backend *Backend
	Routers []*Router

	options   FleetOptions
	dir       string         // holds all files of the routers
	caches    []*fakes.Cache // page caches on the list, then the origin, then unlisted page caches
	discovery *fakes.Discovery
}

// FleetOptions describes a fleet.
type FleetOptions struct {
	Routers        int
	RetryAfter     bool // rejections of routers tell the client how long to stay away
	Caches         int  // page caches on the endpoint list, not counting the origin
	UnlistedCaches int  // page caches that are not on the endpoint list at first
	KnownRouters   int  // number of routers in the zone according to the configuration of each router, itself included
	OverloadFactor int  // a page cache that warms up may receive this multiple of its capacity
	Sockets        int  // descriptors that a router may hold; 0: the default
	MemoryMB       int  // memory that a router may use; 0: the default

	Cells       int           // of the page caches; 0: they are in none
	KeyedWindow time.Duration // for which the page caches of a cell drop repeats of a keyed class; 0: there is no such class
	MaxDeadline time.Duration // bounds the deadlines of all classes; 0: their defaults

	Answer   func(cache int, request fakes.Request) fakes.Reply // nil: Backend answers
	Operator func(router int, ip string) (string, error)        // returns the text of a router's operator's file; nil: no file
	// Address returns the addresses of page caches that the caller runs, and last that of the origin. Nil: the fleet runs
	// them.
	Address  func(cache int) string
	LogLevel string // minimum level that routers log; empty: error

	DiscoveryAddress string   // of the discovery service; empty: the fleet runs one
	Log              *os.File // standard error of the first process of each router; nil: its log file
}

// independentFleet returns the options of a fleet whose routers do not know each other.
func independentFleet(routers int, retryAfter bool) FleetOptions {
	return FleetOptions{Routers: routers, RetryAfter: retryAfter, Caches: 2, KnownRouters: 1, OverloadFactor: 4}
}

// StartFleet starts a fleet whose routers run the given program. The caller closes the fleet.
func StartFleet(program string, options FleetOptions) (*Fleet, error) {
	f := &Fleet{Backend: &Backend{Executions: map[string]int{}}, options: options}
	if err := f.start(program); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// start starts all parts. After an error, Close ends the parts that were started.
func (f *Fleet) start(program string) (err error) {
	if f.dir, err = os.MkdirTemp("", "hillknot-loadtest-"); err != nil {
		return err
	}
	if f.discovery, err = fakes.NewDiscovery("127.0.0.1:0", firstEventPosition); err != nil {
		return err
	}
	if err := f.startCaches(); err != nil {
		return err
	}
	endpoints := f.endpoints()
	for i := range f.options.Routers {
		router, err := f.newRouter(program, i, endpoints)
		if err != nil {
			return err
		}
		f.Routers = append(f.Routers, router)
		if err := router.Start(); err != nil {
			return err
		}
	}
	return nil
}

// startCaches starts the page caches, the origin and the unlisted page caches.
func (f *Fleet) startCaches() error {
	for i := range f.options.Caches + 1 + f.options.UnlistedCaches {
		answer := f.Backend.answer
		if f.options.Answer != nil {
			answer = func(request fakes.Request) fakes.Reply { return f.options.Answer(i, request) }
		}
		cache, err := fakes.NewCache("127.0.0.1:0", answer)
		if err != nil {
			return err
		}
		f.caches = append(f.caches, cache)
	}
	return nil
}

// endpoints returns the endpoint list: the listed page caches, then the origin.
func (f *Fleet) endpoints() []endpoint {
	var list []endpoint
	for i := range f.options.Caches + 1 {
		address := f.caches[i].Addr()
		if f.options.Address != nil {
			address = f.options.Address(i)
		}
		e := newEndpoint(endpointName(i), address, stateReady)
		e.Cell = cellOf(i, f.options.Cells)
		if i == f.options.Caches {
			e.Cell = noCell
			e.Zone, e.MachineType = zoneHub, machineOrigin
		}
		list = append(list, e)
	}
	return list
}

// newRouter makes a router and writes its files. The caller starts the router.
func (f *Fleet) newRouter(program string, number int, endpoints []endpoint) (*Router, error) {
	ip := randomLoopbackIP()
	r := &Router{
		ListenAddress: ip + ":7001",
		name:          routerName(number),
		ipAddress:     ip,
		program:       program,
		dir:           filepath.Join(f.dir, fmt.Sprint(number)),
		logLevel:      f.options.LogLevel,
		log:           f.options.Log,
	}
	if err := os.Mkdir(r.dir, 0o700); err != nil {
		return nil, err
	}
	if f.options.Operator != nil {
		text, err := f.options.Operator(number, ip)
		if err != nil {
			return nil, err
		}
		r.operatorPath = filepath.Join(r.dir, "operator.hcl")
		if err := os.WriteFile(r.operatorPath, []byte(text), 0o600); err != nil {
			return nil, err
		}
	}
	config, err := f.routerConfig(r, endpoints)
	if err != nil {
		return nil, err
	}
	r.configPath = filepath.Join(r.dir, "config.json")
	return r, os.WriteFile(r.configPath, config, 0o600)
}

// rollingRestart restarts one router after another with SIGTERM.
func (f *Fleet) rollingRestart() error {
	for _, r := range f.Routers {
		r.Signal(syscall.SIGTERM)
		if err := r.wait(); err != nil {
			return fmt.Errorf("%s: %w", r.ListenAddress, err)
		}
		if err := r.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Close ends all processes and fakes, and removes all files.
func (f *Fleet) Close() {
	for _, r := range f.Routers {
		if r.started() {
			r.Kill()
		}
	}
	for _, cache := range f.caches {
		cache.Close()
	}
	if f.discovery != nil {
		f.discovery.Close()
	}
	_ = os.RemoveAll(f.dir) // files that can't be removed stay in the folder of temporary files
}

// Publish makes the discovery service send an event. The formatted text follows the field "pos" in the data of the event.
func (f *Fleet) Publish(format string, args ...any) { f.discovery.Publish(format, args...) }

// publishEndpoints makes the discovery service send a change of some endpoints.
func (f *Fleet) publishEndpoints(endpoints ...endpoint) {
	f.Publish("%s", endpointsEvent(1, false, endpoints))
}

// publishPurge makes the discovery service send a purge: copies of an object from before a time are invalid.
func (f *Fleet) publishPurge(object string, at time.Time) {
	f.Publish(`"expire":{"name":%q,"stamp":%d}`, object, at.UnixMilli())
}

// listCache makes the discovery service add an unlisted page cache to the endpoint list under a name, as one that has just
// started.
func (f *Fleet) listCache(unlisted int, name string) {
	e := newEndpoint(name, f.caches[f.options.Caches+1+unlisted].Addr(), stateReady)
	e.StartedAtMillis = time.Now().UnixMilli()
	f.publishEndpoints(e)
}

// listenAddresses returns the addresses at which the routers accept clients.
func (f *Fleet) listenAddresses() (addresses []string) {
	for _, r := range f.Routers {
		addresses = append(addresses, r.ListenAddress)
	}
	return addresses
}
