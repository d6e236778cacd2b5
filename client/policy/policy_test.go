package policy

import (
	"flag"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "hillknot/internal/testutil/parsertest" // sets rapid's seed
)

const ms = time.Millisecond

// world plays routers and the network to a policy, in virtual time, and checks each action.
type world struct {
	t        rapid.TB
	p        *Policy
	settings Settings
	now      time.Duration
	later    []event
	routers  []*peer
	conns    map[*Conn]*link
	dialed   []*Conn // in order
	sends    map[*Call]int
	ran      map[*Call]int // tries that may have run
	ends     map[*Call]Outcome
	ended    map[*Call]time.Duration
	trace    []string
}

type event struct {
	at time.Duration
	do func()
}

// peer is a router as the world has it.
type peer struct {
	down, silent, drained bool
	answer                func() (after time.Duration, res Result, wait time.Duration)
	got, came             []time.Duration // calls, connections that came up
	away                  time.Duration
}

type link struct {
	peer *peer
	up   bool
	out  []*Call
}

func newWorld(t rapid.TB, routers int, change func(*Settings)) *world {
	w := &world{t: t, settings: Defaults(), now: time.Second, conns: map[*Conn]*link{}, sends: map[*Call]int{},
		ran: map[*Call]int{}, ends: map[*Call]Outcome{},
		ended: map[*Call]time.Duration{}}
	w.settings.Seed = 7
	if change != nil {
		change(&w.settings)
	}
	if err := w.settings.Check(); err != nil {
		t.Fatal(err)
	}
	for range routers {
		w.routers = append(w.routers, &peer{answer: served(10 * ms)})
	}
	w.p = New(w.settings, routers, 2)
	return w
}

func served(after time.Duration) func() (time.Duration, Result, time.Duration) {
	return func() (time.Duration, Result, time.Duration) { return after, ResultServed, 0 }
}

func refused(wait time.Duration) func() (time.Duration, Result, time.Duration) {
	return func() (time.Duration, Result, time.Duration) { return ms, ResultRejected, wait }
}

func (w *world) after(d time.Duration, do func()) { w.later = append(w.later, event{w.now + d, do}) }

// call begins a call and carries out what comes of it.
func (w *world) call(safe bool, limit time.Duration) *Call {
	c := w.p.StartCall(w.now, CallSpec{Idempotent: safe, Deadline: w.now + limit})
	w.act()
	return c
}

// run lets time pass.
func (w *world) run(d time.Duration) {
	for until := w.now + d; ; {
		first := -1
		for i, e := range w.later {
			if first < 0 || e.at < w.later[first].at {
				first = i
			}
		}
		at, timer := w.p.NextTick()
		switch {
		case first >= 0 && w.later[first].at <= until && (!timer || w.later[first].at <= at):
			e := w.later[first]
			w.later = slices.Delete(w.later, first, first+1)
			w.now = max(w.now, e.at)
			e.do()
		case timer && at <= until:
			w.now = max(w.now, at)
			w.p.Tick(w.now)
		default:
			w.now = until
			return
		}
		w.act()
	}
}

func (w *world) act() {
	for acts := slices.Clone(w.p.Actions()); len(acts) > 0; acts = slices.Clone(w.p.Actions()) {
		for _, a := range acts {
			w.trace = append(w.trace, fmt.Sprint(w.now, a.Kind, a.Router, a.Retry, a.Outcome))
			w.carry(a)
		}
	}
}

func (w *world) carry(a Action) {
	l := w.conns[a.Conn]
	switch a.Kind {
	case ActionDial:
		l = &link{peer: w.routers[a.Router]}
		w.conns[a.Conn] = l
		w.dialed = append(w.dialed, a.Conn)
		w.after(ms, func() {
			if l.up = !l.peer.down; l.up {
				l.peer.came = append(l.peer.came, w.now)
				w.p.Connected(w.now, a.Conn)
			} else {
				w.p.DialFailed(w.now, a.Conn)
			}
		})
	case ActionCheckHealth:
		w.after(ms, func() {
			if l.up && !l.peer.silent {
				w.p.HealthReceived(w.now, a.Conn, !l.peer.drained)
			}
		})
	case ActionSend:
		w.send(a, l)
	case ActionCancel:
		l.out = slices.DeleteFunc(l.out, func(c *Call) bool { return c == a.Call })
	case ActionClose:
		w.cut(a.Conn, false)
	case ActionFinish:
		if _, twice := w.ends[a.Call]; twice {
			w.t.Fatalf("a call ended twice, as %+v", a.Outcome)
		}
		if w.now > a.Call.deadline {
			w.t.Fatalf("a call ended %v too late", w.now-a.Call.deadline)
		}
		w.ends[a.Call], w.ended[a.Call] = a.Outcome, w.now
	}
}

