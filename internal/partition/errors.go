package partition

import "github.com/joomcode/errorx"

var (
	namespace = errorx.NewNamespace("partition")
	// ErrorUnreadable reports that a snapshot or an entry on the store's disk can't be decoded.
	// The disk was written by another version or is damaged; the store must not start from it.
	ErrorUnreadable = namespace.NewType("unreadable")
)
