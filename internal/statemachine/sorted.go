package statemachine

import (
	"cmp"
	"iter"
	"slices"
)

// Sorted iterates over a map in key order. Where the order can influence effects,
// machines iterate over maps only by Sorted, so that equal inputs give equal effects.
// The loop may change the map: keys that are removed before the iteration reaches them
// are skipped, and added keys are not visited.
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