func (w *world) send(a Action, l *link) {
	limit, ok := w.p.PrepareWrite(w.now, a.Call, 100)
	if !ok {
		return
	}
	_, over := w.ends[a.Call]
	switch {
	case !l.up || len(l.out) >= w.settings.OpenPerConn:
		w.t.Fatalf("a call goes out on a connection that is up: %v, and has %d open", l.up, len(l.out))
	case over || limit > a.Call.deadline-w.now || limit <= 0:
		w.t.Fatalf("a call goes out, over: %v, with limit %v of %v", over, limit, a.Call.deadline-w.now)
	case l.peer.away > w.now:
		w.t.Fatalf("a call goes out %v before it may", l.peer.away-w.now)
	case !a.Call.idempotent && w.ran[a.Call] > 0:
		w.t.Fatalf("an unsafe call goes out again that may have run")
	case a.Retry != (w.sends[a.Call] > 0):
		w.t.Fatalf("try %d marked as retry: %v", w.sends[a.Call]+1, a.Retry)
	}
	w.sends[a.Call]++
	w.ran[a.Call]++
	l.out = append(l.out, a.Call)
	l.peer.got = append(l.peer.got, w.now)
	if l.peer.silent {
		return
	}
	after, res, wait := l.peer.answer()
	w.after(after, func() {
		if i := slices.Index(l.out, a.Call); i >= 0 && l.up && !l.peer.silent {
			l.out = slices.Delete(l.out, i, i+1)
			if res == ResultRejected || res == ResultInvalid {
				w.ran[a.Call]--
			}
			if res == ResultRejected {
				l.peer.away = max(l.peer.away, w.now+wait)
			}
			w.p.ResponseReceived(w.now, a.Call, res, wait)
		}
	})
}

// cut ends a connection with all that is out on it, surely unsent or not.
func (w *world) cut(n *Conn, sure bool) {
	l := w.conns[n]
	if l.up = false; sure {
		for _, c := range l.out {
			w.sends[c]--
			w.ran[c]--
		}
		w.p.ConnectionClosed(w.now, n, l.out, nil)
	} else {
		w.p.ConnectionClosed(w.now, n, nil, l.out)
	}
	l.out = nil
}

// breakAll ends all connections to a router.
func (w *world) breakAll(r *peer, sure bool) {
	for _, n := range w.dialed {
		if l := w.conns[n]; l.peer == r && l.up {
			w.cut(n, sure)
			w.act()
		}
	}
}

// load begins calls at even intervals, and returns them.
func (w *world) load(every, d time.Duration) (calls []*Call) {
	for until := w.now + d; w.now < until; w.run(every) {
		calls = append(calls, w.call(true, 3*time.Second))
	}
	return calls
}

func (w *world) share(calls []*Call, v Verdict) float64 {
	n := 0
	for _, c := range calls {
		if e, ok := w.ends[c]; ok && e.Verdict == v {
			n++
		}
	}
	return float64(n) / float64(len(calls))
}

// Whatever happens, each call ends once and in time, no unsafe one is sent again once it may have run, and nothing is
// left behind. The same events have the same actions.
func TestAnything(t *testing.T) {
	if err := flag.Set("rapid.checks", "1000"); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		var traces [2][]string
		seed := rapid.Uint64().Draw(t, "seed")
		script := rapid.SliceOfN(rapid.Uint64(), 20, 200).Draw(t, "script")
		routers := rapid.IntRange(1, 4).Draw(t, "routers")
		for i := range traces {
			w := newWorld(t, routers, func(s *Settings) { s.Seed, s.Waiting, s.OpenPerConn = seed, 20, 3 })
			w.anything(script)
			traces[i] = w.trace
		}
		if !slices.Equal(traces[0], traces[1]) {
			t.Fatal("the same events had other actions")
		}
	})
}

