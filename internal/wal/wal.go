package wal

import "dahlialock/internal/statemachine"

// Log is an open log. It must be used by one goroutine only.
type Log struct {
	folder Folder
	// generation is the generation of the newest snapshot and of the current log file.
	generation uint64
	// size is the number of valid bytes in the current log file.
	size int64
	// partial is set while the log file may contain bytes beyond size, after an Append that
	// failed. They are truncated before the next append.
	partial bool
	// durableNames holds the files whose names were made durable by a sync of the folder.
	durableNames map[string]bool
	// Syncs counts the syncs of files and of the folder.
	Syncs int64
}

// Append writes entries as one batch, and returns once they are durable. It fails with
// ErrDisk, and may then be repeated.
func (l *Log) Append(entries [][]byte) error {
	body := appendBatch(nil, l.generation, entries)
	name := logName(l.generation)
	if l.partial {
		if err := l.folder.Truncate(name, l.size); err != nil {
			return ErrDisk.Wrap(err, "truncating %s", name)
		}
	}
	l.partial = true
	if err := l.folder.Append(name, body); err != nil {
		return ErrDisk.Wrap(err, "appending to %s", name)
	}
	if err := l.sync(name); err != nil {
		return err
	}
	l.partial = false
	l.size += int64(len(body))
	return nil
}

// LogSize returns the size in bytes of the current log file. Owners use it to decide when to
// write a snapshot.
func (l *Log) LogSize() int64 {
	return l.size
}

// Checkpoint writes a snapshot that replaces all earlier entries, and starts a new log file. It
// returns once the snapshot is durable. It fails with ErrDisk, and must then be repeated before
// anything is appended.
func (l *Log) Checkpoint(snapshot []byte) error {
	generation := l.generation + 1
	body := appendRecord(fileHeader(slotMagic, generation), generation, snapshot)
	name := slotName(generation)
	if err := l.folder.Create(name, body); err != nil {
		return ErrDisk.Wrap(err, "writing %s", name)
	}
	if err := l.sync(name); err != nil {
		return err
	}
	if err := l.syncName(name); err != nil {
		return err
	}
	l.generation, l.partial = generation, false
	if err := l.startLogFile(); err != nil {
		return err
	}
	// The log file that the next generation reuses holds entries after a snapshot that has been
	// overwritten, so they are not needed any more.
	next := logName(generation + 1)
	if !l.durableNames[next] {
		return nil
	}
	if err := l.folder.Truncate(next, 0); err != nil {
		return ErrDisk.Wrap(err, "truncating %s", next)
	}
	return nil
}

// startLogFile writes the header of the log file of the current generation.
func (l *Log) startLogFile() error {
	header := fileHeader(logMagic, l.generation)
	name := logName(l.generation)
	if err := l.folder.Create(name, header); err != nil {
		return ErrDisk.Wrap(err, "starting %s", name)
	}
	l.size = int64(len(header))
	if err := l.sync(name); err != nil {
		return err
	}
	return l.syncName(name)
}

func (l *Log) sync(name string) error {
	l.Syncs++
	if err := l.folder.Sync(name); err != nil {
		return ErrDisk.Wrap(err, "syncing %s", name)
	}
	return nil
}

// syncName makes the name of a file durable unless it already is.
func (l *Log) syncName(name string) error {
	if l.durableNames[name] || statemachine.Mutated("unsynced-names") {
		return nil
	}
	if err := l.syncFolder(); err != nil {
		return err
	}
	l.durableNames[name] = true
	return nil
}

func (l *Log) syncFolder() error {
	l.Syncs++
	if err := l.folder.SyncFolder(); err != nil {
		return ErrDisk.Wrap(err, "syncing the folder")
	}
	return nil
}
