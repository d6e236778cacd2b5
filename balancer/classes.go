package balancer

import (
	"cmp"
	"time"
)

// Classes of requests, the service times that are learned of them, and load counted by class. A service time is the
// time, in seconds, that it takes to send a response at full speed; one response of a second is one unit of load.

// class is a class of the settings with its mean service time.
type class struct {
	Class
	index       int     // in classTable.inOrder; 0: the class is not in the settings
	serviceTime float64 // mean, in seconds
	samples     float64 // number of responses behind the mean, up to averagingWindow
}

func newClass(c Class) *class { return &class{Class: c, serviceTime: initialServiceTime.Seconds()} }

// observe takes a service time into the mean. The first sample replaces the initial guess: a router that has just
// started would else go by the guess for long, and count the budget of a warming-up endpoint in units of it.
func (c *class) observe(serviceTime float64) {
	c.samples = min(c.samples+1, averagingWindow)
	c.serviceTime += (serviceTime - c.serviceTime) / c.samples
}

// classTable holds the classes of the settings. Index 0 of inOrder is a class of its own, whose calls are counted in
// seconds of service time: it stands for the load that resolvers' clients bring.
type classTable struct {
	byName  map[string]*class
	inOrder []*class
}

func newClassTable(classes []Class) classTable {
	t := classTable{byName: map[string]*class{}, inOrder: []*class{{serviceTime: 1}}}
	for _, c := range classes {
		k := newClass(c)
		k.index = len(t.inOrder)
		t.byName[c.Name], t.inOrder = k, append(t.inOrder, k)
	}
	return t
}

// serviceTime is the service time of calls, in seconds.
func (t *classTable) serviceTime(calls callsByClass) float64 {
	sum := 0.0
	for i, k := range t.inOrder {
		sum += calls[i] * k.serviceTime
	}
	return sum
}

// largestServiceTime is the highest mean of the classes seen so far, or the initial guess before any was seen.
func (t *classTable) largestServiceTime() float64 {
	largest := 0.0
	for _, k := range t.inOrder[1:] {
		if k.samples > 0 {
			largest = max(largest, k.serviceTime)
		}
	}
	return cmp.Or(largest, initialServiceTime.Seconds())
}

// callsByClass counts calls by the index of their class.
type callsByClass []float64

func (calls callsByClass) setScaled(to callsByClass, factor float64) {
	for i, n := range to {
		calls[i] = n * factor
	}
}

// load is the usual load of a role.
type load struct {
	rate      callsByClass // calls a second, averaged over usualLoadWindow
	peak      callsByClass // the highest rate, decaying over peakLoadWindow
	updatedAt time.Duration
}
