package chores

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Chore is one periodic duty.
type Chore struct {
	Kind, Key string
	Every     time.Duration
}

// Slot is the slot that a chore is leased with.
func (s Settings) Slot(kind, key string) int { return int(score(0, kind+" "+key) % uint64(s.Slots)) }

// Run is a chore that is to be run now. It is to be asked for right before: a run that waits may be another's by then.
type Run struct {
	Chore
	Epoch uint64
	Alone bool // without a lease, on a side that can have none
}

// Result is what a run came to, as it is told to all.
type Result struct {
	Kind, Key string
	Epoch     uint64
	Age       time.Duration // since the run, when it was sent
	Verdict   string
}

type id struct{ kind, key string }

// work is what an instance knows of one chore.
type work struct {
	Chore
	slot    int
	epoch   uint64        // of the newest result, or of the lease under which it is run
	ran     time.Duration // when it was last run, by anybody; 0: not known
	due     time.Duration // when this instance runs it; 0: it does not
	alone   bool          // due is that of a run without a lease
	verdict string
}

// Schedule is when an instance runs what. Two runs under leases are never closer than nine tenths of the chore's time,
// and an instance alone takes the share of one in all that the operator configured.
type Schedule struct {
	leases *Leases
	rnd    *rand.Rand
	work   map[id]*work
	order  []*work // sorted: actions must not depend on a map
	split  time.Duration
}

// choresMost bounds the chores of an instance.
const choresMost = 1 << 14

// NewSchedule returns the schedule of an instance. Its seed spreads the runs.
func NewSchedule(l *Leases, seed uint64) *Schedule {
	return &Schedule{leases: l, rnd: rand.New(rand.NewPCG(seed, 5)), work: map[id]*work{}}
}

// Set says which chores of a kind there are. What is known of those that stay is kept; it returns how many are too
// many, and left out.
func (s *Schedule) Set(kind string, chores []Chore) (over int) {
	keep := map[id]bool{}
	for _, c := range chores {
		k := id{kind, c.Key}
		w := s.work[k]
		if w == nil {
			if len(s.work) >= choresMost {
				over++
				continue
			}
			w = &work{slot: s.leases.set.Slot(kind, c.Key)}
			s.work[k] = w
		}
		c.Kind = kind
		w.Chore, keep[k] = c, true
	}
	for k := range s.work {
		if k.kind == kind && !keep[k] {
			delete(s.work, k)
		}
	}
	s.order = s.order[:0]
	for _, w := range s.work {
		s.order = append(s.order, w)
	}
	slices.SortFunc(s.order, func(a, b *work) int {
		return cmp.Or(strings.Compare(a.Kind, b.Kind), strings.Compare(a.Key, b.Key))
	})
	return over
}

// Due returns what this instance is to run now. Each is taken as run.
func (s *Schedule) Due(now time.Duration) (out []Run) {
	if s.leases.Majority(now) {
		s.split = 0
	} else if s.split == 0 {
		s.split = now
	}
	// An owner may still be at work on the other side until its lease has run out.
	alone := s.split > 0 && now-s.split > s.leases.set.promise()
	for _, w := range s.order {
		epoch, owns := s.leases.Owns(w.slot, now)
		switch {
		case owns && (w.due == 0 || w.alone || w.epoch < epoch):
			// The owner before may have run it just now. A result of its can't tell: it says when that run was only to
			// the time that it took to come, and a later one may have been lost.
			w.alone, w.due, w.epoch = false, now+w.Every, max(w.epoch, epoch)
		case !owns && alone && !w.alone:
			w.alone, w.due = true, now+time.Duration(s.rnd.Float64()*float64(s.share(w)))
		case !owns && !alone:
			w.alone, w.due = false, 0
		}
		if w.due == 0 || now < w.due {
			continue
		}
		every := w.Every
		if w.alone {
			every, epoch = s.share(w), 0
		}
		w.ran, w.due = now, now+time.Duration((0.95+0.1*s.rnd.Float64())*float64(every))
		out = append(out, Run{Chore: w.Chore, Epoch: epoch, Alone: w.alone})
	}
	return out
}

// share is the time between runs of an instance that is alone: all of them together keep to what one owner does.
func (s *Schedule) share(w *work) time.Duration {
	return w.Every * time.Duration(s.leases.set.Members)
}

// Done takes what a run came to, and returns what is to be told to all: nothing of one that was alone.
func (s *Schedule) Done(now time.Duration, r Run, verdict string) (res Result, tell bool) {
	w := s.work[id{r.Kind, r.Key}]
	if w == nil { // it is no chore any more
		return Result{}, false
	}
	w.verdict = verdict
	return Result{Kind: r.Kind, Key: r.Key, Epoch: r.Epoch, Age: now - w.ran, Verdict: verdict}, !r.Alone
}

// Heard takes a result of another instance. It returns whether it is news: one of an older epoch, or older than what
// is known, is not.
func (s *Schedule) Heard(now time.Duration, r Result) bool {
	w := s.work[id{r.Kind, r.Key}]
	if w == nil || r.Age < 0 || r.Epoch < w.epoch || r.Epoch == w.epoch && now-r.Age <= w.ran {
		return false
	}
	w.epoch, w.ran, w.verdict = r.Epoch, now-r.Age, r.Verdict
	return true
}

// Verdict is the newest that is known of a chore, and how long ago it was run.
func (s *Schedule) Verdict(now time.Duration, kind, key string) (verdict string, age time.Duration, ok bool) {
	w := s.work[id{kind, key}]
	if w == nil || w.ran == 0 {
		return "", 0, false
	}
	return w.verdict, now - w.ran, true
}
