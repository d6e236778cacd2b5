package balancer

import (
	"cmp"
	"time"
)

// This file holds the classes of requests with their learned service times, and load counted by class. A service time is
// the time in seconds that sending a response takes at full speed. Load is measured in seconds of service time per
// second: one response per second with a service time of one second is one unit of load.

// class holds a class of the settings and its learned mean service time.
type class struct {
	Class
	index       int     // in classTable.inOrder; 0: the class is not in the settings
	serviceTime float64 // mean, in seconds
	samples     float64 // number of responses behind the mean, up to averagingWindow
}

func newClass(c Class) *class { return &class{Class: c, serviceTime: initialServiceTime.Seconds()} }

// observe adds a service time, in seconds, to the mean. The first sample replaces the initial guess. Otherwise a router
// that has just started would use the guess for a long time, and compute the budget of an endpoint in slow start from
// it.
func (c *class) observe(serviceTime float64) {
	c.samples = min(c.samples+1, averagingWindow)
	c.serviceTime += (serviceTime - c.serviceTime) / c.samples
}

// classTable holds the classes of the settings. Index 0 of inOrder is an extra class, whose calls are counted in seconds
// of service time. It holds load that is not known by class: that of resolvers' clients, and that of a snapshot.
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

// serviceTime returns the total service time of calls, in seconds.
func (t *classTable) serviceTime(calls callsByClass) float64 {
	sum := 0.0
	for i, k := range t.inOrder {
		sum += calls[i] * k.serviceTime
	}
	return sum
}

// largestServiceTime returns the highest mean service time, in seconds, of the classes that have samples, or the initial
// guess if none has.
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

// setScaled sets calls to another count by class times a factor.
func (calls callsByClass) setScaled(from callsByClass, factor float64) {
	for i, n := range from {
		calls[i] = n * factor
	}
}

// load holds the usual load of a role.
type load struct {
	rate      callsByClass // calls per second, averaged over usualLoadWindow
	peak      callsByClass // the highest rate, decaying over peakLoadWindow
	updatedAt time.Duration
}