func (w *world) anything(script []uint64) {
	var calls []*Call
	firsts := uint64(0)
	for _, n := range script {
		r := w.routers[n>>8%uint64(len(w.routers))]
		span := time.Duration(n>>16%400) * ms
		switch n % 12 {
		case 0, 1, 2, 3, 4:
			calls = append(calls, w.call(n>>12%3 > 0, span*8+1))
			firsts++
		case 5:
			w.breakAll(r, n>>12%2 == 0)
		case 6:
			r.down = !r.down
		case 7:
			r.silent = !r.silent && n>>12%2 == 0
		case 8:
			r.drained = !r.drained && n>>12%2 == 0
		case 9:
			r.answer = func() (time.Duration, Result, time.Duration) { return span / 8, Result(n >> 12 % 4), span }
		case 10:
			if len(calls) > 0 {
				w.p.CancelCall(w.now, calls[int(n>>16)%len(calls)])
				w.act()
			}
		case 11:
			w.run(span * 4)
		}
		w.run(time.Duration(n >> 32 % 50 * uint64(ms)))
	}
	w.run(time.Minute)
	for _, c := range calls {
		e, ok := w.ends[c]
		// A crossing may add one try.
		if !ok || e.Attempts != w.sends[c] || e.Attempts > w.settings.Tries+1 {
			w.t.Fatalf("a call was sent %d times and ended as %+v (%v)", w.sends[c], e, ok)
		}
		if e.MayHaveRun != (w.ran[c] > 0 && e.Verdict != Served) {
			w.t.Fatalf("a call of which %d tries may have run ended as %+v", w.ran[c], e)
		}
	}
	got := w.p.Counts()
	if w.p.Waiting() != 0 || len(w.p.timers) != 0 || len(w.p.queue) != 0 {
		w.t.Fatalf("left behind: %d calls, %d times, %d in the queue", w.p.Waiting(), len(w.p.timers), len(w.p.queue))
	}
	if over := float64(got.Retries) - float64(got.Crossings) - w.settings.RetryShare*float64(firsts) - 20*w.settings.RetryFloor; over > 0 {
		w.t.Fatalf("%d retries of %d calls", got.Retries, firsts)
	}
}

// An unsafe call goes again after a refusal, or where not a byte went out; never after anything else.
func TestUnsafe(t *testing.T) {
	for name, c := range map[string]struct {
		answer func() (time.Duration, Result, time.Duration)
		cut    int // 1: as it is out, 2: surely unsent
		tries  int
		v      Verdict
		ran    bool
	}{
		"served":  {answer: served(ms), tries: 1},
		"refused": {answer: refused(0), tries: 3, v: Refused},
		"failed":  {answer: func() (time.Duration, Result, time.Duration) { return ms, ResultFailed, 0 }, tries: 1, v: Failed, ran: true},
		"unusable": {answer: func() (time.Duration, Result, time.Duration) { return ms, ResultInvalid, 0 },
			tries: 1, v: Failed},
		"lost":    {answer: served(time.Hour), cut: 1, tries: 1, v: Lost, ran: true},
		"unsent":  {answer: served(100 * ms), cut: 2, tries: 1},
		"overdue": {answer: served(time.Hour), tries: 1, v: Deadline, ran: true},
	} {
		w := newWorld(t, 2, nil)
		for _, r := range w.routers {
			r.answer = c.answer
		}
		call := w.call(false, 3*time.Second)
		w.run(20 * ms)
		if c.cut > 0 {
			w.breakAll(w.routers[call.latest.router], c.cut == 2)
		}
		w.run(10 * time.Second)
		if e := w.ends[call]; e.Verdict != c.v || e.MayHaveRun != c.ran || e.Attempts != c.tries || w.sends[call] != c.tries {
			t.Errorf("%s: %+v, sent %d times", name, e, w.sends[call])
		}
	}
}

// A storm in which all is refused is not fed, and its end is seen within a second.
func TestStorm(t *testing.T) {
	for _, later := range []time.Duration{0, 500 * ms} {
		w := newWorld(t, 2, nil)
		if calm := w.load(5*ms, 3*time.Second); w.share(calm[:590], Served) < 1 {
			t.Errorf("served %v before the storm", w.share(calm, Served))
		}
		for _, r := range w.routers {
			r.answer = refused(later)
		}
		before := w.p.Counts()
		storm := w.load(5*ms, 10*time.Second)
		tries := float64(w.p.Counts().Tries-before.Tries) / float64(len(storm))
		if tries > 0.3 {
			t.Errorf("later %v: %.2f tries for each call", later, tries)
		}
		for _, r := range w.routers {
			r.answer = served(10 * ms)
		}
		w.load(5*ms, time.Second)
		after := w.load(5*ms, time.Second)
		w.run(time.Second)
		if s := w.share(after, Served); s < 0.95 {
			t.Errorf("later %v: %.2f served a second after the storm", later, s)
		}
		for _, c := range storm { // all of it was told at once, or after the wait that routers asked for
			if d := w.ended[c] - (c.deadline - 3*time.Second); w.ends[c].Verdict == Refused && d > 2*later+2*w.settings.BackoffMost {
				t.Fatalf("later %v: refused after %v", later, d)
			}
		}
	}
}

