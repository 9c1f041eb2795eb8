// The log against a checker: whatever the disk loses at a power cut, what
// was synced is there again, and damage to synced bytes is never passed over.
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

func TestSyncedEntriesOutlastPowerCuts(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		disk := NewMemoryFolder()
		var lasting []string
		for round := range 12 {
			book, recovered, err := Open(disk)
			assert.NilError(t, err, "seed %d round %d", seed, round)
			assert.DeepEqual(t, replayed(recovered), lasting)
			for step := range random.IntN(8) {
				if random.IntN(4) == 0 {
					frame := fmt.Sprintf("frame %d.%d", round, step)
					assert.NilError(t, book.Checkpoint([]byte(frame)))
					lasting = []string{frame}
					continue
				}
				var entries [][]byte
				for number := range 1 + random.IntN(3) {
					text := fmt.Sprintf("entry %d.%d.%d", round, step, number)
					entries = append(entries, []byte(text))
					lasting = append(lasting, text)
				}
				assert.NilError(t, book.Append(entries))
			}
			if random.IntN(2) == 0 {
				torn := appendEntry(nil, book.generation, []byte("never synced"))
				assert.NilError(t, disk.Append(logName(book.generation), torn[:random.IntN(len(torn))]))
				disk.LosePower(random.IntN)
			} else if random.IntN(3) == 0 {
				generation := book.generation + 1
				body := appendEntry(seal(slotMagic, generation), generation, []byte("frame that was cut"))
				assert.NilError(t, disk.Create(slotName(generation), body[:random.IntN(len(body))]))
			}
		}
	}
}

func TestDamageIsReported(t *testing.T) {
	for at := prefixSize; at < 80; at++ {
		disk := NewMemoryFolder()
		book, _, err := Open(disk)
		assert.NilError(t, err)
		for number := range 6 {
			assert.NilError(t, book.Append([][]byte{[]byte(fmt.Sprintf("entry number %d", number))}))
		}
		assert.Assert(t, disk.Corrupt(logName(book.generation), at))
		_, _, err = Open(disk)
		assert.Assert(t, errorx.IsOfType(err, ErrDamaged), "byte %d: %v", at, err)
	}
}

func TestDamagedNewestSlotFallsBack(t *testing.T) {
	disk := NewMemoryFolder()
	book, _, err := Open(disk)
	assert.NilError(t, err)
	assert.NilError(t, book.Checkpoint([]byte("first")))
	assert.NilError(t, book.Append([][]byte{[]byte("a")}))
	assert.NilError(t, book.Checkpoint([]byte("second")))
	assert.NilError(t, book.Append([][]byte{[]byte("b")}))
	disk.Corrupt(slotName(book.generation), prefixSize+entryHeader+1)
	_, recovered, err := Open(disk)
	assert.NilError(t, err)
	assert.DeepEqual(t, replayed(recovered), []string{"first", "a", "b"})
}

// fullFolder takes only a part of what is appended while it is full.
type fullFolder struct {
	*MemoryFolder
	full, hoarse bool
}

func (ff *fullFolder) Append(name string, body []byte) error {
	if ff.full {
		_ = ff.MemoryFolder.Append(name, body[:len(body)/2])
		return errors.New("no space left")
	}
	return ff.MemoryFolder.Append(name, body)
}

func (ff *fullFolder) Sync(name string) error {
	if ff.hoarse {
		return errors.New("not synced")
	}
	return ff.MemoryFolder.Sync(name)
}

func TestARefusedWriteIsTriedAgain(t *testing.T) {
	folder := &fullFolder{MemoryFolder: NewMemoryFolder()}
	book, _, err := Open(folder)
	assert.NilError(t, err)
	assert.NilError(t, book.Append([][]byte{[]byte("a")}))
	folder.full = true
	for range 3 {
		assert.Assert(t, errorx.IsOfType(book.Append([][]byte{[]byte("second entry")}), ErrDisk))
	}
	_, recovered, err := Open(folder.MemoryFolder)
	assert.NilError(t, err)
	assert.DeepEqual(t, replayed(recovered), []string{"a"})
	folder.full, folder.hoarse = false, true
	assert.Assert(t, errorx.IsOfType(book.Append([][]byte{[]byte("second entry")}), ErrDisk))
	folder.hoarse = false
	assert.NilError(t, book.Append([][]byte{[]byte("second entry")}))
	assert.NilError(t, book.Append([][]byte{[]byte("third")}))
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
		book, recovered, err := Open(disk)
		if err == nil {
			assert.NilError(t, book.Append([][]byte{[]byte("after")}))
			_, again, err := Open(disk)
			assert.NilError(t, err)
			assert.Equal(t, len(again.Entries), len(recovered.Entries)+1)
		}
	})
}
