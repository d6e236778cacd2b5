package credit

import (
	"maps"
	"slices"
	"time"
)

// afterWrite is called once what it waits for is durable.
type afterWrite func(now time.Duration)

// writeQueue collects the records that have changed, until they are handed to the store as one group. One group is
// written at a time; what changes meanwhile makes the next group.
type writeQueue struct {
	changed      map[string]struct{} // keys of the records of the next group
	afterChanged []afterWrite        // wait for the next group

	writing      bool         // a group is being written
	afterWriting []afterWrite // wait for that group; after it failed, for the next one

	err error // why the latest write failed; nil once one succeeds
}

// change marks records as changed. after, if it isn't nil, is called once they are durable.
func (q *writeQueue) change(after afterWrite, keys ...string) {
	for _, key := range keys {
		q.changed[key] = struct{}{}
	}
	if after != nil {
		q.afterChanged = append(q.afterChanged, after)
	}
}

// whenDurable calls a function once all that has changed so far is durable, which may be at once.
func (q *writeQueue) whenDurable(after afterWrite) {
	switch {
	case len(q.changed) > 0:
		q.afterChanged = append(q.afterChanged, after)
	case q.writing:
		q.afterWriting = append(q.afterWriting, after)
	default:
		after(0)
	}
}

// begin takes the keys of the next group, in order; nil if there are none or a group is being written.
func (q *writeQueue) begin() []string {
	if q.writing || len(q.changed) == 0 {
		return nil
	}
	keys := slices.Sorted(maps.Keys(q.changed))
	clear(q.changed)
	q.writing = true
	q.afterWriting = append(q.afterWriting, q.afterChanged...)
	q.afterChanged = nil
	return keys
}

// succeed ends a write, and calls all that has waited for it.
func (q *writeQueue) succeed(now time.Duration) {
	q.writing, q.err = false, nil
	waiting := q.afterWriting
	q.afterWriting = nil
	for _, after := range waiting {
		after(now)
	}
}

// fail ends a write after which the records may be durable or not: they are written again with the next group.
func (q *writeQueue) fail(records []Record, err error) {
	q.writing, q.err = false, LedgerWriteError{err}
	for _, record := range records {
		q.change(nil, record.Key)
	}
}

// NextWrite returns the group of records to be written now, all of them or none. It returns nil if nothing has
// changed, or if the latest group is still being written. The caller calls WriteCompleted when the write has ended.
func (l *Ledger) NextWrite() []Record {
	var records []Record
	for _, key := range l.writes.begin() {
		record, err := l.encode(key)
		if err != nil { // the types of records can always be encoded
			continue
		}
		records = append(records, record)
	}
	return records
}

// WriteCompleted reports that the records of the latest NextWrite are durable, or the error after which they may not
// be. After an error, rights that were taken from records stay taken; rights that were to be added are added once the
// records are written after all.
func (l *Ledger) WriteCompleted(now time.Duration, records []Record, err error) {
	if err != nil {
		l.writes.fail(records, err)
		return
	}
	l.writes.succeed(now)
}

// WriteError returns why the latest write failed, as a LedgerWriteError; nil if it did not.
func (l *Ledger) WriteError() error { return l.writes.err }
