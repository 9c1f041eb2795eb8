package wal

import "github.com/joomcode/errorx"

var (
	namespace = errorx.NewNamespace("wal")
	// ErrDamaged reports that bytes which had been synced have changed or are missing. The owner
	// must call Quarantine and rebuild its state from another replica.
	ErrDamaged = namespace.NewType("damaged")
	// ErrDisk reports that a disk operation failed. The call may be repeated.
	ErrDisk = namespace.NewType("disk")
)
