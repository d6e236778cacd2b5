package loadtest

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"hillknot/client"
	"hillknot/client/policy"
	"hillknot/internal/testutil/fakes"
	"hillknot/internal/testutil/faultnet"
	"hillknot/internal/testutil/timeline"
)

// orderBook is what the stand-in page caches saw of orders.
type orderBook struct {
	mu    sync.Mutex
	asks  map[string]int // by object
	work  time.Duration  // that an order takes, at least
	quick bool           // pages are answered at once, and small
	rnd   *rand.Rand
}

func (b *orderBook) answer(_ int, a fakes.Request) fakes.Reply {
	b.mu.Lock()
	defer b.mu.Unlock()
	fields := fmt.Sprintf("res=cached,version=1,stamp=%d", time.Now().UnixMilli())
	if a.Fields["kind"] != "new-arrange" {
		if b.quick {
			return fakes.Reply{Status: "DONE", Body: make([]byte, 64), Fields: fields}
		}
		return fakes.Reply{Status: "DONE", Body: make([]byte, 1<<10), Delay: 20 * time.Millisecond, Fields: fields}
	}
	b.asks[a.Fields["obj"]]++
	return fakes.Reply{Status: "DONE", Body: []byte("done " + a.Fields["obj"]), Delay: b.work + time.Duration(b.rnd.Int64N(int64(20*time.Millisecond))), Fields: fields}
}

func (b *orderBook) ran(item uint64) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.asks[fmt.Sprintf("%016x", item)]
}

// Outlivers is a fleet whose routers keep each other's orders.
type FailoverCluster struct {
	*Cluster
	book *orderBook
	made uint64 // clients
}

// NewOutlivers starts so many routers that keep each other's orders, or with on false, the same without.
func NewFailoverCluster(bin string, routers int, on bool, log string, seed uint64) (*FailoverCluster, error) {
	t, err := newTalkers(seed)
	if err != nil {
		return nil, err
	}
	o := &FailoverCluster{t, &orderBook{asks: map[string]int{}, work: 30 * time.Millisecond, rnd: rand.New(rand.NewPCG(seed, 9))}, 0}
	block := ""
	if on {
		block = "  takeover {\n    strict = true\n  }\n"
	}
	set := Setup{Routers: routers, RetryAfter: true, Caches: 4, KnownRouters: routers, OverloadFactor: 1000, Answer: o.book.answer, Log: log}
	if err := t.start(bin, set, func(int) string { return block }); err != nil {
		t.Close()
		return nil, err
	}
	if on {
		if err := t.met(); err != nil {
			t.Close()
			return nil, err
		}
	}
	return o, nil
}

// claimer sends one request after the other by a library client of its own, so that what the client observes is of the one
// that is open.
type claimer struct {
	o    *FailoverCluster
	c    *client.Client
	rnd  *rand.Rand
	mu   sync.Mutex
	at   string // the router that it asked last
	call *Call
	done []*Call
}

// Call is a request of a client, and what became of it.
type Call struct {
	Order bool
	Item  uint64
	Begun time.Time
	Limit time.Duration
	Took  time.Duration
	Tries int
	Err   error

	Open bool // on a router as that was lost, with half a second left at least
	Sent bool // to a page cache, by then
	ran  int
}

func (o *FailoverCluster) claimer(seed uint64) (*claimer, error) {
	w := &claimer{o: o, rnd: rand.New(rand.NewPCG(seed, 8))}
	set := policy.Defaults()
	set.Seed, set.Claims = seed, true
	var err error
	w.c, err = client.New(client.Config{Routers: o.addrs(), Policy: &set, Observer: func(ob client.Observation) {
		if ob.What == client.Tried {
			w.mu.Lock()
			w.at = ob.Router
			w.mu.Unlock()
		}
	}})
	return w, err
}

func (w *claimer) run(stop <-chan struct{}, orderShare float64, pause time.Duration) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		q := client.Request{Class: "part-page", Item: w.rnd.Uint64N(4000), Limit: 2 * time.Second}
		k := &Call{Order: w.rnd.Float64() < orderShare, Limit: q.Limit}
		if k.Order {
			q.Class, q.Item, q.Body = "new-arrange", w.rnd.Uint64(), []byte("order")
		}
		k.Item, k.Begun = q.Item, time.Now()
		w.mu.Lock()
		w.at, w.call = "", k
		w.mu.Unlock()
		resp, err := w.c.Do(context.Background(), q)
		w.mu.Lock()
		k.Took, k.Err, k.Tries = time.Since(k.Begun), err, resp.Tries
		w.call, w.done = nil, append(w.done, k)
		w.mu.Unlock()
		time.Sleep(time.Duration(w.rnd.Int64N(int64(pause) + 1)))
	}
}

