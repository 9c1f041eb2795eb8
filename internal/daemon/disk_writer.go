package daemon

import (
	"sync/atomic"
	"time"

	"dahlialock/internal/logevent"
	"dahlialock/internal/statemachine"
	"dahlialock/internal/wal"
)

const (
	// diskRetryInterval is the pause after a failed attempt to write to, or open, the
	// log on disk.
	diskRetryInterval = 200 * time.Millisecond
	// diskReportEvery is the number of failed attempts per log event.
	diskReportEvery = 50
)

// diskWriter writes to the log on disk, on a separate goroutine. Each batch has the
// writes of one or more steps, whose entries are synced together.
type diskWriter struct {
	log    *wal.Log
	logger *logevent.Logger
	// requests receives one batch of writes at a time; the tokens of each batch are
	// sent to synced once the batch is on disk.
	requests chan []statemachine.Write
	synced   chan []uint64
	// onWriteFailed is called after each failed write.
	onWriteFailed func()
	// stopped is closed once the state machine has stopped, which ends the retries.
	stopped <-chan struct{}
	// delay is an artificial delay of each batch for trials, in nanoseconds.
	delay atomic.Int64
	// syncs is a copy of log.Syncs that other goroutines may read.
	syncs atomic.Int64
}

// run writes batches for as long as the process runs; requests is never closed.
func (dw *diskWriter) run() {
	for writes := range dw.requests {
		if delay := time.Duration(dw.delay.Load()); delay > 0 {
			time.Sleep(delay)
		}
		tokens := dw.writeBatch(writes)
		dw.syncs.Store(dw.log.Syncs)
		dw.synced <- tokens
	}
}

// writeBatch writes the entries and snapshots of a batch in order, and returns the
// tokens of the batch.
func (dw *diskWriter) writeBatch(writes []statemachine.Write) []uint64 {
	var tokens []uint64
	var entries [][]byte
	appendEntries := func() {
		if len(entries) == 0 {
			return
		}
		batch := entries
		dw.retry(func() error { return dw.log.Append(batch) })
		entries = nil
	}
	for _, write := range writes {
		if snapshot, found := write.SnapshotBytes(); found {
			appendEntries()
			dw.retry(func() error { return dw.log.Checkpoint(snapshot) })
		}
		entries = append(entries, write.Entries...)
		tokens = append(tokens, write.Token)
	}
	appendEntries()
	return tokens
}

// retry repeats a write until it succeeds. Until then, nothing of the batch is
// acknowledged as stored. The state machine is notified of each failure, so that other
// daemons can take over from it. retry gives up once the state machine has stopped.
// The tokens of the batch are then still sent to synced although the batch isn't on
// disk, but no one acts on them any more.
func (dw *diskWriter) retry(write func() error) {
	for attempt := 0; ; attempt++ {
		err := write()
		if err == nil {
			return
		}
		if attempt%diskReportEvery == 0 {
			dw.logger.Report(logevent.DiskWriteFailed, "error", err.Error(), "tries", attempt+1)
		}
		dw.onWriteFailed()
		select {
		case <-dw.stopped:
			return
		case <-time.After(diskRetryInterval):
		}
	}
}
