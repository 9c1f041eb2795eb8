// The two folders a log can live in: a real one, and one in memory that
// forgets what was not synced, for the simulator and the tests.

package wal

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
)

// FileFolder is a real data folder.
type FileFolder struct {
	path string
	open map[string]*os.File
}

// OpenFileFolder makes the folder if need be.
func OpenFileFolder(path string) (*FileFolder, error) {
	if err := os.MkdirAll(path, 0o755); err != nil {
		return nil, ErrorDisk.Wrap(err, "making %s", path)
	}
	return &FileFolder{path: path, open: map[string]*os.File{}}, nil
}

func (ff *FileFolder) file(name string, flags int) (*os.File, error) {
	if present, found := ff.open[name]; found && flags&os.O_TRUNC == 0 {
		return present, nil
	}
	if present, found := ff.open[name]; found {
		_ = present.Close()
		delete(ff.open, name)
	}
	opened, err := os.OpenFile(filepath.Join(ff.path, name), os.O_RDWR|os.O_CREATE|os.O_APPEND|flags, 0o644)
	if err != nil {
		return nil, err
	}
	ff.open[name] = opened
	return opened, nil
}

// Read gives the bytes of a file, if it is there.
func (ff *FileFolder) Read(name string) ([]byte, bool, error) {
	body, err := os.ReadFile(filepath.Join(ff.path, name))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, false, nil
	}
	return body, err == nil, err
}

// Create writes a file anew.
func (ff *FileFolder) Create(name string, body []byte) error {
	opened, err := ff.file(name, os.O_TRUNC)
	if err != nil {
		return err
	}
	_, err = opened.Write(body)
	return err
}

// Append adds to a file.
func (ff *FileFolder) Append(name string, body []byte) error {
	opened, err := ff.file(name, 0)
	if err != nil {
		return err
	}
	_, err = opened.Write(body)
	return err
}

// Truncate cuts a file.
func (ff *FileFolder) Truncate(name string, size int64) error {
	opened, err := ff.file(name, 0)
	if err != nil {
		return err
	}
	return opened.Truncate(size)
}

// Sync makes a file's bytes last.
func (ff *FileFolder) Sync(name string) error {
	opened, err := ff.file(name, 0)
	if err != nil {
		return err
	}
	return opened.Sync()
}

// Remove takes a file away.
func (ff *FileFolder) Remove(name string) error {
	if present, found := ff.open[name]; found {
		_ = present.Close()
		delete(ff.open, name)
	}
	err := os.Remove(filepath.Join(ff.path, name))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	return err
}

// SyncFolder makes names last.
func (ff *FileFolder) SyncFolder() error {
	opened, err := os.Open(ff.path)
	if err != nil {
		return err
	}
	defer func() { _ = opened.Close() }()
	return opened.Sync()
}

// MemoryFolder is a disk in memory that loses unsynced bytes at a power cut.
type MemoryFolder struct {
	files  map[string][]byte
	synced map[string][]byte
	// grown files were only appended to since they were synced.
	grown map[string]bool
	Syncs int
}

// NewMemoryFolder gives a blank disk.
func NewMemoryFolder() *MemoryFolder {
	return &MemoryFolder{files: map[string][]byte{}, synced: map[string][]byte{}, grown: map[string]bool{}}
}

// Read gives the bytes of a file, if it is there.
func (mf *MemoryFolder) Read(name string) ([]byte, bool, error) {
	body, found := mf.files[name]
	return append([]byte(nil), body...), found, nil
}

// Create writes a file anew.
func (mf *MemoryFolder) Create(name string, body []byte) error {
	mf.files[name] = append([]byte(nil), body...)
	mf.grown[name] = false
	return nil
}

// Append adds to a file.
func (mf *MemoryFolder) Append(name string, body []byte) error {
	mf.files[name] = append(mf.files[name], body...)
	return nil
}

// Truncate cuts a file.
func (mf *MemoryFolder) Truncate(name string, size int64) error {
	mf.files[name] = mf.files[name][:size]
	mf.grown[name] = false
	return nil
}

// Sync makes a file's bytes last.
func (mf *MemoryFolder) Sync(name string) error {
	mf.Syncs++
	if mf.grown[name] {
		mf.synced[name] = append(mf.synced[name], mf.files[name][len(mf.synced[name]):]...)
		return nil
	}
	mf.synced[name] = append([]byte(nil), mf.files[name]...)
	mf.grown[name] = true
	return nil
}

// Remove takes a file away.
func (mf *MemoryFolder) Remove(name string) error {
	delete(mf.files, name)
	delete(mf.synced, name)
	delete(mf.grown, name)
	return nil
}

// SyncFolder makes names last.
func (mf *MemoryFolder) SyncFolder() error {
	return nil
}

// PowerCut drops what was not synced, but keeps the given number of bytes of
// each unsynced tail, as a disk in the middle of a write does.
func (mf *MemoryFolder) PowerCut(keep int) {
	survived := map[string][]byte{}
	for name, body := range mf.synced {
		written := mf.files[name]
		kept := append([]byte(nil), body...)
		if len(written) > len(body) && string(written[:len(body)]) == string(body) {
			kept = append(kept, written[len(body):min(len(written), len(body)+keep)]...)
		}
		survived[name] = kept
	}
	mf.files = survived
	mf.synced, mf.grown = map[string][]byte{}, map[string]bool{}
	for name, body := range survived {
		mf.synced[name] = append([]byte(nil), body...)
	}
}

// Damage flips a byte that had been synced.
func (mf *MemoryFolder) Damage(name string, at int) bool {
	body, found := mf.files[name]
	if !found || at >= len(body) {
		return false
	}
	body[at] ^= 0x5a
	mf.synced[name] = append([]byte(nil), body...)
	return true
}

// Wipe empties the disk.
func (mf *MemoryFolder) Wipe() {
	mf.files, mf.synced, mf.grown = map[string][]byte{}, map[string][]byte{}, map[string]bool{}
}
