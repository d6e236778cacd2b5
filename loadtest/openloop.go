package loadtest

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"hillknot/client"
)

// classValue is the value of an answer to a request of a class.
type classValue struct {
	weight    float64       // of an answer within the objective; a later answer has a tenth of it
	objective time.Duration // latency
	deadline  time.Duration
}

var classValues = map[string]classValue{
	classScore: {2, 400 * time.Millisecond, 5 * time.Second},
	classPage:  {1, 250 * time.Millisecond, 3 * time.Second},
	classOrder: {3, 700 * time.Millisecond, 3 * time.Second},
}

// outcome holds the outcome of one request.
type outcome struct {
	class    string
	item     uint64
	due      time.Duration // time from the start until the request was due
	latency  time.Duration // time from then until the answer
	attempts int
	err      error // nil: it was served
}

// earned returns the weight that the answer earned.
func (o outcome) earned() float64 {
	value := classValues[o.class]
	switch {
	case o.err != nil:
		return 0
	case o.latency <= value.objective:
		return value.weight
	}
	return value.weight / 10
}

// weight returns the weight that the answer could have earned.
func (o outcome) weight() float64 { return classValues[o.class].weight }

// classPicker draws the class of a request.
type classPicker func(*rand.Rand) string

func onlyPages(*rand.Rand) string { return classPage }

func onlyOrders(*rand.Rand) string { return classOrder }

// mixedClasses draws classes in the proportions of mixed traffic.
func mixedClasses(random *rand.Rand) string {
	switch x := random.Float64(); {
	case x < 0.53:
		return classScore
	case x < 0.967:
		return classPage
	}
	return classOrder
}

// sendOpenLoop sends requests at a steady rate, in requests a second, for a length of time, without waiting for earlier ones.
// At the end it waits for all answers, and returns the outcomes in the order in which the requests were due. The requests
// follow from the seed.
func sendOpenLoop(r requester, rate float64, length time.Duration, seed uint64, pickClass classPicker) []outcome {
	random, start := rand.New(rand.NewPCG(seed, 2)), time.Now()
	var mu sync.Mutex
	var outcomes []outcome
	var requests sync.WaitGroup
	for i := 0; ; i++ {
		due := time.Duration(float64(i) / rate * float64(time.Second))
		if due >= length {
			break
		}
		time.Sleep(due - time.Since(start))
		o := outcome{class: pickClass(random), item: random.Uint64(), due: due}
		requests.Go(func() {
			request := client.Request{Class: o.class, Item: o.item, Limit: classValues[o.class].deadline}
			o.attempts, o.err = r.send(context.Background(), request)
			o.latency = time.Since(start) - o.due // includes the delay of a request that is sent late
			mu.Lock()
			defer mu.Unlock()
			outcomes = append(outcomes, o)
		})
	}
	requests.Wait()
	slices.SortFunc(outcomes, func(a, b outcome) int { return int(a.due - b.due) })
	return outcomes
}
