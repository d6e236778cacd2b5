package balancer

import (
	"cmp"
	"time"
)

// What is remembered of objects.

// objectKey identifies a part of an object, which is what caches keep copies of.
type objectKey struct{ object, part uint64 }

// object is what is remembered of one part of an object.
type object struct {
	requestCount int
	servedAt     time.Duration // when a cache served it last; 0: never
	replicatedAt time.Duration // when a fill went to its second home last; 0: no fill seen yet
	cachedAtHome bool          // its home parent had it at the latest fill, as far as is known
	serviceTime  float64       // shortest seen, in seconds; 0: unknown
}

// objectTable remembers objects in two generations, which bounds its size and lets entries age out.
type objectTable struct {
	young, old map[objectKey]*object
	rotatedAt  time.Duration // when young became old
}

// get returns the entry of a key; it is made where there is none.
func (t *objectTable) get(now time.Duration, k objectKey) *object {
	if len(t.young) >= objectGenerationSize || now-t.rotatedAt > 4*replicationInterval {
		t.young, t.old, t.rotatedAt = map[objectKey]*object{}, t.young, now
	}
	o := cmp.Or(t.young[k], t.old[k], &object{})
	t.young[k] = o
	return o
}

// learnServiceTime keeps the shortest service time seen: longer ones include waits.
func (o *object) learnServiceTime(serviceTime float64) {
	if o.serviceTime == 0 || serviceTime < o.serviceTime {
		o.serviceTime = serviceTime
	}
}