// lost marks what is open on routers as they are lost.
func (w *claimer) lost(addrs []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	k := w.call
	if k != nil && slices.Contains(addrs, w.at) && k.Limit-time.Since(k.Begun) >= 500*time.Millisecond {
		k.Open = true
		k.Sent = k.Order && w.o.book.ran(k.Item) > 0
	}
}

// OutliveRow is what a fault did to orders and reads.
type FailoverResult struct {
	Fault                                                    string
	Orders, Served, Rejected, MayHaveRun, OtherErrors        int // orders; how they ended for their clients
	RunTwice, Contradictions                                 int
	Reads, ReadsServed                                       int
	ReadsInFlight, ReadsInFlightServed                       int // on routers as they were lost
	UnsentInFlight, UnsentInFlightResolved, UnsentMayHaveRun int // orders that no page cache had got; of these, told as may have run
	SentInFlight, SentInFlightServed                         int
	Kills                                                    int
}

// Broken tells whether a row breaks a promise.
func (r FailoverResult) Broken() bool { return r.RunTwice+r.Contradictions > 0 }

func (r *FailoverResult) add(calls []*Call, ran func(uint64) int) {
	for _, k := range calls {
		served := k.Err == nil
		may := errors.Is(k.Err, client.ErrMayHaveRun)
		if !k.Order {
			r.Reads++
			r.ReadsServed += one(served)
			r.ReadsInFlight += one(k.Open)
			r.ReadsInFlightServed += one(k.Open && served)
			continue
		}
		k.ran = ran(k.Item)
		r.Orders++
		r.Served += one(served)
		r.MayHaveRun += one(may)
		r.Rejected += one(!served && !may && errors.Is(k.Err, client.ErrRefused))
		r.OtherErrors += one(!served && !may && !errors.Is(k.Err, client.ErrRefused))
		r.RunTwice += one(k.ran > 1)
		r.Contradictions += one(served && k.ran == 0 || !served && !may && k.ran > 0)
		switch {
		case k.Open && k.Sent:
			r.SentInFlight++
			r.SentInFlightServed += one(served)
		case k.Open:
			r.UnsentInFlight++
			r.UnsentInFlightResolved += one(!may)
			r.UnsentMayHaveRun += one(may)
		}
	}
}

