package wal

import "github.com/joomcode/errorx"

var (
	namespace = errorx.NewNamespace("wal")
	// ErrDamaged says that bytes which had been synced have changed or are missing. The
	// owner calls Quarantine and rebuilds its state from another replica.
	ErrDamaged = namespace.NewType("damaged")
	// ErrDisk says that an operation of the disk failed. The call may be repeated.
	ErrDisk = namespace.NewType("disk")
)
