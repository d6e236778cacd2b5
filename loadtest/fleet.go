package loadtest

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"hillknot/internal/testutil/fakes"
)

// firstEventPosition is that of the fake discovery service; position 1 is the list that a router starts with.
const firstEventPosition = 2

// Fleet is some routers of one location with page caches, an origin and a discovery service, all on loopback.
type Fleet struct {
	Backend *Backend
	Routers []*Router

	options   FleetOptions
	dir       string         // of all files of the routers
	caches    []*fakes.Cache // those on the list, the origin, the unlisted ones
	discovery *fakes.Discovery
}

// FleetOptions describe a fleet.
type FleetOptions struct {
	Routers        int
	RetryAfter     bool // routers tell the clients that they reject how long to stay away
	Caches         int  // page caches on the list, beside which there is an origin
	UnlistedCaches int  // page caches that are not on the list yet
	KnownRouters   int  // how many routers each router takes the location to have, itself included
	OverloadFactor int  // a page cache that warms up may be sent this multiple of its capacity
	Sockets        int  // descriptors that a router may hold; 0: the default

	Answer   func(cache int, request fakes.Request) fakes.Reply // nil: Backend answers
	Operator func(router int, ip string) (string, error)        // the text of a router's operator's file; nil: none
	// Address returns the addresses of page caches that the caller runs, the origin's last. Nil: the fleet runs them.
	Address  func(cache int) string
	LogLevel string // the least level that routers log; empty: error
}

// independentFleet describes routers that do not know each other.
func independentFleet(routers int, retryAfter bool) FleetOptions {
	return FleetOptions{Routers: routers, RetryAfter: retryAfter, Caches: 2, KnownRouters: 1, OverloadFactor: 4}
}

// StartFleet starts a fleet whose routers run a program. The caller closes it.
func StartFleet(program string, options FleetOptions) (*Fleet, error) {
	f := &Fleet{Backend: &Backend{Executions: map[string]int{}}, options: options}
	if err := f.start(program); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// start starts all parts; those that were started before an error are left to Close.
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

// endpoints returns the list of page caches and the origin.
func (f *Fleet) endpoints() []endpoint {
	var list []endpoint
	for i := range f.options.Caches + 1 {
		address := f.caches[i].Addr()
		if f.options.Address != nil {
			address = f.options.Address(i)
		}
		e := newEndpoint(endpointName(i), address, stateReady)
		if i == f.options.Caches {
			e.Zone, e.MachineType = zoneHub, machineOrigin
		}
		list = append(list, e)
	}
	return list
}

// newRouter writes the files of a router, which the caller starts.
func (f *Fleet) newRouter(program string, number int, endpoints []endpoint) (*Router, error) {
	ip := randomLoopbackIP()
	r := &Router{
		ListenAddress: ip + ":7001",
		name:          routerName(number),
		ipAddress:     ip,
		program:       program,
		dir:           filepath.Join(f.dir, fmt.Sprint(number)),
		logLevel:      f.options.LogLevel,
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

// rollingRestart restarts one router after the other on SIGTERM.
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
	_ = os.RemoveAll(f.dir) // what stays is in the folder of temporary files
}

// Publish has the discovery service send an event. The text is what follows "pos" in its data.
func (f *Fleet) Publish(format string, args ...any) { f.discovery.Publish(format, args...) }

// publishEndpoints has the discovery service send a change of some endpoints.
func (f *Fleet) publishEndpoints(endpoints ...endpoint) {
	f.Publish("%s", endpointsEvent(1, false, endpoints))
}

// publishPurge has the discovery service send that copies of an object from before a time are invalid.
func (f *Fleet) publishPurge(object string, at time.Time) {
	f.Publish(`"expire":{"name":%q,"stamp":%d}`, object, at.UnixMilli())
}

// listCache has the discovery service add an unlisted page cache, which has just started, to the list under a name.
func (f *Fleet) listCache(unlisted int, name string) {
	e := newEndpoint(name, f.caches[f.options.Caches+1+unlisted].Addr(), stateReady)
	e.StartedAtMillis = time.Now().UnixMilli()
	f.publishEndpoints(e)
}

// listenAddresses returns the addresses at which the routers take clients.
func (f *Fleet) listenAddresses() (addresses []string) {
	for _, r := range f.Routers {
		addresses = append(addresses, r.ListenAddress)
	}
	return addresses
}
