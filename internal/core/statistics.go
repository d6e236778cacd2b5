package core

import (
	"sync/atomic"

	"hillknot/balancer"
)

// UnknownClass is the class under which requests count whose class is not in the settings.
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
	Counter    bool // it only grows; else it is a gauge
}

// statistics counts what operators want to know.
type statistics struct {
	classIndex      map[string]int // places in byClass
	byClass         []ClassCounts  // as the settings list the classes; last, UnknownClass
	attemptsWritten uint64
	ruleViolations  uint64
	snapshot        atomic.Pointer[Snapshot] // the latest; any goroutine
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

// CountAnswer counts an answer. The core counts those that it gives; a front end counts those that it gives by
// itself.
func (c *Core) CountAnswer(class string, v Verdict) {
	i, known := c.stats.classIndex[class]
	if !known {
		i = len(c.stats.byClass) - 1
	}
	switch counts := &c.stats.byClass[i]; v {
	case Served, NotModified:
		counts.Success++
	case Rejected:
		counts.Overload++
	default:
		counts.Error++
	}
}
