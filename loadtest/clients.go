package loadtest

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"hillknot/client"
	"hillknot/client/policy"
)

// kind makes clients of one kind.
type kind struct {
	name string
	make func(seed uint64, routers []string, connected func()) (asker, error)
}

// kinds are the clients that are compared.
var kinds = []kind{
	{"plain", func(_ uint64, routers []string, connected func()) (asker, error) {
		return &plain{routers: routers, free: map[string][]net.Conn{}, conns: func(string) { connected() }}, nil
	}},
	{"library", func(seed uint64, routers []string, connected func()) (asker, error) {
		set := policy.Defaults()
		set.Seed = seed
		c, err := client.New(client.Config{Routers: routers, Policy: &set, Observer: func(o client.Observation) {
			if o.What == client.Connected {
				connected()
			}
		}})
		return library{c}, err
	}},
}

// against starts so many routers and a client of theirs.
func (k kind) against(bin string, routers int, later bool) (*Fleet, asker, error) {
	f, err := NewFleet(bin, routers, later)
	if err != nil {
		return nil, nil, err
	}
	a, err := k.make(1, f.addrs(), func() {})
	if err != nil {
		f.Close()
		return nil, nil, err
	}
	return f, a, nil
}

// worths are what a class's answer earns, and the time in which it does; later it earns a tenth.
var worths = map[string]struct {
	worth float64
	aim   time.Duration
	limit time.Duration
}{
	"full-score":  {2, 400 * time.Millisecond, 5 * time.Second},
	"part-page":   {1, 250 * time.Millisecond, 3 * time.Second},
	"new-arrange": {3, 700 * time.Millisecond, 3 * time.Second},
}

// sample is one request and what became of it.
type sample struct {
	class string
	item  uint64
	begun time.Duration
	took  time.Duration
	tries int
	err   error
}

func (s sample) worth() (earned, asked float64) {
	w := worths[s.class]
	switch {
	case s.err != nil:
		return 0, w.worth
	case s.took <= w.aim:
		return w.worth, w.worth
	}
	return w.worth / 10, w.worth
}

// load sends so many requests a second for a time, whatever becomes of those before, and waits for all.
func load(a asker, rate float64, d time.Duration, seed uint64, class func(*rand.Rand) string) []sample {
	rnd, start := rand.New(rand.NewPCG(seed, 2)), time.Now()
	var mu sync.Mutex
	var out []sample
	var all sync.WaitGroup
	for i := 0; ; i++ {
		at := time.Duration(float64(i) / rate * float64(time.Second))
		if at >= d {
			break
		}
		time.Sleep(at - time.Since(start))
		s := sample{class: class(rnd), item: rnd.Uint64(), begun: at}
		all.Go(func() {
			// The time counts from when the request was due: one that is sent late waits for it.
			s.tries, s.err = a.ask(context.Background(), client.Request{Class: s.class, Item: s.item, Limit: worths[s.class].limit})
			s.took = time.Since(start) - s.begun
			mu.Lock()
			out = append(out, s)
			mu.Unlock()
		})
	}
	all.Wait()
	slices.SortFunc(out, func(a, b sample) int { return int(a.begun - b.begun) })
	return out
}

func pages(*rand.Rand) string { return "part-page" }

func mix(r *rand.Rand) string {
	switch x := r.Float64(); {
	case x < 0.53:
		return "full-score"
	case x < 0.967:
		return "part-page"
	}
	return "new-arrange"
}

