package loadtest

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"hillknot/internal/testutil/fakes"
	"hillknot/internal/testutil/faultnet"
)

// What the fleet of Together shares: so little that its load asks for more all the time.
const (
	coldRate, coldBurst   = 5.0, 14.0
	retryRate, retryBurst = 14.0, 14.0
	clockDrift            = 0.02
	loadRate              = 25.0 // requests a second for each router
	brokenShare           = 0.2  // of what the page caches are asked: it fails, and may have run
)

// Row is what one fault did to what is shared.
type BudgetResult struct {
	Fault                     string
	SlowStart, Retries        Peak
	Sent, Answered            int     // requests, and those with one final answer
	Disconnected              int     // on connections that a kill ended
	Unanswered, AnsweredTwice int     // without an answer; with two
	OrdersRunTwice            int     // orders that ran more than once
	PacketRate                float64 // that a router sent others, a second
}

// Peak is the highest use of a budget in any window, as a share of what the bound allows there, with the counts.
type Peak struct {
	Utilization float64
	Count       int
	Bound       float64
	Window      time.Duration
	Attempts    int // in all
}

// Broken tells whether a row breaks a bound or a rule.
func (r BudgetResult) Broken() bool {
	return r.SlowStart.Utilization > 1 || r.Retries.Utilization > 1 || r.Unanswered+r.AnsweredTwice+r.OrdersRunTwice > 0
}

// ledger is what the stand-in page caches saw.
type ledger struct {
	mu      sync.Mutex
	cold    []time.Time
	again   []time.Time     // attempts that follow one that may have run
	ran     map[string]bool // by txn: an attempt was answered BROKE
	runs    map[string]int  // orders
	spare   int             // places from here on are of new caches
	now     int             // the one that is new in this fault
	started time.Time       // when that started: it is cold for coldFor
	sick    int             // the one that fails; -1: none
	tries   []time.Time     // at that one
	draw    func() float64
}

func (l *ledger) answer(place int, a fakes.Request) fakes.Reply {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := time.Now()
	if place == l.spare+l.now && at.Sub(l.started) < coldFor {
		l.cold = append(l.cold, at)
	}
	if a.Fields["kind"] == "new-arrange" {
		l.runs[a.Fields["obj"]]++
	}
	if l.ran[a.ID] {
		l.again = append(l.again, at)
	}
	if place == l.sick {
		l.tries = append(l.tries, at)
	}
	if place == l.sick || l.draw() < brokenShare && l.sick < 0 {
		l.ran[a.ID] = true
		return fakes.Reply{Status: "BROKE"}
	}
	return fakes.Reply{Status: "DONE", Body: make([]byte, 1<<10), Delay: 10 * time.Millisecond,
		Fields: fmt.Sprintf("res=cached,version=1,stamp=%d", at.UnixMilli())}
}

// peak holds times against a budget in windows of three lengths. What was sent in a window may come in one that is
// shorter by a little: the page caches see it later than the routers.
func peak(times []time.Time, rate, burst float64) (p Peak) {
	slices.SortFunc(times, time.Time.Compare)
	p.Attempts = len(times)
	for _, w := range []time.Duration{250 * time.Millisecond, time.Second, 4 * time.Second} {
		bound := burst + rate*(w+50*time.Millisecond).Seconds()*(1+clockDrift)
		for i, j := 0, 0; i < len(times); i++ {
			for times[i].Sub(times[j]) >= w {
				j++
			}
			if share := float64(i-j+1) / bound; share > p.Utilization {
				p.Utilization, p.Count, p.Bound, p.Window = share, i-j+1, bound, w
			}
		}
	}
	return p
}

// Talkers is a fleet whose routers talk over a network that goes wrong.
type Cluster struct {
	*Fleet
	Network *faultnet.Network
	led     *ledger
	keys    string
	loads   []*Load
	seed    uint64

	rangeIndex byte // of the proxies' addresses; other clusters of the process have other ranges
}

// clusters counts the clusters of this process: each has a range of addresses of its own.
var clusters atomic.Uint32

// proxyAddr is the address at which the network that goes wrong stands for a router.
func (t *Cluster) proxyAddr(router int) netip.AddrPort {
	pid := os.Getpid()
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 63 - t.rangeIndex, byte(pid>>8&63 + 1), byte(1 + router)}), uint16(20000+pid%20000))
}

