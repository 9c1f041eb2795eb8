package wal

import "dahlialock/internal/statemachine"

const (
	// quarantineMarker is a file that exists while files are being quarantined, so that the next
	// Open completes an interrupted quarantine.
	quarantineMarker = "putting-aside"
	quarantinePrefix = "damaged-"
)

// fileNames returns the names of all files of a log.
func fileNames() []string {
	names := []string{evenSlot, oddSlot}
	for number := range uint64(logFiles) {
		names = append(names, logName(number))
	}
	return names
}

// Quarantine renames all files of a damaged log, so that Open then finds an empty folder. The
// files of an earlier quarantine are overwritten. If power is lost during the quarantine, either
// all files are renamed in the end or none: a part of the old files must never be mistaken for a
// log. It fails with ErrDisk.
func Quarantine(folder Folder) error {
	if statemachine.Mutated("aside-unmarked") {
		return quarantineFiles(folder)
	}
	if err := folder.Create(quarantineMarker, []byte(quarantineMarker)); err != nil {
		return ErrDisk.Wrap(err, "writing the quarantine marker")
	}
	if err := folder.Sync(quarantineMarker); err != nil {
		return ErrDisk.Wrap(err, "syncing the quarantine marker")
	}
	if err := folder.SyncFolder(); err != nil {
		return ErrDisk.Wrap(err, "syncing the folder")
	}
	return quarantineFiles(folder)
}

// finishQuarantine completes a quarantine that an earlier process started.
func finishQuarantine(folder Folder) error {
	_, marked, err := folder.Read(quarantineMarker)
	if err != nil {
		return ErrDisk.Wrap(err, "reading the quarantine marker")
	}
	if !marked {
		return nil
	}
	// The marker may be visible but not yet durable.
	if err := folder.SyncFolder(); err != nil {
		return ErrDisk.Wrap(err, "syncing the folder")
	}
	return quarantineFiles(folder)
}

func quarantineFiles(folder Folder) error {
	for _, name := range fileNames() {
		if err := folder.Rename(name, quarantinePrefix+name); err != nil {
			return ErrDisk.Wrap(err, "renaming %s", name)
		}
	}
	if err := folder.SyncFolder(); err != nil {
		return ErrDisk.Wrap(err, "syncing the folder")
	}
	if err := folder.Remove(quarantineMarker); err != nil {
		return ErrDisk.Wrap(err, "removing the quarantine marker")
	}
	if err := folder.SyncFolder(); err != nil {
		return ErrDisk.Wrap(err, "syncing the folder")
	}
	return nil
}