// Clients compares the kinds of clients against routers of the program bin, and writes tables: all, or only one of
// Parts. With quick, times are a fifth of what they are else.
func CompareClients(bin string, quick bool, only string, to io.Writer) error {
	unit := time.Second
	if quick {
		unit /= 5
	}
	parts := map[string]func(string, time.Duration, io.Writer) error{"storms": storms, "restart": restart, "orders": orders, "minute": badMinute}
	for _, name := range ClientParts {
		if only != "" && only != name {
			continue
		}
		if err := parts[name](bin, unit, to); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

// Parts are the names of the parts of Clients.
var ClientParts = []string{"storms", "restart", "orders", "minute"}

// storms has everything refused for ten seconds, with and without a told wait.
func storms(bin string, unit time.Duration, to io.Writer) error {
	fmt.Fprintf(to, "| storm of refusals, %v, 200 requests/s, 2 routers | tries per request in it | refused at once, median | from its end to 95%% served |\n| --- | --- | --- | --- |\n", 10*unit)
	for _, later := range []bool{false, true} {
		for _, k := range kinds {
			f, a, err := k.against(bin, 2, later)
			if err != nil {
				return err
			}
			begin, end := 2*unit, 12*unit
			time.AfterFunc(begin, func() { f.Backend.Set(true, 0, 0) })
			time.AfterFunc(end, func() { f.Backend.Set(false, 0, 0) })
			all := load(a, 200, end+3*unit, 1, pages)
			a.close()
			f.Close()
			tries, calls := 0, 0
			var told []time.Duration
			for _, s := range all {
				if s.begun >= begin+100*time.Millisecond && s.begun < end-100*time.Millisecond {
					calls++
					tries += s.tries
					if s.err != nil {
						told = append(told, s.took)
					}
				}
			}
			name := k.name + ", no wait told"
			if later {
				name = k.name + ", with `later`"
			}
			fmt.Fprintf(to, "| %s | %.2f | %s | %s |\n", name, float64(tries)/float64(calls), median(told), recovery(all, end))
		}
	}
	fmt.Fprintln(to)
	return nil
}

func median(d []time.Duration) string {
	if len(d) == 0 {
		return "none refused"
	}
	slices.Sort(d)
	return d[len(d)/2].Round(100 * time.Microsecond).String()
}

// recovery is how long after a moment at least 95% of the requests are served in each fifth of a second that follows.
func recovery(all []sample, from time.Duration) string {
	const bin = 200 * time.Millisecond
	served, total := map[int]int{}, map[int]int{}
	last := 0
	for _, s := range all {
		if s.begun >= from {
			i := int((s.begun - from) / bin)
			total[i]++
			last = max(last, i)
			if s.err == nil {
				served[i]++
			}
		}
	}
	for i := last; i >= 0; i-- {
		if float64(served[i]) < 0.95*float64(total[i]) {
			if i == last {
				return "not seen"
			}
			return "≤ " + (time.Duration(i+1) * bin).String()
		}
	}
	return "at once"
}

// restart kills the router of 300 clients and starts it again half a second later.
func restart(bin string, unit time.Duration, to io.Writer) error {
	const clients = 300
	fmt.Fprintf(to, "| restart under %d clients, 5 requests/s each | came back | 5th to 95th percentile | most in 100 ms | served in the 6 s after |\n| --- | --- | --- | --- | --- |\n", clients)
	for _, k := range kinds {
		f, err := NewFleet(bin, 1, false)
		if err != nil {
			return err
		}
		var mu sync.Mutex
		var killed time.Time
		var back []time.Duration
		var all []sample
		var work sync.WaitGroup
		for i := range clients {
			once := false
			a, err := k.make(uint64(i), f.addrs(), func() {
				mu.Lock()
				if !killed.IsZero() && !once {
					once = true
					back = append(back, time.Since(killed))
				}
				mu.Unlock()
			})
			if err != nil {
				f.Close()
				return err
			}
			work.Go(func() {
				defer a.close()
				time.Sleep(time.Duration(i) * 200 * time.Millisecond / clients)
				s := load(a, 5, 8*time.Second, uint64(i), pages)
				mu.Lock()
				all = append(all, s...)
				mu.Unlock()
			})
		}
		time.Sleep(2 * time.Second)
		mu.Lock()
		killed = time.Now()
		mu.Unlock()
		f.Routers[0].Kill()
		time.Sleep(500 * time.Millisecond)
		if err := f.Routers[0].Start(); err != nil {
			f.Close()
			return err
		}
		work.Wait()
		f.Close()
		slices.Sort(back)
		most, served, total := 0, 0, 0
		for i := range back {
			n := 0
			for n < len(back)-i && back[i+n] < back[i]+100*time.Millisecond {
				n++
			}
			most = max(most, n)
		}
		for _, s := range all {
			if s.begun >= 2*time.Second {
				total++
				if s.err == nil {
					served++
				}
			}
		}
		if len(back) == 0 {
			return errors.New("nobody came back")
		}
		p5, p95 := back[len(back)*5/100], back[len(back)*95/100]
		fmt.Fprintf(to, "| %s | %d | %.2f s (%.2f to %.2f) | %.0f%% | %.1f%% |\n", k.name, len(back), (p95 - p5).Seconds(), p5.Seconds(), p95.Seconds(),
			100*float64(most)/float64(len(back)), 100*float64(served)/float64(total))
	}
	fmt.Fprintln(to)
	return nil
}

// orders kills the two routers in turn while orders are sent.
func orders(bin string, unit time.Duration, to io.Writer) error {
	fmt.Fprintf(to, "| orders, 100/s for %v, routers killed in turn each %v | ran twice or more | told as served, but did not run | told as surely not run, but ran | served | told: may have run |\n| --- | --- | --- | --- | --- | --- |\n",
		20*unit, unit)
	for _, k := range kinds {
		o, err := k.orders(bin, unit)
		if err != nil {
			return err
		}
		fmt.Fprintf(to, "| %s | %d of %d | %d | %d | %.1f%% | %d |\n", k.name, o.RunTwice, o.Sent, o.ServedNotRun, o.DeniedButRun, 100*float64(o.Served)/float64(o.Sent), o.MayHaveRun)
	}
	fmt.Fprintln(to)
	return nil
}

// Orders is what became of orders.
type OrderResult struct {
	Sent         int
	RunTwice     int // ran twice or more
	ServedNotRun int // told as served, but did not run
	DeniedButRun int // told as surely not run, but ran
	Served       int
	MayHaveRun   int // told so
}

// LibraryOrders sends orders by the client library while two routers of the program bin are killed in turn, each after
// a unit of time, for twenty units.
func OrdersWithRouterKills(bin string, unit time.Duration) (OrderResult, error) {
	return kinds[1].orders(bin, unit)
}

func (k kind) orders(bin string, unit time.Duration) (o OrderResult, err error) {
	f, a, err := k.against(bin, 2, false)
	if err != nil {
		return o, err
	}
	f.Backend.Set(false, 20*time.Millisecond, 0)
	stop, ended := make(chan struct{}), make(chan error, 1)
	go func() { ended <- f.killInTurn(unit, stop) }()
	all := load(a, 100, 20*unit, 1, func(*rand.Rand) string { return "new-arrange" })
	close(stop)
	err = <-ended
	a.close()
	time.Sleep(200 * time.Millisecond) // what was on its way to the page cache has come
	f.Close()
	for _, s := range all {
		o.Sent++
		ran := f.Backend.Executions[fmt.Sprintf("%016x", s.item)]
		if ran > 1 {
			o.RunTwice++
		}
		switch {
		case s.err == nil && ran == 0:
			o.ServedNotRun++
		case s.err == nil:
			o.Served++
		case errors.Is(s.err, client.ErrMayHaveRun):
			o.MayHaveRun++
		case ran > 0:
			o.DeniedButRun++
		}
	}
	return o, err
}

// killInTurn kills the routers one after the other, and starts each again a quarter of the unit later.
func (f *Fleet) killInTurn(unit time.Duration, stop <-chan struct{}) error {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return nil
		case <-time.After(unit):
		}
		r := f.Routers[i%len(f.Routers)]
		r.Kill()
		time.Sleep(unit / 4)
		if err := r.Start(); err != nil {
			return err
		}
	}
}

