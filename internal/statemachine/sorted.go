package statemachine

import (
	"cmp"
	"iter"
	"slices"
)

// Sorted iterates over a map in key order. Machines range over maps only in this
// way, so that equal inputs give equal effects. The loop may change the map: keys
// that were removed before their turn are skipped, added ones are not visited.
func Sorted[Key cmp.Ordered, Value any](table map[Key]Value) iter.Seq2[Key, Value] {
	return func(yield func(Key, Value) bool) {
		keys := make([]Key, 0, len(table))
		for key := range table {
			keys = append(keys, key)
		}
		slices.Sort(keys)
		for _, key := range keys {
			value, found := table[key]
			if !found {
				continue
			}
			if !yield(key, value) {
				return
			}
		}
	}
}
