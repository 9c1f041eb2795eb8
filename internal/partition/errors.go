package partition

import "github.com/joomcode/errorx"

var (
	namespace = errorx.NewNamespace("partition")
	// ErrorUnreadable says that a snapshot or an entry of the store's disk can't be decoded. The
	// disk was written by another version or is damaged; the store must not start from it.
	ErrorUnreadable = namespace.NewType("unreadable")
)
