package wal

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"
)

func replayed(recovered Recovered) []string {
	var found []string
	if len(recovered.Snapshot) > 0 {
		found = append(found, string(recovered.Snapshot))
	}
	for _, entry := range recovered.Entries {
		found = append(found, string(entry))
	}
	return found
}

func TestLogKeepsSyncedEntriesAcrossPowerLosses(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		disk := NewMemoryFolder()
		var durable []string
		for round := range 12 {
			log, recovered, err := Open(disk)
			assert.NilError(t, err, "seed %d round %d", seed, round)
			assert.DeepEqual(t, replayed(recovered), durable)
			for step := range random.IntN(8) {
				if random.IntN(4) == 0 {
					snapshot := fmt.Sprintf("snapshot %d.%d", round, step)
					assert.NilError(t, log.Checkpoint([]byte(snapshot)))
					durable = []string{snapshot}
					continue
				}
				var entries [][]byte
				for number := range 1 + random.IntN(3) {
					text := fmt.Sprintf("entry %d.%d.%d", round, step, number)
					entries = append(entries, []byte(text))
					durable = append(durable, text)
				}
				assert.NilError(t, log.Append(entries))
			}
			if random.IntN(2) == 0 {
				torn := appendRecord(nil, log.generation, []byte("never synced"))
				assert.NilError(t, disk.Append(logName(log.generation), torn[:random.IntN(len(torn))]))
				disk.LosePower(random.IntN)
			} else if random.IntN(3) == 0 {
				generation := log.generation + 1
				body := appendRecord(fileHeader(slotMagic, generation), generation, []byte("snapshot that is torn"))
				assert.NilError(t, disk.Create(slotName(generation), body[:random.IntN(len(body))]))
			}
		}
	}
}

func TestOpenReportsDamagedEntries(t *testing.T) {
	for offset := fileHeaderSize; offset < 80; offset++ {
		disk := NewMemoryFolder()
		log, _, err := Open(disk)
		assert.NilError(t, err)
		for number := range 6 {
			assert.NilError(t, log.Append([][]byte{[]byte(fmt.Sprintf("entry number %d", number))}))
		}
		assert.Assert(t, disk.Corrupt(logName(log.generation), offset))
		_, _, err = Open(disk)
		assert.Assert(t, errorx.IsOfType(err, ErrDamaged), "byte %d: %v", offset, err)
	}
}

func TestOpenFallsBackToOlderSlot(t *testing.T) {
	disk := NewMemoryFolder()
	log, _, err := Open(disk)
	assert.NilError(t, err)
	assert.NilError(t, log.Checkpoint([]byte("first")))
	assert.NilError(t, log.Append([][]byte{[]byte("a")}))
	assert.NilError(t, log.Checkpoint([]byte("second")))
	assert.NilError(t, log.Append([][]byte{[]byte("b")}))
	disk.Corrupt(slotName(log.generation), fileHeaderSize+recordHeaderSize+1)
	_, recovered, err := Open(disk)
	assert.NilError(t, err)
	assert.DeepEqual(t, replayed(recovered), []string{"first", "a", "b"})
}

// fullFolder writes only a part of the appended bytes while it is full.
type fullFolder struct {
	*MemoryFolder
	full, syncFails bool
}

func (ff *fullFolder) Append(name string, body []byte) error {
	if ff.full {
		_ = ff.MemoryFolder.Append(name, body[:len(body)/2])
		return errors.New("no space left")
	}
	return ff.MemoryFolder.Append(name, body)
}

func (ff *fullFolder) Sync(name string) error {
	if ff.syncFails {
		return errors.New("not synced")
	}
	return ff.MemoryFolder.Sync(name)
}

func TestLogAppendMayBeRepeatedAfterErrors(t *testing.T) {
	folder := &fullFolder{MemoryFolder: NewMemoryFolder()}
	log, _, err := Open(folder)
	assert.NilError(t, err)
	assert.NilError(t, log.Append([][]byte{[]byte("a")}))
	folder.full = true
	for range 3 {
		assert.Assert(t, errorx.IsOfType(log.Append([][]byte{[]byte("second entry")}), ErrDisk))
	}
	_, recovered, err := Open(folder.MemoryFolder)
	assert.NilError(t, err)
	assert.DeepEqual(t, replayed(recovered), []string{"a"})
	folder.full, folder.syncFails = false, true
	assert.Assert(t, errorx.IsOfType(log.Append([][]byte{[]byte("second entry")}), ErrDisk))
	folder.syncFails = false
	assert.NilError(t, log.Append([][]byte{[]byte("second entry")}))
	assert.NilError(t, log.Append([][]byte{[]byte("third")}))
	folder.LosePower(nil)
	_, recovered, err = Open(folder)
	assert.NilError(t, err)
	assert.DeepEqual(t, replayed(recovered), []string{"a", "second entry", "third"})
}

func FuzzOpen(f *testing.F) {
	f.Add([]byte(slotMagic), []byte(logMagic))
	f.Fuzz(func(t *testing.T, slotBody, logBody []byte) {
		disk := NewMemoryFolder()
		_ = disk.Create("slot-odd", slotBody)
		_ = disk.Create("log-1", logBody)
		log, recovered, err := Open(disk)
		if err == nil {
			assert.NilError(t, log.Append([][]byte{[]byte("after")}))
			_, again, err := Open(disk)
			assert.NilError(t, err)
			assert.Equal(t, len(again.Entries), len(recovered.Entries)+1)
		}
	})
}
