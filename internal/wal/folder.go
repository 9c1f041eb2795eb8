package wal

// Folder is the folder on disk that contains a log: FileFolder in a daemon, MemoryFolder in tests
// and in the simulator. Bytes are durable after Sync of their file, names after SyncFolder. Its
// errors are the unchanged errors of the disk; the log wraps them in ErrDisk.
type Folder interface {
	// Read returns the contents of a file, and false if there is no such file.
	Read(name string) ([]byte, bool, error)
	// Create writes a file from its beginning and discards its earlier contents.
	Create(name string, body []byte) error
	// Append writes at the end of a file, which it creates if necessary.
	Append(name string, body []byte) error
	// Truncate shortens a file to a size in bytes.
	Truncate(name string, size int64) error
	// Sync makes the contents of a file durable.
	Sync(name string) error
	// Rename renames a file, and replaces any file with the new name. It isn't an error if the
	// file doesn't exist.
	Rename(from, to string) error
	// Remove removes a file. It isn't an error if the file doesn't exist.
	Remove(name string) error
	// SyncFolder makes the names of all files durable.
	SyncFolder() error
}