// newTalkers makes the network and the keys of a fleet.
func newTalkers(seed uint64) (*Cluster, error) {
	dir, err := os.MkdirTemp("", "hillknot-keys-")
	if err != nil {
		return nil, err
	}
	t := &Cluster{Network: faultnet.New(seed), seed: seed, keys: filepath.Join(dir, "keys"), rangeIndex: byte(clusters.Add(1) % 32)}
	if err := t.WriteKeys(newKey()); err != nil {
		t.Close()
		return nil, err
	}
	return t, nil
}

// NewTalkers starts so many routers that share what they may spend, or, without talk, as many that share nothing. Spare
// is how many new page caches can be started.
func NewTalkers(bin string, routers, spare int, talk bool, seed uint64) (_ *Cluster, err error) {
	t, err := newTalkers(seed)
	if err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			t.Close()
		}
	}()
	state := seed
	t.led = &ledger{ran: map[string]bool{}, runs: map[string]int{}, spare: 5, now: math.MinInt32, sick: -1, draw: func() float64 {
		state = state*6364136223846793005 + 1442695040888963407
		return float64(state>>11) / (1 << 53)
	}}
	set := Setup{Routers: routers, RetryAfter: true, Caches: 4, SpareCaches: spare, KnownRouters: routers, OverloadFactor: 1000, Answer: t.led.answer}
	shares := ""
	if talk {
		shares = fmt.Sprintf("  cold {\n    rate  = %g\n    burst = %g\n  }\n  retries {\n    rate  = %g\n    burst = %g\n  }\n",
			coldRate, max(coldBurst, 2*float64(routers)), retryRate, max(retryBurst, 2*float64(routers)))
	}
	if err := t.start(bin, set, func(int) string { return shares }); err != nil || !talk {
		return t, err
	}
	time.Sleep(3 * time.Second) // no loan of before can run
	return t, t.met()
}

// start starts the fleet, whose routers talk where there is something to put into the block fleet of their operator's file.
func (t *Cluster) start(bin string, set Setup, blocks func(i int) string) (err error) {
	set.Operator = func(i int, ip string) string {
		var peers []string
		for o := range set.Routers {
			if o != i {
				peers = append(peers, fmt.Sprintf("%q", t.proxyAddr(o)))
			}
		}
		to := netip.AddrPortFrom(netip.MustParseAddr(ip), 7946)
		if err := t.Network.AddProcess(t.proxyAddr(i), to); err != nil {
			return "# " + err.Error() // without a door it talks to nobody, which the checks find
		}
		text := fmt.Sprintf("ops = \"%s:7055\"\n", ip)
		block := blocks(i)
		if block == "" {
			return text
		}
		return text + fmt.Sprintf("fleet {\n  listen    = %q\n  advertise = %q\n  peers     = [%s]\n  key_file  = %q\n  size      = %d\n%s}\n",
			to, t.proxyAddr(i), strings.Join(peers, ", "), t.keys, set.Routers, block)
	}
	t.Fleet, err = StartFleet(bin, set)
	return err
}

// met waits until every router sees every other: where they share nothing, no bound on what they share says anything.
func (t *Cluster) met() error {
	want := fmt.Sprintf("app_fleet_others %d\n", len(t.Routers)-1)
	if err := t.all(func(figures string) bool { return strings.Contains(figures, want) }); err != nil {
		return fmt.Errorf("not all have met: %w", err)
	}
	return nil
}

// figures are those that a router shows its operators; empty where it does not answer.
func (r *Router) figures() string {
	resp, err := (&http.Client{Timeout: time.Second}).Get("http://" + r.Address + ":7055/status/metrics")
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	if err != nil {
		return ""
	}
	return string(b)
}

func newKey() string {
	b := make([]byte, 32)
	_, _ = rand.Read(b) // it never fails
	return hex.EncodeToString(b)
}

// SetKeys writes the file of keys, as a whole.
func (t *Cluster) WriteKeys(keys ...string) error {
	if err := os.WriteFile(t.keys+".new", []byte(strings.Join(keys, "\n")+"\n"), 0o600); err != nil {
		return err
	}
	return os.Rename(t.keys+".new", t.keys)
}

// Close ends all.
func (t *Cluster) Close() {
	for _, l := range t.loads {
		l.Stop()
	}
	if t.Fleet != nil {
		t.Fleet.Close()
	}
	t.Network.Close()
	_ = os.RemoveAll(filepath.Dir(t.keys)) // in the folder for what is temporary
}

