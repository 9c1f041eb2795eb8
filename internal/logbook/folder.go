// The two folders a logbook can live in: a real one, and one in memory that
// forgets what was not synced, for the simulator and the tests.
package logbook

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
	if fault := os.MkdirAll(path, 0o755); fault != nil {
		return nil, ErrorDisk.Wrap(fault, "making %s", path)
	}
	return &FileFolder{path: path, open: map[string]*os.File{}}, nil
}

func (folder *FileFolder) file(name string, flags int) (*os.File, error) {
	if present, found := folder.open[name]; found && flags&os.O_TRUNC == 0 {
		return present, nil
	}
	if present, found := folder.open[name]; found {
		_ = present.Close()
		delete(folder.open, name)
	}
	opened, fault := os.OpenFile(filepath.Join(folder.path, name), os.O_RDWR|os.O_CREATE|os.O_APPEND|flags, 0o644)
	if fault != nil {
		return nil, fault
	}
	folder.open[name] = opened
	return opened, nil
}

// Read gives the bytes of a file, if it is there.
func (folder *FileFolder) Read(name string) ([]byte, bool, error) {
	body, fault := os.ReadFile(filepath.Join(folder.path, name))
	if errors.Is(fault, fs.ErrNotExist) {
		return nil, false, nil
	}
	return body, fault == nil, fault
}

// Create writes a file anew.
func (folder *FileFolder) Create(name string, body []byte) error {
	opened, fault := folder.file(name, os.O_TRUNC)
	if fault != nil {
		return fault
	}
	_, fault = opened.Write(body)
	return fault
}

// Append adds to a file.
func (folder *FileFolder) Append(name string, body []byte) error {
	opened, fault := folder.file(name, 0)
	if fault != nil {
		return fault
	}
	_, fault = opened.Write(body)
	return fault
}

// Truncate cuts a file.
func (folder *FileFolder) Truncate(name string, size int64) error {
	opened, fault := folder.file(name, 0)
	if fault != nil {
		return fault
	}
	return opened.Truncate(size)
}

// Sync makes a file's bytes last.
func (folder *FileFolder) Sync(name string) error {
	opened, fault := folder.file(name, 0)
	if fault != nil {
		return fault
	}
	return opened.Sync()
}

// Remove takes a file away.
func (folder *FileFolder) Remove(name string) error {
	if present, found := folder.open[name]; found {
		_ = present.Close()
		delete(folder.open, name)
	}
	fault := os.Remove(filepath.Join(folder.path, name))
	if errors.Is(fault, fs.ErrNotExist) {
		return nil
	}
	return fault
}

// SyncFolder makes names last.
func (folder *FileFolder) SyncFolder() error {
	opened, fault := os.Open(folder.path)
	if fault != nil {
		return fault
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
func (folder *MemoryFolder) Read(name string) ([]byte, bool, error) {
	body, found := folder.files[name]
	return append([]byte(nil), body...), found, nil
}

// Create writes a file anew.
func (folder *MemoryFolder) Create(name string, body []byte) error {
	folder.files[name] = append([]byte(nil), body...)
	folder.grown[name] = false
	return nil
}

// Append adds to a file.
func (folder *MemoryFolder) Append(name string, body []byte) error {
	folder.files[name] = append(folder.files[name], body...)
	return nil
}

// Truncate cuts a file.
func (folder *MemoryFolder) Truncate(name string, size int64) error {
	folder.files[name] = folder.files[name][:size]
	folder.grown[name] = false
	return nil
}

// Sync makes a file's bytes last.
func (folder *MemoryFolder) Sync(name string) error {
	folder.Syncs++
	if folder.grown[name] {
		folder.synced[name] = append(folder.synced[name], folder.files[name][len(folder.synced[name]):]...)
		return nil
	}
	folder.synced[name] = append([]byte(nil), folder.files[name]...)
	folder.grown[name] = true
	return nil
}

// Remove takes a file away.
func (folder *MemoryFolder) Remove(name string) error {
	delete(folder.files, name)
	delete(folder.synced, name)
	delete(folder.grown, name)
	return nil
}

// SyncFolder makes names last.
func (folder *MemoryFolder) SyncFolder() error {
	return nil
}

// PowerCut drops what was not synced, but keeps the given number of bytes of
// each unsynced tail, as a disk in the middle of a write does.
func (folder *MemoryFolder) PowerCut(keep int) {
	survived := map[string][]byte{}
	for name, body := range folder.synced {
		written := folder.files[name]
		kept := append([]byte(nil), body...)
		if len(written) > len(body) && string(written[:len(body)]) == string(body) {
			kept = append(kept, written[len(body):min(len(written), len(body)+keep)]...)
		}
		survived[name] = kept
	}
	folder.files = survived
	folder.synced, folder.grown = map[string][]byte{}, map[string]bool{}
	for name, body := range survived {
		folder.synced[name] = append([]byte(nil), body...)
	}
}

// Damage flips a byte that had been synced.
func (folder *MemoryFolder) Damage(name string, at int) bool {
	body, found := folder.files[name]
	if !found || at >= len(body) {
		return false
	}
	body[at] ^= 0x5a
	folder.synced[name] = append([]byte(nil), body...)
	return true
}

// Wipe empties the disk.
func (folder *MemoryFolder) Wipe() {
	folder.files, folder.synced, folder.grown = map[string][]byte{}, map[string][]byte{}, map[string]bool{}
}
