package credit

import (
	"maps"
	"slices"
	"time"
)

// durableCallback is called once the records that it waits for are durable.
type durableCallback func(now time.Duration)

// writeQueue collects the keys of records that have changed, until the records are handed to the store as one group. One
// group is written at a time; records that change meanwhile form the next group.
type writeQueue struct {
	changed       map[string]struct{} // keys of the records of the next group
	nextCallbacks []durableCallback   // wait for the next group

	writing          bool              // a group is being written
	writingCallbacks []durableCallback // wait for the group being written; if it fails, for the next one

	err error // LedgerWriteError of the latest write; nil if it succeeded
}

// markChanged marks the records with the given keys as changed. callback, if it is not nil, is called once they are
// durable.
func (q *writeQueue) markChanged(callback durableCallback, keys ...string) {
	for _, key := range keys {
		q.changed[key] = struct{}{}
	}
	if callback != nil {
		q.nextCallbacks = append(q.nextCallbacks, callback)
	}
}

// whenDurable calls callback once all records that have changed so far are durable. If all are durable already, it calls
// callback at once with the time 0.
func (q *writeQueue) whenDurable(callback durableCallback) {
	switch {
	case len(q.changed) > 0:
		q.nextCallbacks = append(q.nextCallbacks, callback)
	case q.writing:
		q.writingCallbacks = append(q.writingCallbacks, callback)
	default:
		callback(0)
	}
}

// begin begins a write and returns the sorted keys of the next group. It returns nil if there are none or a group is
// being written.
func (q *writeQueue) begin() []string {
	if q.writing || len(q.changed) == 0 {
		return nil
	}
	keys := slices.Sorted(maps.Keys(q.changed))
	clear(q.changed)
	q.writing = true
	q.writingCallbacks = append(q.writingCallbacks, q.nextCallbacks...)
	q.nextCallbacks = nil
	return keys
}

// succeed ends a write that has succeeded, and calls the callbacks that waited for it.
func (q *writeQueue) succeed(now time.Duration) {
	q.writing, q.err = false, nil
	callbacks := q.writingCallbacks
	q.writingCallbacks = nil
	for _, callback := range callbacks {
		callback(now)
	}
}

// fail ends a write that has failed. Its records may be durable or not, so they are written again with the next group.
func (q *writeQueue) fail(records []Record, err error) {
	q.writing, q.err = false, LedgerWriteError{err}
	for _, record := range records {
		q.markChanged(nil, record.Key)
	}
}

// NextWrite returns the group of records to be written now; the store must write all of them or none. It returns nil if
// nothing has changed, or if the latest group is still being written. The caller calls WriteCompleted when the write has
// ended.
func (l *Ledger) NextWrite() []Record {
	var records []Record
	for _, key := range l.writes.begin() {
		record, err := l.encode(key)
		if err != nil { // does not happen: the values of records can always be encoded
			continue
		}
		records = append(records, record)
	}
	return records
}

// WriteCompleted reports to the ledger that the records of the latest NextWrite are durable, or, if err is not nil, that
// they may not be. After an error, rights that were removed from records stay removed, and rights that were to be added
// can be used once a later write of the records has succeeded.
func (l *Ledger) WriteCompleted(now time.Duration, records []Record, err error) {
	if err != nil {
		l.writes.fail(records, err)
		return
	}
	l.writes.succeed(now)
}

// WriteError returns the LedgerWriteError of the latest write, or nil if that write did not fail.
func (l *Ledger) WriteError() error { return l.writes.err }
