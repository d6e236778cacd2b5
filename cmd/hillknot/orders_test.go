package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"hillknot/client"
	"hillknot/client/policy"
	"hillknot/internal/testutil/fakes"
	"hillknot/loadtest"
)

const ordersConf = `{"listen":%q,"journal":%q,"known":{"pos":7,"entries":[{"pos":7,"hosts":{"reset":true,"instances":[
	{"instanceId":"s-1","hostPort":%q,"zone":"e","machineType":"small","lifecycle":"ready","weight":1},
	{"instanceId":"s-2","hostPort":"127.0.0.1:9","zone":"hub","machineType":"origin","lifecycle":"ready","weight":1}]}}]},
	"settings":{"dcs":["hub","e"],"locality":"e","hostTypes":["small","parent","origin"],"allowed":{"cancel":true,"maxAttempts":6,
	"retryAfter":true,"maxRetryAfterUs":100000},"profiles":[{"name":"part-page","repeat":"safe","deadlineUs":3000000},
	{"name":"new-arrange","repeat":"unsafe","deadlineUs":3000000}],"specifics":{"instancesByZone":[0,1],"midKind":1,"storeKind":2,"classWrite":[false,true]}}}`

// startRouter runs a router on a listener of its own until the test ends, with the configuration's text for a listener,
// a journal and a page cache.
func startRouter(t *testing.T, text, cache string) (clients net.Listener, ops net.Addr) {
	t.Helper()
	news, err := fakes.NewDiscovery(nowhere, 8)
	if err != nil {
		t.Fatal(err)
	}
	clients = feed(t)
	inherit(t, clients)
	t.Setenv("TMPDIR", t.TempDir())
	t.Setenv("RELAY_OPS", nowhere)
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, fmt.Appendf(nil, text, clients.Addr(), news.Addr(), cache), 0o600); err != nil {
		t.Fatal(err)
	}
	signals, ended, up := make(chan os.Signal, 1), make(chan error, 1), make(chan net.Addr, 1)
	go func() {
		ended <- runRouter(routerOptions{configPath: path, getenv: os.Getenv, signals: signals, onServing: func(ops net.Addr) { up <- ops }})
	}()
	select {
	case ops = <-up:
	case err := <-ended:
		t.Fatal(err)
	}
	t.Cleanup(func() {
		signals <- syscall.SIGTERM
		if err := <-ended; err != nil {
			t.Error(err)
		}
		news.Close()
	})
	return clients, ops
}

// book counts the orders that ran, by object.
type book struct {
	mu  sync.Mutex
	ran map[string]int
}

func (b *book) add(item string) {
	b.mu.Lock()
	b.ran[item]++
	b.mu.Unlock()
}

// An order runs once at most, whatever becomes of its answer, and the client knows whether it may have run. The
// connection is cut at every byte of the request and of the answer, falls silent there, the page cache breaks off,
// fails, refuses or is late, and the caller goes away in the middle.
func TestOrdersRunOnce(t *testing.T) {
	for class, text := range map[string]string{"new-arrange": ordersConf, "play-count": episodes.Replace(ordersConf)} {
		t.Run(class, func(t *testing.T) { runOnce(t, class, text) })
	}
}

// episodes makes the second deployment's shape of the first one's.
var episodes = strings.NewReplacer("new-arrange", "play-count", "part-page", "show-asset", `"maxAttempts":6`, `"maxAttempts":8`,
	`"deadlineUs":3000000`, `"deadlineUs":2520000`, `"zone":"e"`, `"zone":"w"`, `"dcs":["hub","e"],"locality":"e"`,
	`"dcs":["n","s","w"],"locality":"w"`, `"instancesByZone":[0,1]`, `"instancesByZone":[1,1,1]`, `"zone":"hub"`, `"zone":"n"`)