// Fault runs one fault over its time under load, with a page cache that has just started, and counts what it did. The
// load of one router is double: it wants more than its part.
func (t *Cluster) Fault(name string, new int, over time.Duration, do func() error) (BudgetResult, error) {
	t.led.mu.Lock()
	t.led.cold, t.led.again, t.led.now, t.led.started = nil, nil, new, time.Now()
	t.led.mu.Unlock()
	packets, began := t.Network.PacketsForwarded.Load()+t.Network.PacketsDropped.Load(), time.Now()
	for i, r := range t.Routers {
		rate := loadRate
		if i == 0 {
			rate *= 2
		}
		t.loads = append(t.loads, NewLoad(r.ListenAddress, rate, t.seed+uint64(new*100+i)))
	}
	t.Publish(`"hosts":{"generation":1,"reset":false,"instances":[{"instanceId":"s-new-%d","lifecycle":"gone"}]}`, new-1)
	t.StartSpare(new, fmt.Sprintf("s-new-%d", new))
	time.Sleep(over / 4)
	if err := do(); err != nil {
		return BudgetResult{}, fmt.Errorf("%s: %w", name, err)
	}
	time.Sleep(over / 4 * 3)
	row := BudgetResult{Fault: name}
	for _, l := range t.loads {
		l.Stop()
		row.Sent += l.Sent
		row.Answered += l.Served + l.Rejected + l.Failed
		row.Disconnected, row.Unanswered, row.AnsweredTwice = row.Disconnected+l.Disconnected, row.Unanswered+l.Unanswered, row.AnsweredTwice+l.AnsweredTwice
	}
	t.loads = nil
	t.led.mu.Lock()
	defer t.led.mu.Unlock()
	n := float64(len(t.Routers))
	row.SlowStart = peak(t.led.cold, coldRate, max(coldBurst, 2*n))
	row.Retries = peak(t.led.again, retryRate, max(retryBurst, 2*n))
	row.PacketRate = float64(t.Network.PacketsForwarded.Load()+t.Network.PacketsDropped.Load()-packets) / time.Since(began).Seconds() / n
	for _, ran := range t.led.runs {
		if ran > 1 {
			row.OrdersRunTwice++
		}
	}
	return row, nil
}

