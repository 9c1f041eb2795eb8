// The real folder that a log can live in.

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
		return nil, ErrDisk.Wrap(err, "making %s", path)
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

// Rename gives a file another name, if it is there.
func (ff *FileFolder) Rename(from, to string) error {
	for _, name := range []string{from, to} {
		if present, found := ff.open[name]; found {
			_ = present.Close()
			delete(ff.open, name)
		}
	}
	err := os.Rename(filepath.Join(ff.path, from), filepath.Join(ff.path, to))
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
