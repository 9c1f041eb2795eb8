// A folder in memory that loses what was not synced, for the simulator and the tests.

package wal

import (
	"errors"
	"maps"
	"slices"
)

// ErrPowerLost is what a disk in memory answers once its operations are used up.
var ErrPowerLost = errors.New("the power is lost")

// Draw gives a number from 0 up to, but not including, a bound above 0; it decides what
// a loss of power leaves. Without one, all that was not synced is gone.
type Draw func(bound int) int

// change is one thing that was done to a file since it was synced.
type change struct {
	offset int
	bytes  []byte
	// cut files were given the length offset.
	cut bool
}

// file is what a name stands for: it keeps its bytes when it is renamed.
type file struct {
	body []byte
	// lasting is the body when it was synced, and later what was done to it since.
	lasting []byte
	later   []change
}

// MemoryFolder is a disk in memory. After a loss of power a file holds what was synced,
// and of later writes each is there, missing or torn; each name that was made, renamed
// or removed since the folder was synced is there or not by itself.
type MemoryFolder struct {
	files map[string]*file
	// names is what a sync of the folder made last.
	names map[string]*file
	// left is how many operations are left before the power is lost.
	left    int
	limited bool
	Syncs   int
}

// NewMemoryFolder gives a blank disk.
func NewMemoryFolder() *MemoryFolder {
	return &MemoryFolder{files: map[string]*file{}, names: map[string]*file{}}
}

// FailAfter lets only so many more operations that change anything take place; the one
// after them and all later ones are answered with ErrorPowerLost, until PowerCut or
// Restart.
func (mf *MemoryFolder) FailAfter(operations int) { mf.left, mf.limited = operations, true }

// Restart lifts the limit and loses nothing: the process alone had ended.
func (mf *MemoryFolder) Restart() { mf.limited = false }

func (mf *MemoryFolder) spend() error {
	if !mf.limited {
		return nil
	}
	if mf.left == 0 {
		return ErrPowerLost
	}
	mf.left--
	return nil
}

// Read gives the bytes of a file, if it is there.
func (mf *MemoryFolder) Read(name string) ([]byte, bool, error) {
	held, found := mf.files[name]
	if !found {
		return nil, false, nil
	}
	return slices.Clone(held.body), true, nil
}

// Names lists the files.
func (mf *MemoryFolder) Names() []string { return slices.Sorted(maps.Keys(mf.files)) }

func (mf *MemoryFolder) made(name string) *file {
	held, found := mf.files[name]
	if !found {
		held = &file{}
		mf.files[name] = held
	}
	return held
}

// Create writes a file anew.
func (mf *MemoryFolder) Create(name string, body []byte) error {
	if err := mf.spend(); err != nil {
		return err
	}
	held := mf.made(name)
	held.truncate(0)
	held.append(body)
	return nil
}

// Append adds to a file.
func (mf *MemoryFolder) Append(name string, body []byte) error {
	if err := mf.spend(); err != nil {
		return err
	}
	mf.made(name).append(body)
	return nil
}

// Truncate cuts a file.
func (mf *MemoryFolder) Truncate(name string, size int64) error {
	if err := mf.spend(); err != nil {
		return err
	}
	mf.made(name).truncate(int(size))
	return nil
}

func (f *file) truncate(size int) {
	// Clipped, so that what is appended does not change bytes that last.
	f.body = slices.Clip(f.body[:min(size, len(f.body))])
	f.later = append(f.later, change{offset: size, cut: true})
}

func (f *file) append(body []byte) {
	f.later = append(f.later, change{offset: len(f.body), bytes: slices.Clone(body)})
	f.body = append(f.body, body...)
}

// Sync makes a file's bytes last.
func (mf *MemoryFolder) Sync(name string) error {
	if err := mf.spend(); err != nil {
		return err
	}
	mf.Syncs++
	held := mf.made(name)
	held.lasting, held.later = held.body, nil
	return nil
}

// Rename gives a file another name, if it is there.
func (mf *MemoryFolder) Rename(from, to string) error {
	if err := mf.spend(); err != nil {
		return err
	}
	if held, found := mf.files[from]; found {
		mf.files[to] = held
		delete(mf.files, from)
	}
	return nil
}

// Remove takes a file away.
func (mf *MemoryFolder) Remove(name string) error {
	if err := mf.spend(); err != nil {
		return err
	}
	delete(mf.files, name)
	return nil
}

// SyncFolder makes names last.
func (mf *MemoryFolder) SyncFolder() error {
	if err := mf.spend(); err != nil {
		return err
	}
	mf.Syncs++
	mf.names = maps.Clone(mf.files)
	return nil
}

// LosePower leaves what a loss of power leaves.
func (mf *MemoryFolder) LosePower(draw Draw) {
	mf.limited = false
	// At some losses of power all that was not synced is gone.
	if draw != nil && draw(4) == 0 {
		draw = nil
	}
	names := map[string]bool{}
	for name := range mf.files {
		names[name] = true
	}
	for name := range mf.names {
		names[name] = true
	}
	left := map[string]*file{}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		held := mf.names[name]
		if now := mf.files[name]; now != held && draw != nil && draw(2) == 0 {
			held = now
		}
		if held != nil {
			left[name] = held
		}
	}
	cut := map[*file]bool{}
	for _, name := range slices.Sorted(maps.Keys(left)) {
		if held := left[name]; !cut[held] {
			cut[held] = true
			held.powerCut(draw)
		}
	}
	mf.files, mf.names = left, maps.Clone(left)
}

// powerCut leaves of each later change all, nothing, or a part.
func (f *file) powerCut(draw Draw) {
	body := slices.Clone(f.lasting)
	for _, later := range f.later {
		if draw == nil {
			break
		}
		from, to := 0, len(later.bytes)
		switch draw(3) {
		case 0:
			continue
		case 1:
			// Torn: a part of it is there, wherever that begins.
			to = draw(to + 1)
			from = draw(2) * draw(to+1)
		}
		if later.cut {
			body = body[:min(later.offset, len(body))]
			continue
		}
		body = put(body, later.offset+from, later.bytes[from:to])
	}
	f.body, f.lasting, f.later = body, body, nil
}

// put writes bytes at an offset, after zeros where the body ends before it.
func put(body []byte, offset int, bytes []byte) []byte {
	if len(bytes) == 0 {
		return body
	}
	if missing := offset + len(bytes) - len(body); missing > 0 {
		body = append(body, make([]byte, missing)...)
	}
	copy(body[offset:], bytes)
	return body
}

// Corrupt flips a byte that had been synced.
func (mf *MemoryFolder) Corrupt(name string, at int) bool {
	held, found := mf.files[name]
	if !found || at >= len(held.body) {
		return false
	}
	held.body = slices.Clone(held.body)
	held.body[at] ^= 0x5a
	held.lasting, held.later = held.body, nil
	return true
}

// Wipe empties the disk.
func (mf *MemoryFolder) Wipe() {
	mf.files, mf.names, mf.limited = map[string]*file{}, map[string]*file{}, false
}
