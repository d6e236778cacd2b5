package core

import (
	"sync/atomic"

	"hillknot/balancer"
)

// UnknownClass is the class that counts the requests whose class is not in the settings.
const UnknownClass = "unknown"

// ClassCounts counts the requests of one class by how they were answered.
type ClassCounts struct {
	Class                    string
	Success, Overload, Error uint64
}

// Metric is a figure for operators.
type Metric struct {
	Name, Help string
	Value      uint64
	Counter    bool // true: the value only grows; false: it is a gauge
}

// statistics holds the counters for operators and the latest snapshot.
type statistics struct {
	classIndex      map[string]int // by class name: index into byClass
	byClass         []ClassCounts  // in the order of the settings; UnknownClass is last
	attemptsWritten uint64
	ruleViolations  uint64
	snapshot        atomic.Pointer[Snapshot] // the latest; any goroutine may load it
}

func newStatistics(classes []balancer.Class) statistics {
	index := make(map[string]int, len(classes))
	counts := make([]ClassCounts, 0, len(classes)+1)
	for i, class := range classes {
		index[class.Name] = i
		counts = append(counts, ClassCounts{Class: class.Name})
	}
	counts = append(counts, ClassCounts{Class: UnknownClass})
	return statistics{classIndex: index, byClass: counts}
}

// CountAnswer counts an answer to a request of a class. The core counts the answers that it gives; a front end counts
// the answers that it gives on its own.
func (c *Core) CountAnswer(class string, verdict Verdict) {
	i, known := c.stats.classIndex[class]
	if !known {
		i = len(c.stats.byClass) - 1
	}
	switch counts := &c.stats.byClass[i]; verdict {
	case Served, NotModified:
		counts.Success++
	case Rejected:
		counts.Overload++
	default:
		counts.Error++
	}
}