// phases are the parts of the bad minute, each up to so many units of time.
var phases = []struct {
	until int
	name  string
}{{5, "calm"}, {13, "a router hangs"}, {18, "calm"}, {22, "a router is away"}, {26, "it is back"}, {32, "all is refused"}, {36, "calm"},
	{42, "page caches take 150 ms more"}, {54, "page caches do 100/s"}, {60, "calm"}}

// badMinute is a minute in which one thing after the other goes wrong.
func badMinute(bin string, unit time.Duration, to io.Writer) error {
	fmt.Fprintf(to, "| bad minute (%v), 150 requests/s, 3 routers | worth earned of worth asked | tries per request | asked of the page caches | ran twice |\n| --- | --- | --- | --- | --- |\n", 60*unit)
	parts := map[string][]float64{} // by client: earned and asked in each phase
	for _, k := range kinds {
		f, a, err := k.against(bin, 3, true)
		if err != nil {
			return err
		}
		var failed error
		var script sync.WaitGroup
		script.Go(func() { failed = f.misfortunes(unit) })
		all := load(a, 150, 60*unit, 1, mix)
		script.Wait()
		a.close()
		f.Close()
		if failed != nil {
			return failed
		}
		earned, asked, tries, twice := 0.0, 0.0, 0, 0
		part := make([]float64, 2*len(phases))
		for _, s := range all {
			e, w := s.worth()
			earned, asked, tries = earned+e, asked+w, tries+s.tries
			for i, p := range phases {
				if s.begun < time.Duration(p.until)*unit {
					part[2*i], part[2*i+1] = part[2*i]+e, part[2*i+1]+w
					break
				}
			}
			if s.class == "new-arrange" && f.Backend.Executions[fmt.Sprintf("%016x", s.item)] > 1 {
				twice++
			}
		}
		parts[k.name] = part
		fmt.Fprintf(to, "| %s | %.3f | %.2f | %d | %d |\n", k.name, earned/asked, float64(tries)/float64(len(all)), f.Backend.Requests, twice)
	}
	fmt.Fprintf(to, "\n| part of the bad minute, up to | plain | library |\n| --- | --- | --- |\n")
	for i, p := range phases {
		share := func(of []float64) float64 { return of[2*i] / of[2*i+1] }
		fmt.Fprintf(to, "| %v: %s | %.3f | %.3f |\n", time.Duration(p.until)*unit, p.name, share(parts["plain"]), share(parts["library"]))
	}
	return nil
}

// misfortunes are those of the bad minute: a router hangs, one is killed and comes back, all is refused, the page
// caches are slow, and they carry two thirds of the load.
func (f *Fleet) misfortunes(unit time.Duration) error {
	start := time.Now()
	at := func(n int) { time.Sleep(time.Duration(n)*unit - time.Since(start)) }
	at(5)
	f.Routers[0].Signal(syscall.SIGSTOP)
	at(13)
	f.Routers[0].Signal(syscall.SIGCONT)
	at(18)
	f.Routers[1].Kill()
	at(22)
	if err := f.Routers[1].Start(); err != nil {
		return err
	}
	at(26)
	f.Backend.Set(true, 0, 0)
	at(32)
	f.Backend.Set(false, 0, 0)
	at(36)
	f.Backend.Set(false, 150*time.Millisecond, 0)
	at(42)
	f.Backend.Set(false, 0, 100)
	at(54)
	f.Backend.Set(false, 0, 0)
	return nil
}
