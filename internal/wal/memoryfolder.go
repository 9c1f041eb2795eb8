package wal

import (
	"errors"
	"maps"
	"slices"
)

// ErrPowerLost is returned by a MemoryFolder once the operations that FailAfter allows are used
// up.
var ErrPowerLost = errors.New("power lost")

// Draw returns a random number from 0 up to, but not including, a bound above 0. It decides which
// unsynced changes survive a power loss; without one, all are lost.
type Draw func(bound int) int

// MemoryFolder is a fake disk for tests and for the simulator that simulates power losses. After
// one, a file has its synced contents, and each later write survives, is lost or is torn. Each
// name that was created, renamed or removed since the last sync of the folder survives or is
// lost, independently of all others.
type MemoryFolder struct {
	// files are the files as the process sees them, by name.
	files map[string]*memoryFile
	// durableNames are the files by the names that the last sync of the folder made durable.
	durableNames map[string]*memoryFile
	// remaining is how many operations succeed before the power is lost, if limited is set.
	remaining int
	limited   bool
	// Syncs counts the syncs of files and of the folder.
	Syncs int
}

// memoryFile is a file. It keeps its contents when it is renamed.
type memoryFile struct {
	contents []byte
	// durable is the contents at the last sync. unsynced holds the changes since then.
	durable  []byte
	unsynced []fileChange
}

// fileChange is a write at an offset, or a truncation to that size.
type fileChange struct {
	offset   int
	bytes    []byte
	truncate bool
}

// NewMemoryFolder returns an empty disk.
func NewMemoryFolder() *MemoryFolder {
	return &MemoryFolder{
		files:        map[string]*memoryFile{},
		durableNames: map[string]*memoryFile{},
	}
}

// FailAfter allows a number of further modifying operations; all later ones return ErrPowerLost
// until LosePower or Restart is called.
func (mf *MemoryFolder) FailAfter(operations int) { mf.remaining, mf.limited = operations, true }

// Restart lifts the limit of FailAfter without a loss of data, as if only the process had ended.
func (mf *MemoryFolder) Restart() { mf.limited = false }

// countOperation counts a modifying operation against the limit of FailAfter.
func (mf *MemoryFolder) countOperation() error {
	if !mf.limited {
		return nil
	}
	if mf.remaining == 0 {
		return ErrPowerLost
	}
	mf.remaining--
	return nil
}

// Names returns the names of the files, sorted.
func (mf *MemoryFolder) Names() []string { return slices.Sorted(maps.Keys(mf.files)) }

// fileOf returns the file with a name, and creates it if necessary.
func (mf *MemoryFolder) fileOf(name string) *memoryFile {
	file, found := mf.files[name]
	if !found {
		file = &memoryFile{}
		mf.files[name] = file
	}
	return file
}

// Read returns the contents of a file, and false if there is no such file.
func (mf *MemoryFolder) Read(name string) ([]byte, bool, error) {
	file, found := mf.files[name]
	if !found {
		return nil, false, nil
	}
	return slices.Clone(file.contents), true, nil
}

// Create writes a file from its beginning and discards its earlier contents.
func (mf *MemoryFolder) Create(name string, body []byte) error {
	if err := mf.countOperation(); err != nil {
		return err
	}
	file := mf.fileOf(name)
	file.truncate(0)
	file.append(body)
	return nil
}

// Append writes at the end of a file, which it creates if necessary.
func (mf *MemoryFolder) Append(name string, body []byte) error {
	if err := mf.countOperation(); err != nil {
		return err
	}
	mf.fileOf(name).append(body)
	return nil
}

// Truncate shortens a file to a size in bytes.
func (mf *MemoryFolder) Truncate(name string, size int64) error {
	if err := mf.countOperation(); err != nil {
		return err
	}
	mf.fileOf(name).truncate(int(size))
	return nil
}

// Sync makes the contents of a file durable.
func (mf *MemoryFolder) Sync(name string) error {
	if err := mf.countOperation(); err != nil {
		return err
	}
	mf.Syncs++
	mf.fileOf(name).sync()
	return nil
}

