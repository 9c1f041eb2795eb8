// A damaged folder is put aside as a whole or not at all, whenever the power is lost
// meanwhile: a part of the old files must never be taken for the new ones.

package wal

import "dahlialock/internal/statemachine"

const (
	// asideMark is a file that stands for as long as the files are put aside.
	asideMark   = "putting-aside"
	asidePrefix = "damaged-"
)

func allNames() []string {
	names := []string{"slot-even", "slot-odd"}
	for number := range uint64(logNames) {
		names = append(names, logName(number))
	}
	return names
}

// Quarantine renames the files of a damaged log, so that the folder is blank. Those of an
// earlier damage are gone then.
func Quarantine(folder Folder) error {
	if statemachine.Mutated("aside-unmarked") {
		return putAside(folder)
	}
	if err := folder.Create(asideMark, []byte(asideMark)); err != nil {
		return ErrDisk.Wrap(err, "marking")
	}
	if err := folder.Sync(asideMark); err != nil {
		return ErrDisk.Wrap(err, "syncing the mark")
	}
	if err := folder.SyncFolder(); err != nil {
		return ErrDisk.Wrap(err, "syncing the folder")
	}
	return putAside(folder)
}

// finishPuttingAside goes on where a process that put files aside ended.
func finishPuttingAside(folder Folder) error {
	_, marked, err := folder.Read(asideMark)
	if err != nil {
		return ErrDisk.Wrap(err, "reading the mark")
	}
	if !marked {
		return nil
	}
	// The mark itself may have been seen before it lasted.
	if err := folder.SyncFolder(); err != nil {
		return ErrDisk.Wrap(err, "syncing the folder")
	}
	return putAside(folder)
}

func putAside(folder Folder) error {
	for _, name := range allNames() {
		if err := folder.Rename(name, asidePrefix+name); err != nil {
			return ErrDisk.Wrap(err, "renaming %s", name)
		}
	}
	if err := folder.SyncFolder(); err != nil {
		return ErrDisk.Wrap(err, "syncing the folder")
	}
	if err := folder.Remove(asideMark); err != nil {
		return ErrDisk.Wrap(err, "removing the mark")
	}
	if err := folder.SyncFolder(); err != nil {
		return ErrDisk.Wrap(err, "syncing the folder")
	}
	return nil
}
