package policy

import (
	"container/heap"
	"time"
)

// timerOwner is the call, connection or router that a timer belongs to.
type timerOwner interface {
	timerDue(p *Policy)
}

// timer holds the next time at which its owner has something to do.
type timer struct {
	at    time.Duration
	index int // in the heap; -1: not set
	owner timerOwner
}

func newTimer(owner timerOwner) timer { return timer{index: -1, owner: owner} }

func (t *timer) isSet() bool { return t.index >= 0 }

// setTimer sets or moves a timer.
func (p *Policy) setTimer(t *timer, at time.Duration) {
	if !t.isSet() {
		t.at = at
		heap.Push(&p.timers, t)
		return
	}
	if t.at != at {
		t.at = at
		heap.Fix(&p.timers, t.index)
	}
}

func (p *Policy) stopTimer(t *timer) {
	if t.isSet() {
		heap.Remove(&p.timers, t.index)
	}
}

// popTimer removes the earliest timer.
func (p *Policy) popTimer() *timer { return heap.Pop(&p.timers).(*timer) }

// timerHeap implements heap.Interface, with the earliest timer first. Each timer holds its index in the heap, so that
// it can be moved.
type timerHeap []*timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }

func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface. Use heap.Push.
func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface. Use heap.Pop.
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	last.index = -1
	return last
}