// Rename renames a file, and replaces any file with the new name. It isn't an error if the file
// doesn't exist.
func (mf *MemoryFolder) Rename(from, to string) error {
	if err := mf.countOperation(); err != nil {
		return err
	}
	if file, found := mf.files[from]; found {
		mf.files[to] = file
		delete(mf.files, from)
	}
	return nil
}

// Remove removes a file. It isn't an error if the file doesn't exist.
func (mf *MemoryFolder) Remove(name string) error {
	if err := mf.countOperation(); err != nil {
		return err
	}
	delete(mf.files, name)
	return nil
}

// SyncFolder makes the names of all files durable.
func (mf *MemoryFolder) SyncFolder() error {
	if err := mf.countOperation(); err != nil {
		return err
	}
	mf.Syncs++
	mf.durableNames = maps.Clone(mf.files)
	return nil
}

// LosePower simulates a power loss. draw decides which unsynced changes survive; if it is nil,
// none does.
func (mf *MemoryFolder) LosePower(draw Draw) {
	mf.limited = false
	// In one of four power losses all unsynced changes are lost.
	if draw != nil && draw(4) == 0 {
		draw = nil
	}
	surviving := mf.survivingNames(draw)
	done := map[*memoryFile]bool{}
	for _, name := range slices.Sorted(maps.Keys(surviving)) {
		if file := surviving[name]; !done[file] {
			done[file] = true
			file.losePower(draw)
		}
	}
	mf.files, mf.durableNames = surviving, maps.Clone(surviving)
}

// survivingNames decides for each name that changed since the last sync of the folder
// whether it survives.
func (mf *MemoryFolder) survivingNames(draw Draw) map[string]*memoryFile {
	names := map[string]bool{}
	for name := range mf.files {
		names[name] = true
	}
	for name := range mf.durableNames {
		names[name] = true
	}
	surviving := map[string]*memoryFile{}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		file := mf.durableNames[name]
		if current := mf.files[name]; current != file && draw != nil && draw(2) == 0 {
			file = current
		}
		if file != nil {
			surviving[name] = file
		}
	}
	return surviving
}

// Corrupt flips bits of the byte at an offset of a file, durably, and reports whether there is
// such a byte.
func (mf *MemoryFolder) Corrupt(name string, offset int) bool {
	file, found := mf.files[name]
	if !found || offset >= len(file.contents) {
		return false
	}
	file.contents = slices.Clone(file.contents)
	file.contents[offset] ^= 0x5a
	file.sync()
	return true
}

// Wipe erases the disk.
func (mf *MemoryFolder) Wipe() {
	mf.files, mf.durableNames, mf.limited = map[string]*memoryFile{}, map[string]*memoryFile{}, false
}

func (f *memoryFile) truncate(size int) {
	// Clipped, so that later appends don't overwrite durable bytes.
	f.contents = slices.Clip(f.contents[:min(size, len(f.contents))])
	f.unsynced = append(f.unsynced, fileChange{offset: size, truncate: true})
}

func (f *memoryFile) append(body []byte) {
	f.unsynced = append(f.unsynced, fileChange{offset: len(f.contents), bytes: slices.Clone(body)})
	f.contents = append(f.contents, body...)
}

func (f *memoryFile) sync() {
	f.durable, f.unsynced = f.contents, nil
}

// losePower keeps each unsynced change completely, in part or not at all.
func (f *memoryFile) losePower(draw Draw) {
	contents := slices.Clone(f.durable)
	for _, change := range f.unsynced {
		if draw == nil {
			break
		}
		from, to := 0, len(change.bytes)
		switch draw(3) {
		case 0:
			continue
		case 1:
			// Torn: a part of the change survives, which need not include its beginning.
			to = draw(to + 1)
			from = draw(2) * draw(to+1)
		}
		if change.truncate {
			contents = contents[:min(change.offset, len(contents))]
			continue
		}
		contents = writeAt(contents, change.offset+from, change.bytes[from:to])
	}
	f.contents, f.durable, f.unsynced = contents, contents, nil
}

// writeAt writes bytes at an offset. If the body ends before it, the gap is filled with zeros.
func writeAt(body []byte, offset int, bytes []byte) []byte {
	if len(bytes) == 0 {
		return body
	}
	if missing := offset + len(bytes) - len(body); missing > 0 {
		body = append(body, make([]byte, missing)...)
	}
	copy(body[offset:], bytes)
	return body
}
