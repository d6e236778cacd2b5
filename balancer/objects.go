package balancer

import (
	"cmp"
	"time"
)

// This file holds what the balancer remembers of objects.

// objectKey identifies a part of an object. Caches keep copies of parts.
type objectKey struct{ object, part uint64 }

// object holds what is remembered of one part of an object.
type object struct {
	requestCount int
	servedAt     time.Duration // when an edge cache last served it; 0: never
	replicatedAt time.Duration // when a fill last went to its second home, or the time of the first fill; 0: no fill seen
	cachedAtHome bool          // the source of the latest fill, normally the home parent, had a copy
	serviceTime  float64       // shortest service time seen, in seconds; 0: unknown
}

// objectTable remembers objects in two generations, which bounds its size and lets entries age out.
type objectTable struct {
	current, previous map[objectKey]*object
	rotatedAt         time.Duration // when current became previous
}

// get returns the entry of a key, which it creates if there is none.
func (t *objectTable) get(now time.Duration, k objectKey) *object {
	if len(t.current) >= objectGenerationSize || now-t.rotatedAt > 4*replicationInterval {
		t.current, t.previous, t.rotatedAt = map[objectKey]*object{}, t.current, now
	}
	o := cmp.Or(t.current[k], t.previous[k], &object{})
	t.current[k] = o
	return o
}

// learnServiceTime keeps the shortest service time seen, because longer ones include waits.
func (o *object) learnServiceTime(serviceTime float64) {
	if o.serviceTime == 0 || serviceTime < o.serviceTime {
		o.serviceTime = serviceTime
	}
}