func runOnce(t *testing.T, class, text string) {
	b := &book{ran: map[string]int{}}
	cache, err := fakes.NewCache(nowhere, func(a fakes.Request) fakes.Reply {
		switch string(a.Body) {
		case "refuse":
			return fakes.Reply{Status: "WAIT"}
		case "lack":
			return fakes.Reply{Status: "LACK"}
		}
		b.add(a.Fields["obj"])
		switch string(a.Body) {
		case "fail":
			return fakes.Reply{Status: "BROKE"}
		case "break":
			return fakes.Reply{Disconnect: true}
		case "silence":
			return fakes.Reply{}
		case "late":
			return fakes.Reply{Status: "DONE", Body: []byte("done"), Delay: 160 * time.Millisecond}
		}
		return fakes.Reply{Status: "DONE", Body: []byte("done"), Delay: time.Duration(len(a.Body)%3) * time.Millisecond}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer cache.Close()
	clients, _ := startRouter(t, text, cache.Addr())
	var all sync.WaitGroup
	var mu sync.Mutex
	ends := map[string]int{}
	places := make(chan struct{}, 64)
	for i := range 1200 {
		places <- struct{}{}
		all.Go(func() {
			defer func() { <-places }()
			end := order(t, b, class, clients.Addr().String(), i)
			mu.Lock()
			ends[end]++
			mu.Unlock()
		})
	}
	all.Wait()
	t.Logf("%v", ends)
	for _, want := range []string{"served", "refused", "may have run", "failed"} {
		if ends[want] == 0 {
			t.Errorf("no order ended as %s: %v", want, ends)
		}
	}
}

// order sends the order of a numbered case, checks it, and returns how it ended.
func order(t *testing.T, b *book, class, addr string, i int) string {
	rnd := rand.New(rand.NewPCG(uint64(i), 1))
	flaw, body := fakes.ConnFault{ReadLimit: -1, WriteLimit: -1, Stall: i%2 == 0}, "well"
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	switch i / 2 % 4 {
	case 0:
		flaw.ReadLimit = 7 + i/8%16 // health's answer has 7 bytes
	case 1:
		flaw.WriteLimit = 12 + i/8%130 // and its call has 12
	case 2:
		body = []string{"refuse", "lack", "fail", "break", "silence", "late"}[i/8%6]
	case 3:
		time.AfterFunc(time.Duration(rnd.IntN(5000))*time.Microsecond, cancel)
	}
	set := policy.Defaults()
	set.Seed = uint64(i)
	c, err := client.New(client.Config{Routers: []string{addr}, Classes: map[string]client.Class{class: {Limit: 2 * time.Second}}, Policy: &set, Dial: func(ctx context.Context, addr string) (net.Conn, error) {
		nc, err := new(net.Dialer).DialContext(ctx, "tcp", addr)
		if err != nil {
			return nil, err
		}
		return fakes.NewFaultyConn(nc, flaw), nil
	}})
	if err != nil {
		t.Error(err)
		return ""
	}
	item := rnd.Uint64()
	_, err = c.Do(ctx, client.Request{Class: class, Item: item, Body: []byte(body), Limit: 150 * time.Millisecond})
	wait, done := context.WithTimeout(context.Background(), 20*time.Second)
	defer done()
	if err := c.Close(wait); err != nil {
		t.Error(err)
	}
	time.Sleep(100 * time.Millisecond) // what was on its way to the page cache has come
	b.mu.Lock()
	ran := b.ran[fmt.Sprintf("%016x", item)]
	b.mu.Unlock()
	end := outcomeOf(err).word
	switch may := errors.Is(err, client.ErrMayHaveRun); {
	case ran > 1:
		t.Errorf("case %d ran %d times", i, ran)
	case err == nil && ran != 1, err != nil && !may && ran != 0:
		t.Errorf("case %d ran %d times, but the client was told %v", i, ran, err)
	}
	return end
}

// TestMain lets the test's own program be the router, as a process that can be killed.
func TestMain(m *testing.M) {
	if os.Getenv(asRouter) != "" {
		main()
	}
	if err := os.Setenv(asRouter, "1"); err != nil { // for every process that a test starts
		panic(err)
	}
	os.Exit(m.Run())
}

const asRouter = "HILLKNOT_TEST_AS_ROUTER"

// program is the test's own program, which is the router where it is started from this test.
func program(t *testing.T) string {
	t.Helper()
	bin, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return bin
}

// inParallel runs a test beside others that play with router processes of their own. It gives the load that the test
// drives all processors: a router within the test's process, as earlier tests have, leaves it with one.
func inParallel(t *testing.T) {
	t.Helper()
	t.Parallel()
	runtime.GOMAXPROCS(runtime.NumCPU())
}

// Orders run once at most, too, where the router's process is killed under them.
func TestOrdersWithRoutersKilled(t *testing.T) {
	inParallel(t)
	o, err := loadtest.OrdersWithRouterKills(program(t), 200*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	if o.Sent < 300 || o.RunTwice+o.ServedNotRun+o.DeniedButRun > 0 || o.Served < o.Sent/4 {
		t.Errorf("%+v", o)
	}
}

// A process that got no time for a while finds a purge and requests waiting together. Nothing it then sends may be
// answered from a copy of before the purge, not even what it had decided on before.
func TestPurgeAfterAStop(t *testing.T) {
	p, err := loadtest.PurgeDuringStop(program(t), 8)
	if err != nil {
		t.Fatal(err)
	}
	if p.Requests < p.Rounds || p.Stale > 0 {
		t.Errorf("%+v", p)
	}
}

// Routers that share budgets spend no more than these together, lose no request and run no order twice, while some are
// cut off, cut one way, killed and stopped.
func TestFleetUnderFaults(t *testing.T) {
	inParallel(t)
	rows, err := loadtest.BudgetFaults(program(t), 5, 3*time.Second, 1, []string{"two cut off from the rest", "one hears, is not heard", "kill and restart", "pause (SIGSTOP)", "keys rotated", "drawn from the seed"})
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range rows {
		if r.Broken() || r.Sent < 300 || r.SlowStart.Attempts+r.Retries.Attempts == 0 {
			t.Errorf("%+v", r)
		}
	}
}

// Routers agree that a page cache is sick, that it is well again, and how often it failed.
func TestFleetAgrees(t *testing.T) {
	inParallel(t)
	if err := loadtest.CheckOutlierAgreement(program(t), 5, 1); err != nil {
		t.Error(err)
	}
}
