// The log against a model of what must be there: power is lost, or the process alone
// ends, between any two operations on the disk, again and again; names, writes and
// parts of writes that were not synced are kept or lost one by one.

package wal

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"
)

// trial is what a run reports to: a test, or a proof that a run fails.
type trial interface {
	assert.TestingT
	Helper()
}

// writer is an owner whose state is the list of all that it ever wrote.
type writer struct {
	t      trial
	random *rand.Rand
	disk   *MemoryFolder
	book   *Log
	// acked is what must be there, and batch what may be there behind it, from its
	// beginning on.
	acked, batch []string
	number       int
}

func (w *writer) strike() {
	if w.random.IntN(3) == 0 {
		w.disk.Restart()
		return
	}
	w.disk.LosePower(w.random.IntN)
}

func (w *writer) open(seed uint64) {
	w.t.Helper()
	for {
		w.disk.FailAfter(w.random.IntN(12))
		book, recovered, err := Open(w.disk)
		if errorx.IsOfType(err, ErrDisk) {
			w.strike()
			continue
		}
		w.disk.Restart()
		assert.NilError(w.t, err, "seed %d", seed)
		found := texts(recovered)
		behind := len(found) - len(w.acked)
		whole := behind >= 0 && behind <= len(w.batch) && slices.Equal(found[:len(w.acked)], w.acked) && slices.Equal(found[len(w.acked):], w.batch[:behind])
		assert.Assert(w.t, whole, "seed %d: %q is there, %q was synced, and then came %q", seed, found, w.acked, w.batch)
		// Whoever opened it has told it on.
		w.book, w.acked, w.batch = book, found, nil
		return
	}
}

func texts(recovered Recovered) []string {
	found := []string{}
	if len(recovered.Snapshot) > 0 {
		found = strings.Split(string(recovered.Snapshot), ",")
	}
	for _, entry := range recovered.Entries {
		found = append(found, string(entry))
	}
	return found
}

// write does one thing, and tells whether the disk did it.
func (w *writer) write() bool {
	if w.random.IntN(3) == 0 {
		return w.book.Checkpoint([]byte(strings.Join(w.acked, ","))) == nil
	}
	var entries [][]byte
	for range 1 + w.random.IntN(4) {
		w.number++
		text := fmt.Sprint("entry-", w.number, strings.Repeat("x", w.random.IntN(20)))
		w.batch = append(w.batch, text)
		entries = append(entries, []byte(text))
	}
	if w.book.Append(entries) != nil {
		return false
	}
	w.acked, w.batch = append(w.acked, w.batch...), nil
	return true
}

func loseAtAnyMoment(t trial, seed uint64) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 0x3a1))
	owner := &writer{t: t, random: random, disk: NewMemoryFolder(), acked: []string{}}
	for range 10 {
		owner.open(seed)
		owner.disk.FailAfter(random.IntN(40))
		for owner.write() {
		}
		owner.strike()
	}
}

func TestWhatIsSyncedOutlastsAnyLossAtAnyMoment(t *testing.T) {
	for seed := range uint64(4000) {
		loseAtAnyMoment(t, seed)
	}
}

// A damaged folder is put aside whole: after a loss of power at any moment of it, either
// all is there as it was, or nothing, and what is written then is there again.
func putAsideAtAnyMoment(t trial, seed uint64) {
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
	owner.strike()
	var recovered Recovered
	var err error
	for {
		owner.disk.FailAfter(random.IntN(14))
		if owner.book, recovered, err = Open(owner.disk); err == nil {
			break
		}
		assert.Assert(t, errorx.IsOfType(err, ErrDisk), "seed %d: %v", seed, err)
		owner.strike()
	}
	owner.disk.Restart()
	found := texts(recovered)
	assert.Assert(t, len(found) == 0 || slices.Equal(found, before), "seed %d: %q of %q was left", seed, found, before)
	owner.acked, owner.batch = found, nil
	for range 5 {
		owner.disk.FailAfter(random.IntN(30))
		for owner.write() {
		}
		owner.strike()
		owner.open(seed)
	}
}

func TestADamagedFolderIsPutAsideWholeOrNotAtAll(t *testing.T) {
	for seed := range uint64(2000) {
		putAsideAtAnyMoment(t, seed)
	}
}

// Steady work makes and syncs no names, and a snapshot costs two syncs.
func TestASnapshotCostsTwoSyncs(t *testing.T) {
	disk := NewMemoryFolder()
	book, _, err := Open(disk)
	assert.NilError(t, err)
	for range 6 {
		assert.NilError(t, book.Checkpoint([]byte("state")))
	}
	before := disk.Syncs
	assert.NilError(t, book.Checkpoint([]byte("state")))
	assert.Equal(t, disk.Syncs-before, 2)
	assert.DeepEqual(t, disk.Names(), []string{"log-0", "log-1", "log-2", "slot-even", "slot-odd"})
}

func TestADamagedBeginningOfALogIsReported(t *testing.T) {
	for at := range prefixSize {
		disk := NewMemoryFolder()
		book, _, err := Open(disk)
		assert.NilError(t, err)
		assert.NilError(t, book.Append([][]byte{[]byte("an entry")}))
		disk.Corrupt(logName(book.generation), at)
		_, _, err = Open(disk)
		assert.Assert(t, errorx.IsOfType(err, ErrDamaged), "byte %d: %v", at, err)
	}
}
