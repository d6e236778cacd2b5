// Package prepaidcredit ties prepaid credit into the core: it carries out what a credit.Ledger decides, writes the
// ledger's records, and passes requests of the core and packets of other routers to it. Only programs built with the
// tag cluster contain it.
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

// writeRetryInterval is how long after a failed write the records are written again.
const writeRetryInterval = 500 * time.Millisecond

// Transport sends packets to other routers. No method may block.
type Transport interface {
	// SendCreditPackets sends packets of the ledger. Packets may be lost.
	SendCreditPackets([]messaging.Packet)
	// Alive returns the names of the other routers that are alive, in order, and how many routers keep orders.
	Alive() (others []string, owners int)
}

// Settings are what the extension needs beside credit.Settings.
type Settings struct {
	TopUpFile    string // the path of the file of top-ups
	AllowUnnamed bool   // requests without an account are free
}

// Extension implements core.Credit. Its methods are called on the core's goroutine, but for ReloadTopUps.
type Extension struct {
	core         *core.Core
	settings     Settings
	tickInterval time.Duration
	ledger       *credit.Ledger
	transport    Transport
	metrics      []core.Metric
	loggedFault  string // the fault that was logged last; empty if there is none

	file    *store.File
	writer  *recordWriter
	writing []credit.Record // the group that is being written; nil if none is
	closed  bool            // Close was called: nothing more is written
}

// Open opens the ledger's file, or creates it, and reads the top-ups. The LedgerID of the credit settings is that of
// the file, whatever the caller sets. An error is one of package store, credit or topups.
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

// Start has the core charge requests to their accounts, and starts the goroutine that writes records. Close ends it.
func (e *Extension) Start() {
	e.writer.start()
	e.core.SetCredit(e)
	e.tick()
}

// Close implements core.Credit: what is available goes back to the ledger's records. It blocks until these are
// durable, and no goroutine of the extension is left.
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
	_ = e.file.Close() // all is written, or the log has the error
}

// ReloadTopUps reads the file of top-ups again and waits until the ledger has it. A faulty file changes nothing. It
// may be called on any goroutine but the core's.
func (e *Extension) ReloadTopUps() error {
	list, err := topups.Read(e.settings.TopUpFile)
	if err != nil {
		return err
	}
	result := make(chan error, 1)
	e.core.Post(func() { result <- e.ledger.ApplyTopUps(list) })
	return <-result
}

// ReceivePacket handles a packet of another router.
func (e *Extension) ReceivePacket(data []byte) { e.ledger.ReceivePacket(e.core.LoopTime(), data) }

// Flush implements core.Credit: it has records written and sends packets.
func (e *Extension) Flush() {
	if e.ledger.WriteError() == nil { // else they are written at the next retry
		e.write()
	}
	if packets := e.ledger.OutgoingPackets(e.core.LoopTime()); len(packets) > 0 {
		e.transport.SendCreditPackets(packets)
	}
}

// tick calls the ledger's Tick, now and at each interval until the extension is closed.
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

// logFault logs, once for each change, why the ledger isn't written or may not be used.
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

// write hands the records that have changed to the writer, unless it still writes others.
func (e *Extension) write() {
	if e.writing != nil || e.closed {
		return
	}
	if e.writing = e.ledger.NextWrite(); e.writing != nil {
		e.writer.write(e.writing)
	}
}

// writeCompleted is called once the writer has a result. Close may have taken that.
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