// What a router tells one call holds for all, and is the least that they wait.
func TestLater(t *testing.T) {
	w := newWorld(t, 1, nil)
	w.routers[0].answer = refused(400 * ms)
	w.call(true, 3*time.Second)
	w.run(10 * ms)
	w.routers[0].answer = served(ms)
	var calls []*Call
	for range 5 {
		calls = append(calls, w.call(true, 3*time.Second))
	}
	short := w.call(true, 100*ms)
	if e := w.ends[short]; e.Verdict != Refused || !e.Local || e.RetryAfter < 300*ms {
		t.Errorf("a call with too little time: %+v", e)
	}
	w.run(2 * time.Second) // the world checks that none goes too early
	if w.share(calls, Served) < 1 || w.routers[0].got[1] == w.routers[0].got[2] {
		t.Errorf("served %v, at %v", w.share(calls, Served), w.routers[0].got)
	}
}

// A router that fails, or refuses quickly, must not draw the calls to itself; the odd one out is left alone, but never
// so many that too few are left.
func TestOutlier(t *testing.T) {
	for name, bad := range map[string]func() (time.Duration, Result, time.Duration){
		"fails":   func() (time.Duration, Result, time.Duration) { return ms, ResultFailed, 0 },
		"refuses": refused(0),
	} {
		w := newWorld(t, 4, nil)
		w.routers[2].answer = bad
		calls := w.load(5*ms, 10*time.Second)
		if s, n := w.share(calls, Served), len(w.routers[2].got); s < 0.97 || n > 120 {
			t.Errorf("%s: %.3f served, %d of %d calls went there", name, s, n, len(calls))
		}
	}
	w := newWorld(t, 4, nil)
	for _, r := range w.routers {
		r.answer = func() (time.Duration, Result, time.Duration) { return ms, ResultFailed, 0 }
	}
	w.load(5*ms, 500*ms)
	out := 0
	for _, r := range w.p.routers {
		if w.now < r.outlier.ejectedUntil {
			out++
		}
	}
	if out != 2 {
		t.Errorf("%d of 4 routers are out of the choice", out)
	}
	// A retry goes to another router, also where that is slower.
	w = newWorld(t, 2, func(s *Settings) { s.EjectAfter = 100 })
	w.routers[1].answer = served(200 * ms)
	w.load(20*ms, time.Second)
	w.routers[0].answer = func() (time.Duration, Result, time.Duration) { return ms, ResultFailed, 0 }
	calls := w.load(20*ms, 100*ms)
	w.run(time.Second)
	if w.share(calls, Served) < 1 {
		t.Errorf("%.1f served where one of two routers fails", w.share(calls, Served))
	}
}

// The clients of a router that restarts come back spread over some seconds; a call that has another router goes there
// at once.
func TestReconnect(t *testing.T) {
	var came []float64
	for seed := range uint64(300) {
		w := newWorld(t, 1, func(s *Settings) { s.Seed = seed })
		w.load(50*ms, 500*ms)
		start := w.now
		w.routers[0].down = true
		w.breakAll(w.routers[0], false)
		w.after(300*ms, func() { w.routers[0].down = false })
		w.load(50*ms, 6*time.Second)
		for _, at := range w.routers[0].came[1:] {
			if at > start {
				came = append(came, (at - start).Seconds())
				break
			}
		}
	}
	slices.Sort(came)
	if len(came) != 300 || came[285]-came[15] < 2 || came[299] > 5 {
		t.Errorf("%d came back, from %.2f to %.2f s (5%% to 95%%)", len(came), came[15], came[285])
	}
	w := newWorld(t, 2, nil)
	w.load(5*ms, 500*ms)
	w.routers[0].down = true
	w.breakAll(w.routers[0], true)
	if calls := w.load(5*ms, 500*ms); w.share(calls[:90], Served) < 1 {
		t.Errorf("%.2f served with one of two routers away", w.share(calls[:90], Served))
	}
}

