// Package prepaidcredit adds prepaid credit to the core: it passes requests of the core and packets of other routers to a
// credit.Ledger, writes the ledger's records and sends its packets. Only programs built with the tag cluster contain it.
package prepaidcredit

import (
	"errors"
	"time"

	"hillknot/internal/cluster/messaging"
	"hillknot/internal/core"
	"hillknot/internal/credit"
	"hillknot/internal/credit/store"
	"hillknot/internal/credit/topups"
	"hillknot/internal/logging"
	"hillknot/internal/operatorhint"
)

var log = logging.For("credit")

// writeRetryInterval is the delay after a failed write until the records are written again.
const writeRetryInterval = 500 * time.Millisecond

// Transport sends packets to other routers. No method may block.
type Transport interface {
	// SendCreditPackets sends packets of the ledger. Packets may be lost.
	SendCreditPackets([]messaging.Packet)
	// Alive returns the sorted names of the other routers that are alive, and how many routers own shares of the budgets.
	Alive() (others []string, owners int)
}

// Settings configures the extension, in addition to credit.Settings.
type Settings struct {
	TopUpFile    string // path of the file of top-ups
	AllowUnnamed bool   // requests without an account are free
}

// Extension implements core.Credit. Its methods must be called on the core's goroutine, except for ReloadTopUps.
type Extension struct {
	core         *core.Core
	settings     Settings
	tickInterval time.Duration
	ledger       *credit.Ledger
	transport    Transport
	metrics      []core.Metric
	loggedFault  string // the fault that was logged last, or "" if none has been logged since the latest recovery

	file    *store.File
	writer  *recordWriter
	writing []credit.Record // the group that is being written, or nil
	closed  bool            // Close was called, so the writer gets no more groups
}

// Open opens the ledger's file, or creates it, and reads the top-ups. It replaces the LedgerID of the credit settings by
// that of the file. An error comes from package store, credit or topups.
func Open(
	c *core.Core, path string, creditSettings credit.Settings, settings Settings, transport Transport,
) (*Extension, error) {
	file, records, err := store.Open(path, creditSettings.Router)
	if err != nil {
		return nil, err
	}
	creditSettings.LedgerID = file.LedgerID
	ledger, err := newLedger(creditSettings, records, settings.TopUpFile)
	if err != nil {
		_ = file.Close() // the first error is the one to report
		return nil, err
	}
	e := &Extension{
		core:         c,
		settings:     settings,
		tickInterval: creditSettings.TickInterval,
		ledger:       ledger,
		transport:    transport,
		file:         file,
	}
	e.writer = newRecordWriter(file, func() { c.Post(e.writeCompleted) })
	return e, nil
}

func newLedger(settings credit.Settings, records []credit.Record, topUpFile string) (*credit.Ledger, error) {
	ledger, err := credit.New(settings, records)
	if err != nil {
		return nil, err
	}
	list, err := topups.Read(topUpFile)
	if err != nil {
		return nil, err
	}
	return ledger, ledger.ApplyTopUps(list)
}

// Start starts the goroutine that writes records, which Close ends, sets the extension as the core's Credit and runs the
// first tick.
func (e *Extension) Start() {
	e.writer.start()
	e.core.SetCredit(e)
	e.tick()
}

// Close implements core.Credit: it returns available rights to the ledger's records. It blocks until the records are
// durable or their write has failed, and until the goroutine that writes records has ended.
func (e *Extension) Close() {
	e.closed = true
	e.ledger.Close()
	if e.writing != nil { // the group that is being written comes first
		e.completeWrite(e.writer.result())
	}
	e.writer.stop()
	if records := e.ledger.NextWrite(); len(records) > 0 {
		if err := e.file.Write(records); err != nil {
			log.Error("unspent credit not returned to the ledger", operatorhint.Attr(credit.LedgerWriteError{Err: err}))
		}
	}
	_ = e.file.Close() // all records are written, or the error is logged
}

// ReloadTopUps reads the file of top-ups again and waits until the ledger has applied or rejected it. A faulty file
// changes nothing. ReloadTopUps may be called on any goroutine except the core's, on which it would block forever.
func (e *Extension) ReloadTopUps() error {
	list, err := topups.Read(e.settings.TopUpFile)
	if err != nil {
		return err
	}
	result := make(chan error, 1)
	e.core.Post(func() { result <- e.ledger.ApplyTopUps(list) })
	return <-result
}

// ReceivePacket handles a packet from another router.
func (e *Extension) ReceivePacket(data []byte) { e.ledger.ReceivePacket(e.core.LoopTime(), data) }

// Flush implements core.Credit: it hands changed records to the writer and sends the packets that are due.
func (e *Extension) Flush() {
	if e.ledger.WriteError() == nil { // otherwise the records are written at the next retry
		e.write()
	}
	if packets := e.ledger.OutgoingPackets(e.core.LoopTime()); len(packets) > 0 {
		e.transport.SendCreditPackets(packets)
	}
}

// tick calls the ledger's Tick now and once per tick interval, until the extension is closed.
func (e *Extension) tick() {
	if e.closed {
		return
	}
	now := e.core.LoopTime()
	others, _ := e.transport.Alive()
	e.ledger.SetPeers(others)
	e.ledger.Tick(now)
	e.logFault()
	e.metrics = ledgerMetrics(e.ledger.Totals, e.ledger.AccountStatuses(now))
	e.core.Schedule(now+e.tickInterval, e.tick)
}

// logFault logs why the ledger cannot be written or its identity is in doubt, and the recovery from such faults. It logs
// once for each change.
func (e *Extension) logFault() {
	err := errors.Join(e.ledger.WriteError(), e.ledger.IdentityError())
	fault := ""
	if err != nil {
		fault = err.Error()
	}
	if fault == e.loggedFault {
		return
	}
	e.loggedFault = fault
	if err != nil {
		log.Error("prepaid credit fault", operatorhint.Attr(err))
	} else {
		log.Info("prepaid credit recovered")
	}
}

// write hands the records that have changed to the writer, unless the writer is still busy or the extension is closed.
func (e *Extension) write() {
	if e.writing != nil || e.closed {
		return
	}
	if e.writing = e.ledger.NextWrite(); e.writing != nil {
		e.writer.write(e.writing)
	}
}

// writeCompleted is called on the core's goroutine once the writer has a result, which Close may already have taken.
func (e *Extension) writeCompleted() {
	if e.writing == nil {
		return
	}
	if err := e.writer.result(); err != nil {
		e.completeWrite(err)
		e.core.Schedule(e.core.LoopTime()+writeRetryInterval, e.write)
		return
	}
	e.completeWrite(nil)
	e.write()
}

func (e *Extension) completeWrite(err error) {
	records := e.writing
	e.writing = nil
	e.ledger.WriteCompleted(e.core.LoopTime(), records, err)
}
