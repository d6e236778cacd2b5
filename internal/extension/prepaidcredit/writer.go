package prepaidcredit

import (
	"hillknot/internal/credit"
	"hillknot/internal/credit/store"
)

// recordWriter writes groups of records to a file on a goroutine of its own, one group at a time: a write waits for the
// disk, which the core must not.
type recordWriter struct {
	file      *store.File
	completed func() // called on the writer's goroutine once result has the result of a write

	groups  chan []credit.Record
	results chan error
	done    chan struct{}
}

func newRecordWriter(file *store.File, completed func()) *recordWriter {
	return &recordWriter{
		file:      file,
		completed: completed,
		groups:    make(chan []credit.Record, 1),
		results:   make(chan error, 1),
		done:      make(chan struct{}),
	}
}

// start starts the goroutine. stop ends it.
func (w *recordWriter) start() {
	go func() {
		defer close(w.done)
		for group := range w.groups {
			w.results <- w.file.Write(group)
			w.completed()
		}
	}()
}

// write has a group written. It doesn't block, as long as the result of the group before has been taken.
func (w *recordWriter) write(group []credit.Record) { w.groups <- group }

// result waits for the result of a write.
func (w *recordWriter) result() error { return <-w.results }

// stop ends the goroutine, and waits for its end. No group may be written after it.
func (w *recordWriter) stop() {
	close(w.groups)
	<-w.done
}
