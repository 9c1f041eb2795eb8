package partition

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// diskFixture is a store of which only the writes to disk are tested.
type diskFixture struct {
	store *Store
	now   time.Time
}

func newDiskFixture(t *testing.T) *diskFixture {
	t.Helper()
	self := membership.Member{
		Name:        "store-1",
		Kind:        membership.KindStore,
		Address:     "a:1",
		Incarnation: 1,
		Alive:       true,
	}
	store, err := New(Settings{Self: self, NewDisk: "disk-1", Seeds: []string{"c:1"}}, nil, nil)
	assert.NilError(t, err)
	store.view.Members[self.Name] = self
	return &diskFixture{store: store, now: testStart}
}

// write starts a small write and returns its token.
func (f *diskFixture) write() uint64 {
	var effects statemachine.Effects
	f.store.write(f.now, nil, statemachine.Write{Entries: [][]byte{{1}}}, &effects)
	return f.store.writes.token
}

// checkpoint starts a checkpoint and returns its token.
func (f *diskFixture) checkpoint() uint64 {
	var effects statemachine.Effects
	f.store.checkpoint(f.now, &effects)
	return f.store.writes.token
}

// reportsAfter reports whether the store reports its own disk after a delay.
func (f *diskFixture) reportsAfter(wait time.Duration) bool {
	f.now = f.now.Add(wait)
	var effects statemachine.Effects
	f.store.reportSlowDisks(f.now, &effects)
	return len(effects.Sends) > 0
}

func (f *diskFixture) synced(token uint64) {
	var effects statemachine.Effects
	f.store.handleSynced(f.now, token, &effects)
}

func TestStoreReportsStalledWrite(t *testing.T) {
	disk := newDiskFixture(t)
	disk.write()
	assert.Assert(t, !disk.reportsAfter(diskStallTimeout))
	assert.Assert(t, disk.reportsAfter(time.Millisecond))
}

// reportsLargeCheckpoint reports whether a store that writes a large checkpoint, and a small
// write behind it, reports its disk during the checkpoint or afterwards.
func reportsLargeCheckpoint(t *testing.T) bool {
	t.Helper()
	disk := newDiskFixture(t)
	checkpoint := disk.checkpoint()
	disk.now = disk.now.Add(10 * time.Millisecond)
	behind := disk.write()
	reported := disk.reportsAfter(900 * time.Millisecond)
	disk.synced(checkpoint)
	reported = reported || disk.reportsAfter(100*time.Millisecond)
	disk.synced(behind)
	return reported || disk.reportsAfter(slowDiskReportInterval)
}

func TestStoreDoesNotReportLargeCheckpoint(t *testing.T) {
	assert.Assert(t, !reportsLargeCheckpoint(t))
}

func TestStoreReportsStalledCheckpoint(t *testing.T) {
	disk := newDiskFixture(t)
	disk.checkpoint()
	disk.write()
	assert.Assert(t, !disk.reportsAfter(maxCheckpointTime+diskStallTimeout))
	assert.Assert(t, disk.reportsAfter(time.Millisecond))
}

func TestStoreReportsStalledWriteBeforeCheckpoint(t *testing.T) {
	disk := newDiskFixture(t)
	disk.write()
	disk.checkpoint()
	assert.Assert(t, disk.reportsAfter(diskStallTimeout+time.Millisecond))
}
