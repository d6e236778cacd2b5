package prepaidcredit

import (
	"hillknot/internal/credit"
	"hillknot/internal/credit/store"
)

// recordWriter writes groups of records to a file on its own goroutine, one group at a time, because a write waits for
// the disk, and the core's goroutine must not.
type recordWriter struct {
	file      *store.File
	completed func() // called on the writer's goroutine after each write, once its result is ready

	groups  chan []credit.Record
	results chan error
	done    chan struct{} // closed when the goroutine has ended
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

// write passes a group to the goroutine. It does not block if the result of the previous group has been taken.
func (w *recordWriter) write(group []credit.Record) { w.groups <- group }

// result waits for a write to complete and returns its error.
func (w *recordWriter) result() error { return <-w.results }

// stop ends the goroutine and waits until it has ended. write must not be called after it.
func (w *recordWriter) stop() {
	close(w.groups)
	<-w.done
}
