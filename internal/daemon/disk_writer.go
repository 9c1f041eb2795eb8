package daemon

import (
	"sync/atomic"
	"time"

	"dahlialock/internal/logevent"
	"dahlialock/internal/statemachine"
	"dahlialock/internal/wal"
)

const (
	// diskRetryInterval is the pause after a write that failed.
	diskRetryInterval = 200 * time.Millisecond
	// diskReportEvery is how many failed attempts there are to one log event.
	diskReportEvery = 50
)

// diskWriter writes to the log on disk, on a goroutine of its own. It is given
// the writes of one or more steps at a time, and syncs their entries together.
type diskWriter struct {
	log    *wal.Log
	logger *logevent.Logger
	// requests receives writes, one batch at a time; synced returns the tokens of
	// each batch once it is on disk.
	requests chan []statemachine.Write
	synced   chan []uint64
	// unavailable is called after each write that failed.
	unavailable func()
	// stopped ends the attempts to write.
	stopped <-chan struct{}
	// delay is added to each batch by a trial, in nanoseconds.
	delay atomic.Int64
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

// writeBatch writes entries and snapshots in order, and returns the tokens.
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

// retry repeats a write until the disk takes it. Meanwhile nothing counts as
// stored, and the machine is notified of each failure, so that other daemons can
// take its part. It gives up once the machine has stopped: the tokens of the batch
// then go to synced although it isn't on disk, and nobody acts on them any more.
func (dw *diskWriter) retry(write func() error) {
	for attempt := 0; ; attempt++ {
		err := write()
		if err == nil {
			return
		}
		if attempt%diskReportEvery == 0 {
			dw.logger.Report(logevent.DiskWriteFailed, "error", err.Error(), "tries", attempt+1)
		}
		dw.unavailable()
		select {
		case <-dw.stopped:
			return
		case <-time.After(diskRetryInterval):
		}
	}
}
