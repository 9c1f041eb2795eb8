package wal

// Folder is the disk as the log sees it: FileFolder in a daemon, MemoryFolder in tests
// and in the simulator. Bytes are durable after Sync of their file, names after
// SyncFolder. Its errors are those of the disk as they are; the log wraps them in ErrDisk.
type Folder interface {
	// Read returns the contents of a file, and false if there is no such file.
	Read(name string) ([]byte, bool, error)
	// Create writes a file from its beginning, in place of its earlier contents.
	Create(name string, body []byte) error
	// Append writes at the end of a file, which it creates if need be.
	Append(name string, body []byte) error
	// Truncate shortens a file to a size in bytes.
	Truncate(name string, size int64) error
	// Sync makes the contents of a file durable.
	Sync(name string) error
	// Rename gives a file another name, in place of any file that had it. It is no error if
	// there is no file to rename.
	Rename(from, to string) error
	// Remove removes a file; it is no error if there is none.
	Remove(name string) error
	// SyncFolder makes the names of all files durable.
	SyncFolder() error
}