func one(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Under runs clients while something is done to the fleet, and counts.
func (o *FailoverCluster) runUnderLoad(fault string, clients int, do func(lost func(routers ...int)) error) (FailoverResult, error) {
	row := FailoverResult{Fault: fault}
	stop := make(chan struct{})
	var all sync.WaitGroup
	var ws []*claimer
	defer func() {
		for _, w := range ws {
			_ = w.c.Close(context.Background()) // all has ended
		}
	}()
	for range clients {
		o.made++
		w, err := o.claimer(o.seed<<32 + o.made)
		if err != nil {
			return row, err
		}
		ws = append(ws, w)
		all.Go(func() { w.run(stop, 0.5, 20*time.Millisecond) })
	}
	time.Sleep(500 * time.Millisecond)
	err := do(func(routers ...int) {
		row.Kills++
		var addrs []string
		for _, i := range routers {
			addrs = append(addrs, o.Routers[i].ListenAddress)
		}
		for _, w := range ws {
			w.lost(addrs)
		}
	})
	close(stop)
	all.Wait()
	time.Sleep(100 * time.Millisecond)
	for _, w := range ws {
		row.add(w.done, o.book.ran)
	}
	return row, err
}

// kill kills routers at once, marks what was open there, and starts them again.
func (o *FailoverCluster) kill(lost func(...int), after time.Duration, routers ...int) error {
	lost(routers...)
	for _, i := range routers {
		o.Routers[i].Kill()
	}
	time.Sleep(after)
	for _, i := range routers {
		if err := o.Routers[i].Start(); err != nil {
			return err
		}
	}
	return nil
}

// Kills kills one router after the other, so many times, and starts each again.
func (o *FailoverCluster) RunKills(n int, each time.Duration, clients int) (FailoverResult, error) {
	rnd := rand.New(rand.NewPCG(o.seed, 4))
	return o.runUnderLoad("kill and restart, one after the other", clients, func(lost func(...int)) error {
		for range n {
			if err := o.kill(lost, each/3, rnd.IntN(len(o.Routers))); err != nil {
				return err
			}
			time.Sleep(each/2 + time.Duration(rnd.Int64N(int64(each/3))))
		}
		return nil
	})
}

// OutliveFaults runs the fleet through each fault that is named, or all, for so long each.
func (o *FailoverCluster) RunFailoverFaults(each time.Duration, clients int, only []string) (rows []FailoverResult, err error) {
	rest := func(not ...int) (out []int) {
		for i := range o.Routers {
			if !slices.Contains(not, i) {
				out = append(out, i)
			}
		}
		return out
	}
	wait := func(d time.Duration) error { time.Sleep(d); return nil }
	for _, f := range []struct {
		name string
		do   func(lost func(...int)) error
	}{
		{"none", func(func(...int)) error { return wait(each) }},
		{"two killed at once", func(lost func(...int)) error {
			for i := range 3 {
				if err := o.kill(lost, each/8, i, (i+1)%len(o.Routers)); err != nil {
					return err
				}
				time.Sleep(each / 5)
			}
			return nil
		}},
		{"stopped for longer than a lease", func(lost func(...int)) error {
			for i := range 3 {
				lost(i)
				o.Routers[i].Signal(syscall.SIGSTOP)
				time.Sleep(each / 4)
				o.Routers[i].Signal(syscall.SIGCONT)
				time.Sleep(each / 12)
			}
			return nil
		}},
		{"two cut off from the rest", func(func(...int)) error { o.Network.Partition([]int{0, 1}); return wait(each) }},
		{"one isolated", func(func(...int)) error { o.Network.Heal(); o.Network.Partition([]int{0}); return wait(each) }},
		{"one not heard", func(func(...int)) error { o.Network.Heal(); o.Network.Block([]int{0}, rest(0)); return wait(each) }},
		{"one deaf", func(func(...int)) error { o.Network.Heal(); o.Network.Block(rest(0), []int{0}); return wait(each) }},
		{"a third of the packets lost, others late", func(func(...int)) error {
			o.Network.Heal()
			o.Network.Impair(0.33, 100*time.Millisecond)
			return wait(each)
		}},
		{"keys rotated", func(func(...int)) error { o.Network.Heal(); return o.rotate() }},
		{"rolling restart (SIGTERM)", func(func(...int)) error { return o.roll() }},
		{"drawn from the seed", func(func(...int)) error { return o.follow(faultnet.Schedule(o.seed, len(o.Routers), 2*each, each/8)) }},
	} {
		if only != nil && !slices.Contains(only, f.name) {
			continue
		}
		row, err := o.runUnderLoad(f.name, clients, f.do)
		if err != nil {
			return rows, fmt.Errorf("%s: %w", f.name, err)
		}
		rows = append(rows, row)
	}
	o.Network.Heal()
	return rows, nil
}

// Cost is what keeping orders costs.
type Cost struct {
	Orders, Reads Quantiles
	ReadsASecond  float64 // as many as a few clients get, one after the other
	Packets       float64 // that a router sends others, a second
}

// Quantiles of times.
type Quantiles struct{ P50, P99 time.Duration }

func quantiles(d []time.Duration) (q Quantiles) {
	slices.Sort(d)
	if len(d) > 0 {
		q.P50, q.P99 = d[len(d)/2], d[len(d)*99/100]
	}
	return q
}

// Cost measures a fleet at rest: the times of orders and of reads.
func (o *FailoverCluster) MeasureCost(over time.Duration) (c Cost, err error) {
	for _, share := range []float64{1, 0} {
		var ws []*claimer
		var all sync.WaitGroup
		stop := make(chan struct{})
		for range 8 {
			o.made++
			w, err := o.claimer(o.seed<<32 + o.made)
			if err != nil {
				return c, err
			}
			ws = append(ws, w)
			all.Go(func() { w.run(stop, share, 0) })
		}
		packets := o.Network.PacketsForwarded.Load()
		time.Sleep(over)
		close(stop)
		all.Wait()
		var took []time.Duration
		for _, w := range ws {
			for _, k := range w.done[min(len(w.done), 10):] { // the first ones connect
				took = append(took, k.Took)
			}
			_ = w.c.Close(context.Background()) // all has ended
		}
		if share > 0 {
			c.Orders, c.Packets = quantiles(took), float64(o.Network.PacketsForwarded.Load()-packets)/over.Seconds()/float64(len(o.Routers))
		} else {
			c.Reads, c.ReadsASecond = quantiles(took), float64(len(took))/over.Seconds()
		}
	}
	return c, nil
}

// Line is the timeline of the fleet's routers, as far as they logged the steps of orders.
func (o *FailoverCluster) Timeline(faults ...timeline.Event) (timeline.Timeline, error) {
	events := slices.Clone(faults)
	for i, r := range o.Routers {
		f, err := os.Open(filepath.Join(r.dir, "log"))
		if err != nil {
			return nil, err
		}
		more, err := timeline.ReadLog(fmt.Sprintf("lab-%d", i), "order step", f)
		_ = f.Close() // it was only read
		if err != nil {
			return nil, err
		}
		events = append(events, more...)
	}
	return timeline.Sort(events), nil
}

// Outlive measures all of it, and writes the tables.
func MeasureFailover(bin string, routers, kills int, each time.Duration, seed uint64, to io.Writer) error {
	for _, on := range []bool{false, true} {
		o, err := NewFailoverCluster(bin, routers, on, "", seed)
		if err != nil {
			return err
		}
		c, err := o.MeasureCost(each)
		o.Close()
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(to, "orders kept %v: an order takes %v at p50, %v at p99; a read %v, %v; %.0f reads a second; %.0f packets a second, a router, with 8 clients ordering\n",
			on, c.Orders.P50.Round(10*time.Microsecond), c.Orders.P99.Round(10*time.Microsecond), c.Reads.P50.Round(10*time.Microsecond), c.Reads.P99.Round(10*time.Microsecond), c.ReadsASecond, c.Packets)
	}
	o, err := NewFailoverCluster(bin, routers, true, "", seed)
	if err != nil {
		return err
	}
	defer o.Close()
	time.Sleep(4 * time.Second) // all are up for longer than any client waits
	rows, err := o.RunFailoverFaults(each, 24, nil)
	if err != nil {
		return err
	}
	row, err := o.RunKills(kills, 600*time.Millisecond, 24)
	if err != nil {
		return err
	}
	writeFailoverTable(append(rows, row), to)
	return nil
}

// WriteOutlive writes rows as a table.
func writeFailoverTable(rows []FailoverResult, to io.Writer) {
	head := []string{"fault", "orders", "served", "refused", "may have run", "other", "run twice", "contradictions", "reads served", "losses",
		"open reads answered", "open orders not sent: answered", "open orders sent: answered"}
	_, _ = fmt.Fprintf(to, "| %s |\n|%s\n", strings.Join(head, " | "), strings.Repeat("---|", len(head)))
	for _, r := range rows {
		_, _ = fmt.Fprintf(to, "| %s | %d | %d | %d | %d | %d | %d | %d | %d of %d | %d | %d of %d | %d of %d (%d may have run) | %d of %d |\n", r.Fault, r.Orders, r.Served, r.Rejected,
			r.MayHaveRun, r.OtherErrors, r.RunTwice, r.Contradictions, r.ReadsServed, r.Reads, r.Kills, r.ReadsInFlightServed, r.ReadsInFlight, r.UnsentInFlightResolved, r.UnsentInFlight, r.UnsentMayHaveRun, r.SentInFlightServed, r.SentInFlight)
	}
}

// Roll restarts one router after the other on SIGTERM under load, without talk, and counts what its clients got. With
// alone, the journal service is down meanwhile.
//
// Beside the library's clients, which leave a router that says that it ends, others go on sending down each open connection,
// many requests at a time: what these got is in the second value.
func RollingRestart(bin string, routers int, alone bool, seed uint64) (FailoverResult, PipelinedResult, error) {
	var p PipelinedResult
	o, err := NewFailoverCluster(bin, routers, false, "", seed)
	if err != nil {
		return FailoverResult{}, p, err
	}
	defer o.Close()
	for i, r := range o.Routers {
		o.loads = append(o.loads, NewLoad(r.ListenAddress, 100, seed+uint64(i)))
	}
	if alone {
		o.journal.Close()
	}
	row, err := o.runUnderLoad("rolling restart", 16, func(func(...int)) error { return o.roll() })
	for _, l := range o.loads {
		l.Stop()
		p.Sent, p.Answered, p.Disconnected = p.Sent+l.Sent, p.Answered+l.Served+l.Rejected+l.Failed, p.Disconnected+l.Disconnected
		p.Unanswered, p.AnsweredTwice = p.Unanswered+l.Unanswered, p.AnsweredTwice+l.AnsweredTwice
	}
	o.loads = nil
	return row, p, err
}

// Pipelined is what became of requests that were sent down connections until these closed.
type PipelinedResult struct {
	Sent, Answered            int
	Disconnected              int // open on a connection as it closed
	Unanswered, AnsweredTwice int // without an answer on one that stayed; with two
}
