//go:build cluster

package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"hillknot/internal/extension/orderfailover"
	"hillknot/internal/testutil/timeline"
	"hillknot/loadtest"
)

// killAt names a step of an order at which the router's process is killed, so many milliseconds after it, and one, or none,
// at which it first stands still for a moment: "STEP,MS,STEP".
const killAt = "HILLKNOT_TEST_KILL_AT"

// standStill is how long a router stands still at a step, so that what it has said is held before it goes on: 5 ms were too
// short on a busy machine, where the word that it was held came after 6 ms.
const standStill = 40 * time.Millisecond

// init arms the kill in a process that plays a router.
func init() {
	p := strings.Split(os.Getenv(killAt), ",")
	if len(p) != 3 {
		return
	}
	ms, _ := strconv.Atoi(p[1]) // written by the test below
	orderfailover.StepHook = func(what, txn string) {
		switch what {
		case p[2]:
			time.Sleep(standStill)
		case p[0]:
			time.Sleep(time.Duration(ms) * time.Millisecond)
			_ = syscall.Kill(os.Getpid(), syscall.SIGKILL) // it can't fail for the own process
		}
	}
}

// A router that is killed between any two steps of an order leaves it to another, which runs it once, or tells what became
// of it, or that it may have run; and nothing else.
func TestKillBetweenSteps(t *testing.T) {
	o, err := loadtest.NewFailoverCluster(program(t), 4, true, "debug", 1)
	if err != nil {
		t.Fatal(err)
	}
	defer o.Close()
	time.Sleep(3500 * time.Millisecond) // all are up for longer than an order's client waits
	for _, c := range []struct {
		step  string
		after int    // milliseconds
		pause string // the step at which it stands still
		told  string
		ran   int
		rule  timeline.Rule // of what the others do
	}{
		{"taken", 0, "", "served", 1, timeline.Rule{Then: []string{"* claimed T", "* begun T", "* may held T *", "* sent T"}}},
		{"taken held", 0, "taken said", "served", 1, timeline.Rule{After: "V killed", Then: []string{"* owner lost V", "* orphaned T V", "* begun T", "* sent T"}}},
		{"may said", 5, "", "failed", 0, timeline.Rule{After: "V killed", Then: []string{"* owner lost V", "* kept as may have run T"}, Never: []string{"* sent T", "* begun T"}}},
		{"may held", 0, "", "failed", 0, timeline.Rule{After: "V killed", Then: []string{"* kept as may have run T"}, Never: []string{"* sent T", "* begun T"}}},
		{"ended served", 0, "", "failed", 1, timeline.Rule{After: "V sent T", Then: []string{"* kept as may have run T"}, Never: []string{"* sent T"}}},
		{"ended said", 5, "", "served", 1, timeline.Rule{After: "V sent T", Then: []string{"* kept as served T", "* settled served T"}, Never: []string{"* sent T"}}},
	} {
		t.Run(strings.ReplaceAll(c.step, " ", "-"), func(t *testing.T) {
			victim := len(o.Routers) - 1 // all others stay up
			k, err := o.KillAtStep(victim, killAt+"="+fmt.Sprintf("%s,%d,%s", c.step, c.after, c.pause))
			if err != nil {
				t.Fatal(err)
			}
			if k.Answer != c.told || k.Executions != c.ran {
				t.Errorf("the client was told %q, and it ran %d times; want %q, %d", k.Answer, k.Executions, c.told, c.ran)
			}
			r := c.rule
			name := strings.NewReplacer("V", fmt.Sprintf("lab-%d", victim), " T", " "+k.Txn)
			for _, list := range [][]string{r.Then, r.Never} {
				for i := range list {
					list[i] = name.Replace(list[i])
				}
			}
			r.After = name.Replace(r.After)
			if err := k.Timeline.Check(r); err != nil {
				t.Error(err)
			}
		})
	}
}

// Orders outlive their routers, once, through kills, stops, cuts and restarts.
func TestOutlive(t *testing.T) {
	inParallel(t)
	o, err := loadtest.NewFailoverCluster(program(t), 5, true, "", 1)
	if err != nil {
		t.Fatal(err)
	}
	defer o.Close()
	rows, err := o.RunFailoverFaults(1500*time.Millisecond, 12, []string{"two killed at once", "stopped for longer than a lease", "two cut off from the rest",
		"one not heard", "a third of the packets lost, others late", "drawn from the seed"})
	if err != nil {
		t.Fatal(err)
	}
	row, err := o.RunKills(6, 600*time.Millisecond, 12)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range append(rows, row) {
		if r.Broken() || r.Orders < 20 || r.Served == 0 || r.ReadsInFlightServed*20 < r.ReadsInFlight*19 {
			t.Errorf("%+v", r)
		}
	}
}

// A balance that all routers share is never overspent, while some are cut off, killed and read a top-up late.
func TestCredit(t *testing.T) {
	inParallel(t)
	p, err := loadtest.NewCreditCluster(program(t), 4, map[string]float64{"poor": 50, "rich": 1e5}, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	rows, err := p.RunCreditFaults(1500*time.Millisecond, 8, 1200, []string{"two cut off from the rest", "killed again and again", "top-up read by half of the fleet"})
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range rows {
		t.Logf("%+v", r)
		most := 0.02
		switch {
		case strings.HasPrefix(r.Fault, "top-up"): // the others' part of it
			most = 1
		case strings.HasPrefix(r.Fault, "killed"): // each loses what a router spends in a chunk's time, and its open requests
			most = 0.06
		}
		if r.Broken() || r.Served < 50 || r.Rejected == 0 || r.FundedRatio < 0.5 || r.Stranded > most {
			t.Errorf("%+v", r)
		}
	}
}

// Routers that are restarted one after the other, as of nine a tenth at a time, answer what they took: no order runs twice, no
// answer contradicts what ran, and nearly nothing is lost, with the journal service down, too.
func TestRollingRestart(t *testing.T) {
	inParallel(t)
	for alone, routers := range map[bool]int{false: 9, true: 3} {
		r, p, err := loadtest.RollingRestart(program(t), routers, alone, 1)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("journal down %v: %+v %+v", alone, r, p)
		if p.Unanswered+p.AnsweredTwice > 0 || p.Answered < 500 || p.Disconnected*100 > p.Sent {
			t.Errorf("journal down %v: sent down open connections: %+v", alone, p)
		}
		if r.Broken() || r.Orders < 100 || r.ReadsServed*100 < r.Reads*99 || (r.MayHaveRun+r.OtherErrors)*50 > r.Orders {
			t.Errorf("journal down %v: %+v", alone, r)
		}
	}
}