// rotate gives the fleet a new key while it runs: all learn it, all use it, all forget the old one.
func (t *Cluster) rotate() error {
	old, err := os.ReadFile(t.keys)
	if err != nil {
		return err
	}
	was, next := string(bytes.TrimSpace(old)), newKey()
	for _, keys := range [][]string{{was, next}, {next, was}, {next}} {
		if err := t.WriteKeys(keys...); err != nil {
			return err
		}
		for _, r := range t.Routers {
			r.Signal(syscall.SIGHUP)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return nil
}

// follow carries out a schedule.
func (t *Cluster) follow(steps []faultnet.Step) error {
	for _, s := range steps {
		time.Sleep(s.Delay)
		t.Network.Apply(s)
		for _, i := range s.Targets {
			switch r := t.Routers[i]; s.Fault {
			case faultnet.Killed:
				r.Kill()
				if err := r.Start(); err != nil {
					return err
				}
			case faultnet.Paused:
				r.Signal(syscall.SIGSTOP)
				time.Sleep(time.Second)
				r.Signal(syscall.SIGCONT)
			}
		}
	}
	return nil
}

// Together runs a fleet through all faults, for so long each, and writes the table.
func MeasureBudgets(bin string, routers int, each time.Duration, seed uint64, to io.Writer) error {
	rows, err := BudgetFaults(bin, routers, each, seed, nil)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(to, "| fault | attempts at the new page cache, most in a window | of the bound | repeats, most in a window | of the bound | requests | answered once | cut by a kill | lost | orders twice | packets a second, a router |\n|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, r := range rows {
		_, _ = fmt.Fprintf(to, "| %s | %d in %v (bound %.1f) | %.2f | %d in %v (bound %.1f) | %.2f | %d | %d | %d | %d | %d | %.0f |\n", r.Fault, r.SlowStart.Count, r.SlowStart.Window,
			r.SlowStart.Bound, r.SlowStart.Utilization, r.Retries.Count, r.Retries.Window, r.Retries.Bound, r.Retries.Utilization, r.Sent, r.Answered, r.Disconnected, r.Unanswered+r.AnsweredTwice, r.OrdersRunTwice, r.PacketRate)
	}
	for _, talk := range []bool{false, true} {
		n, err := CountOutlierAttempts(bin, routers, each, talk, seed)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(to, "\nAttempts at a page cache that fails all, in %v, %d routers, talk %v: %d\n", each, routers, talk, n)
	}
	return nil
}

// Faults runs the faults that are named, or all.
func BudgetFaults(bin string, routers int, each time.Duration, seed uint64, only []string) (rows []BudgetResult, err error) {
	faults := []struct {
		name string
		met  bool // all see all in the end
		do   func(t *Cluster) error
	}{
		{"none", true, func(*Cluster) error { return nil }},
		{"two cut off from the rest", false, func(t *Cluster) error { t.Network.Partition([]int{0, 1}); return nil }},
		{"heal", true, func(t *Cluster) error { t.Network.Heal(); return nil }},
		{"one isolated", false, func(t *Cluster) error { t.Network.Partition([]int{0}); return nil }},
		{"one hears, is not heard", false, func(t *Cluster) error {
			t.Network.Heal()
			var all []int
			for i := range t.Routers {
				all = append(all, i)
			}
			t.Network.Block([]int{0}, all)
			return nil
		}},
		{"a third of the packets lost, others late", false, func(t *Cluster) error {
			t.Network.Heal()
			t.Network.Impair(0.33, 300*time.Millisecond)
			return nil
		}},
		{"kill and restart", true, func(t *Cluster) error {
			t.Network.Heal()
			for _, i := range []int{0, 1} {
				t.Routers[i].Kill()
				if err := t.Routers[i].Start(); err != nil {
					return err
				}
			}
			return nil
		}},
		{"pause (SIGSTOP)", true, func(t *Cluster) error {
			t.Routers[1].Signal(syscall.SIGSTOP)
			time.Sleep(each / 3)
			t.Routers[1].Signal(syscall.SIGCONT)
			return nil
		}},
		{"keys rotated", true, (*Cluster).rotate},
		{"drawn from the seed", true, func(t *Cluster) error { return t.follow(faultnet.Schedule(seed, routers, 2*each, each/8)) }},
	}
	t, err := NewTalkers(bin, routers, len(faults), true, seed)
	if err != nil {
		return nil, err
	}
	defer t.Close()
	for i, f := range faults {
		if only != nil && !slices.Contains(only, f.name) {
			continue
		}
		row, err := t.Fault(f.name, i, each, func() error { return f.do(t) })
		if err != nil {
			return nil, err
		}
		if f.met {
			if err := t.met(); err != nil {
				return nil, fmt.Errorf("after %s: %w", f.name, err)
			}
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// Agree has a page cache fail everything until every router holds it to be sick, and then answer everything until none
// does, and all have the same counts of its errors. An error says what was not agreed on in time.
func CheckOutlierAgreement(bin string, routers int, seed uint64) error {
	t, err := NewTalkers(bin, routers, 0, true, seed)
	if err != nil {
		return err
	}
	defer t.Close()
	const verdict = "app_fleet_sick{cache=\"s-1\"} 1\n"
	for i, r := range t.Routers {
		t.loads = append(t.loads, NewLoad(r.ListenAddress, loadRate, seed+uint64(i)))
	}
	for _, sick := range []bool{true, false} {
		t.led.mu.Lock()
		t.led.sick, t.led.draw = -1, func() float64 { return 1 }
		if sick {
			t.led.sick = 0
		}
		t.led.mu.Unlock()
		if err := t.all(func(figures string) bool { return strings.Contains(figures, verdict) == sick && figures != "" }); err != nil {
			return fmt.Errorf("a page cache that is sick: %v: %w", sick, err)
		}
	}
	for _, l := range t.loads {
		l.Stop()
	}
	t.loads = nil
	counted := regexp.MustCompile(`app_fleet_count\{of="errors s-1"\} (\d+)`)
	t.led.mu.Lock()
	failed := len(t.led.tries)
	t.led.mu.Unlock()
	return t.all(func(figures string) bool {
		m := counted.FindStringSubmatch(figures)
		return m != nil && m[1] == fmt.Sprint(failed)
	})
}

// all waits until what every router shows is as it should be.
func (t *Cluster) all(good func(figures string) bool) error {
	for _, r := range t.Routers {
		figures := r.figures()
		for end := time.Now().Add(20 * time.Second); !good(figures); figures = r.figures() {
			if time.Now().After(end) {
				return fmt.Errorf("router %s shows %s", r.ListenAddress, figures)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// Sick counts how often a page cache that fails everything is tried, with talk and without.
func CountOutlierAttempts(bin string, routers int, over time.Duration, talk bool, seed uint64) (int, error) {
	t, err := NewTalkers(bin, routers, 0, talk, seed)
	if err != nil {
		return 0, err
	}
	defer t.Close()
	t.led.mu.Lock()
	t.led.sick = 0
	t.led.mu.Unlock()
	for i, r := range t.Routers {
		t.loads = append(t.loads, NewLoad(r.ListenAddress, loadRate, seed+uint64(i)))
	}
	time.Sleep(over)
	t.led.mu.Lock()
	defer t.led.mu.Unlock()
	return len(t.led.tries), nil
}