// Routers that accept and say nothing, or take no clients, get no call; one that falls silent is left, and what was
// out with it goes elsewhere, if it may.
func TestSilentAndDrained(t *testing.T) {
	w := newWorld(t, 3, nil)
	w.routers[0].silent, w.routers[1].drained = true, true
	calls := w.load(20*ms, 4*time.Second)
	if w.share(calls[:150], Served) < 1 || len(w.routers[0].got)+len(w.routers[1].got) > 0 {
		t.Errorf("%.2f served, %d and %d calls at bad routers", w.share(calls, Served), len(w.routers[0].got), len(w.routers[1].got))
	}
	w = newWorld(t, 2, nil)
	w.load(20*ms, time.Second)
	w.routers[0].answer = served(time.Hour)
	w.load(20*ms, 100*ms)
	out := len(w.p.routers[0].conns)
	w.routers[0].silent, w.routers[0].down = true, true
	w.run(2500 * ms)
	if w.p.Counts().Silent == 0 || len(w.p.routers[0].conns) > 0 || out == 0 {
		t.Errorf("a silent router has %d connections, %+v", len(w.p.routers[0].conns), w.p.Counts())
	}
	// A router that drains keeps what is open.
	w = newWorld(t, 2, nil)
	for _, r := range w.routers {
		r.answer = served(2800 * ms)
	}
	calls = w.load(50*ms, time.Second)
	w.routers[0].drained = true
	w.run(1500 * ms)
	had := len(w.routers[0].got)
	w.load(50*ms, 250*ms)
	w.run(3 * time.Second)
	if w.share(calls, Served) < 1 || len(w.routers[0].got) != had || had == 0 {
		t.Errorf("%.2f served of what was open, %d calls after the drain", w.share(calls, Served), len(w.routers[0].got)-had)
	}
}

// A call that crosses a router's close of an idle connection goes again at once; only a safe one, and only once.
func TestCrossing(t *testing.T) {
	for _, safe := range []bool{true, false} {
		w := newWorld(t, 1, nil)
		w.call(true, time.Second)
		w.run(2 * time.Second)
		c := w.call(safe, 3*time.Second)
		w.breakAll(w.routers[0], false)
		w.run(40 * ms)
		if e := w.ends[c]; safe != (e.Verdict == Served) || !safe && !e.MayHaveRun || w.p.Counts().Crossings > 1 {
			t.Errorf("safe %v: %+v", safe, e)
		}
	}
}

// Too little time, too many calls and no router at all are told at once.
func TestAtOnce(t *testing.T) {
	w := newWorld(t, 1, func(s *Settings) { s.Waiting = 5 })
	w.routers[0].answer = served(300 * ms)
	w.call(true, time.Second)
	w.run(time.Second)
	if c := w.call(true, 250*ms); w.ends[c].Verdict != Deadline || w.sends[c] != 0 {
		t.Errorf("too little time: %+v", w.ends[c])
	}
	w = newWorld(t, 1, func(s *Settings) { s.Waiting = 5 })
	var last *Call
	for range 7 {
		last = w.call(true, time.Second)
	}
	if w.ends[last].Verdict != Busy {
		t.Errorf("too many calls: %+v", w.ends[last])
	}
	w = newWorld(t, 1, nil)
	w.load(10*ms, 100*ms)
	w.routers[0].down = true
	w.breakAll(w.routers[0], true)
	w.run(3 * time.Second)
	var none *Call
	for i := 0; w.ends[none].Verdict != Unreachable; i++ { // each failed connection moves the next one off
		if i == 1000 {
			t.Fatal("no call is told that no router can be reached in time")
		}
		none = w.call(true, 200*ms)
		w.run(20 * ms)
	}
	if e := w.ends[none]; e.RetryAfter <= 0 || e.Attempts != 0 || w.ended[none]+180*ms > none.deadline {
		t.Errorf("no router: %+v, %v before its deadline", e, none.deadline-w.ended[none])
	}
	w.routers[0].down = false // it comes back, and so do we
	w.load(10*ms, 4*time.Second)
	if calls := w.load(10*ms, time.Second); w.share(calls[:90], Served) < 1 {
		t.Errorf("%.2f served by a router that came back", w.share(calls[:90], Served))
	}
}

// Retries of all calls together stay within the budget, and the waits before them are random.
func TestBudget(t *testing.T) {
	w := newWorld(t, 1, func(s *Settings) { s.EjectShare = 0 })
	w.routers[0].answer = func() (time.Duration, Result, time.Duration) { return ms, ResultFailed, 0 }
	calls := w.load(5*ms, 20*time.Second)
	c := w.p.Counts()
	if most := 0.1*float64(len(calls)) + 3*w.settings.RetryFloor; float64(c.Retries) > most || float64(c.Retries) < most/2 {
		t.Errorf("%d retries of %d calls", c.Retries, len(calls))
	}
	sum, n := 0.0, 2000
	for range n {
		sum += w.p.backoff(3).Seconds()
	}
	if mean := sum / float64(n); math.Abs(mean-0.1) > 0.01 {
		t.Errorf("the mean wait before a third try is %.3f s", mean)
	}
}
