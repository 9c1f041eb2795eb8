// A disk that is slow is told of; a checkpoint that takes its time is not, nor what waits
// behind it.
package partition

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// writing is a store of which only the disk matters.
type writing struct {
	store *Store
	now   time.Time
}

func newWriting(t *testing.T) *writing {
	t.Helper()
	self := membership.Member{Name: "store-1", Kind: membership.KindStore, Address: "a:1", Incarnation: 1, Alive: true}
	store, err := New(Settings{Self: self, NewDisk: "disk-1", Seeds: []string{"c:1"}}, nil, nil)
	assert.NilError(t, err)
	store.view.Members[self.Name] = self
	return &writing{store: store, now: began}
}

// writes begins a write and gives its token.
func (w *writing) writes() uint64 {
	var effects statemachine.Effects
	w.store.write(w.now, nil, statemachine.Write{Entries: [][]byte{{1}}}, &effects)
	return w.store.writes.token
}

func (w *writing) checkpoints() uint64 {
	var effects statemachine.Effects
	w.store.checkpoint(w.now, &effects)
	return w.store.writes.token
}

// lags tells whether the store tells of its own disk after a while.
func (w *writing) lags(wait time.Duration) bool {
	w.now = w.now.Add(wait)
	var effects statemachine.Effects
	w.store.reportSlowDisks(w.now, &effects)
	return len(effects.Sends) > 0
}

func (w *writing) synced(token uint64) {
	var effects statemachine.Effects
	w.store.handleSynced(w.now, token, &effects)
}

func TestAWriteThatStallsIsToldOf(t *testing.T) {
	store := newWriting(t)
	store.writes()
	assert.Assert(t, !store.lags(diskStallTimeout))
	assert.Assert(t, store.lags(time.Millisecond))
}

// largeCheckpoint tells whether a store that writes a large checkpoint, and small writes
// behind it, counts as slow meanwhile or afterwards.
func largeCheckpoint(t *testing.T) bool {
	t.Helper()
	store := newWriting(t)
	checkpoint := store.checkpoints()
	store.now = store.now.Add(10 * time.Millisecond)
	behind := store.writes()
	told := store.lags(900 * time.Millisecond)
	store.synced(checkpoint)
	told = told || store.lags(100*time.Millisecond)
	store.synced(behind)
	return told || store.lags(slowDiskReportInterval)
}

func TestALargeCheckpointIsNoSlowDisk(t *testing.T) {
	assert.Assert(t, !largeCheckpoint(t))
}

func TestADiskThatHangsInACheckpointIsToldOf(t *testing.T) {
	store := newWriting(t)
	store.checkpoints()
	store.writes()
	assert.Assert(t, !store.lags(maxCheckpointTime+diskStallTimeout))
	assert.Assert(t, store.lags(time.Millisecond))
}

func TestWhatStallsBeforeACheckpointIsToldOf(t *testing.T) {
	store := newWriting(t)
	store.writes()
	store.checkpoints()
	assert.Assert(t, store.lags(diskStallTimeout+time.Millisecond))
}
