package wal

// These tests compare the log with a model of the entries that must be recovered. The power is
// lost, or only the process ends, between any two operations on the disk, repeatedly; names,
// writes and parts of writes that were not synced survive or are lost independently.

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"
)

// testingT is the part of testing.TB that a run needs. The mutation tests substitute one that is
// expected to fail.
type testingT interface {
	assert.TestingT
	Helper()
}

// writer is the owner of a log. Its state is the list of all entries that it has written.
type writer struct {
	t      testingT
	random *rand.Rand
	disk   *MemoryFolder
	log    *Log
	// acked must be recovered, followed by any prefix of batch, whose write was not acknowledged.
	acked, batch []string
	number       int
}

// stop ends the process or cuts the power.
func (w *writer) stop() {
	if w.random.IntN(3) == 0 {
		w.disk.Restart()
		return
	}
	w.disk.LosePower(w.random.IntN)
}

// open recovers the log, retrying as often as the disk fails, and checks the recovered entries.
func (w *writer) open(seed uint64) {
	w.t.Helper()
	for {
		w.disk.FailAfter(w.random.IntN(12))
		log, recovered, err := Open(w.disk)
		if errorx.IsOfType(err, ErrDisk) {
			w.stop()
			continue
		}
		w.disk.Restart()
		assert.NilError(w.t, err, "seed %d", seed)
		found := recoveredEntries(recovered)
		unacked := len(found) - len(w.acked)
		valid := unacked >= 0 && unacked <= len(w.batch) &&
			slices.Equal(found[:len(w.acked)], w.acked) &&
			slices.Equal(found[len(w.acked):], w.batch[:unacked])
		assert.Assert(w.t, valid, "seed %d: recovered %q; acknowledged %q, pending %q", seed, found, w.acked, w.batch)
		// Everything that Open returned is durable from now on.
		w.log, w.acked, w.batch = log, found, nil
		return
	}
}

func recoveredEntries(recovered Recovered) []string {
	found := []string{}
	if len(recovered.Snapshot) > 0 {
		found = strings.Split(string(recovered.Snapshot), ",")
	}
	for _, entry := range recovered.Entries {
		found = append(found, string(entry))
	}
	return found
}

// write writes a checkpoint or appends a batch, and reports whether it succeeded.
func (w *writer) write() bool {
	if w.random.IntN(3) == 0 {
		return w.log.Checkpoint([]byte(strings.Join(w.acked, ","))) == nil
	}
	var entries [][]byte
	for range 1 + w.random.IntN(4) {
		w.number++
		text := fmt.Sprint("entry-", w.number, strings.Repeat("x", w.random.IntN(20)))
		w.batch = append(w.batch, text)
		entries = append(entries, []byte(text))
	}
	if w.log.Append(entries) != nil {
		return false
	}
	w.acked, w.batch = append(w.acked, w.batch...), nil
	return true
}

func stopAtAnyMoment(t testingT, seed uint64) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 0x3a1))
	owner := &writer{t: t, random: random, disk: NewMemoryFolder(), acked: []string{}}
	for range 10 {
		owner.open(seed)
		owner.disk.FailAfter(random.IntN(40))
		for owner.write() {
		}
		owner.stop()
	}
}

func TestLogKeepsSyncedEntriesWhenStoppedAtAnyMoment(t *testing.T) {
	for seed := range uint64(4000) {
		stopAtAnyMoment(t, seed)
	}
}

// quarantineAtAnyMoment interrupts a quarantine at any operation. Either all entries or none must
// be recovered, and entries written later must be recovered again.
func quarantineAtAnyMoment(t testingT, seed uint64) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 0xa51de))
	owner := &writer{t: t, random: random, disk: NewMemoryFolder(), acked: []string{}}
	owner.open(seed)
	for range 1 + random.IntN(12) {
		assert.Assert(t, owner.write())
	}
	before := owner.acked
	owner.disk.FailAfter(random.IntN(14))
	_ = Quarantine(owner.disk)
	owner.stop()
	var recovered Recovered
	var err error
	for {
		owner.disk.FailAfter(random.IntN(14))
		if owner.log, recovered, err = Open(owner.disk); err == nil {
			break
		}
		assert.Assert(t, errorx.IsOfType(err, ErrDisk), "seed %d: %v", seed, err)
		owner.stop()
	}
	owner.disk.Restart()
	found := recoveredEntries(recovered)
	assert.Assert(t, len(found) == 0 || slices.Equal(found, before), "seed %d: recovered %q of %q", seed, found, before)
	owner.acked, owner.batch = found, nil
	for range 5 {
		owner.disk.FailAfter(random.IntN(30))
		for owner.write() {
		}
		owner.stop()
		owner.open(seed)
	}
}

func TestQuarantineIsAtomic(t *testing.T) {
	for seed := range uint64(2000) {
		quarantineAtAnyMoment(t, seed)
	}
}

// In steady operation, a checkpoint creates no names, so the folder isn't synced.
func TestLogCheckpointCostsTwoSyncs(t *testing.T) {
	disk := NewMemoryFolder()
	log, _, err := Open(disk)
	assert.NilError(t, err)
	for range 6 {
		assert.NilError(t, log.Checkpoint([]byte("state")))
	}
	before := disk.Syncs
	assert.NilError(t, log.Checkpoint([]byte("state")))
	assert.Equal(t, disk.Syncs-before, 2)
	assert.DeepEqual(t, disk.Names(), []string{"log-0", "log-1", "log-2", "slot-even", "slot-odd"})
}

func TestOpenReportsDamagedLogHeader(t *testing.T) {
	for offset := range fileHeaderSize {
		disk := NewMemoryFolder()
		log, _, err := Open(disk)
		assert.NilError(t, err)
		assert.NilError(t, log.Append([][]byte{[]byte("an entry")}))
		disk.Corrupt(logName(log.generation), offset)
		_, _, err = Open(disk)
		assert.Assert(t, errorx.IsOfType(err, ErrDamaged), "byte %d: %v", offset, err)
	}
}
