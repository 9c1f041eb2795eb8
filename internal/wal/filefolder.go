package wal

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
)

// FileFolder is a folder of the file system. It keeps the files that it writes open. It must be
// used by one goroutine only.
type FileFolder struct {
	path string
	open map[string]*os.File
}

// OpenFileFolder opens a folder, and creates it if necessary. It fails with ErrDisk.
func OpenFileFolder(path string) (*FileFolder, error) {
	if err := os.MkdirAll(path, 0o755); err != nil {
		return nil, ErrDisk.Wrap(err, "creating %s", path)
	}
	return &FileFolder{path: path, open: map[string]*os.File{}}, nil
}

func (ff *FileFolder) file(name string, flags int) (*os.File, error) {
	if opened, found := ff.open[name]; found && flags&os.O_TRUNC == 0 {
		return opened, nil
	}
	ff.close(name)
	opened, err := os.OpenFile(filepath.Join(ff.path, name), os.O_RDWR|os.O_CREATE|os.O_APPEND|flags, 0o644)
	if err != nil {
		return nil, err
	}
	ff.open[name] = opened
	return opened, nil
}

func (ff *FileFolder) close(name string) {
	if opened, found := ff.open[name]; found {
		_ = opened.Close()
		delete(ff.open, name)
	}
}

// Read returns the contents of a file, and false if there is no such file.
func (ff *FileFolder) Read(name string) ([]byte, bool, error) {
	body, err := os.ReadFile(filepath.Join(ff.path, name))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, false, nil
	}
	return body, err == nil, err
}

// Create writes a file from its beginning and discards its earlier contents.
func (ff *FileFolder) Create(name string, body []byte) error {
	opened, err := ff.file(name, os.O_TRUNC)
	if err != nil {
		return err
	}
	_, err = opened.Write(body)
	return err
}

// Append writes at the end of a file, which it creates if necessary.
func (ff *FileFolder) Append(name string, body []byte) error {
	opened, err := ff.file(name, 0)
	if err != nil {
		return err
	}
	_, err = opened.Write(body)
	return err
}

// Truncate shortens a file to a size in bytes.
func (ff *FileFolder) Truncate(name string, size int64) error {
	opened, err := ff.file(name, 0)
	if err != nil {
		return err
	}
	return opened.Truncate(size)
}

// Sync makes the contents of a file durable.
func (ff *FileFolder) Sync(name string) error {
	opened, err := ff.file(name, 0)
	if err != nil {
		return err
	}
	return opened.Sync()
}

// Remove removes a file. It isn't an error if the file doesn't exist.
func (ff *FileFolder) Remove(name string) error {
	ff.close(name)
	err := os.Remove(filepath.Join(ff.path, name))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	return err
}

// Rename renames a file, and replaces any file with the new name. It isn't an error if the file
// doesn't exist.
func (ff *FileFolder) Rename(from, to string) error {
	ff.close(from)
	ff.close(to)
	err := os.Rename(filepath.Join(ff.path, from), filepath.Join(ff.path, to))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	return err
}

// SyncFolder makes the names of all files durable.
func (ff *FileFolder) SyncFolder() error {
	opened, err := os.Open(ff.path)
	if err != nil {
		return err
	}
	defer func() { _ = opened.Close() }()
	return opened.Sync()
}
