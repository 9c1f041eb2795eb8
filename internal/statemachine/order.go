// Iterators over snapshots of maps, in key order: the one way in which the
// machines walk a map, so that equal inputs give equal effects and a walk may
// change the map it walks.

package statemachine

import (
	"cmp"
	"iter"
	"slices"
)

// Sorted walks a copy of the map's keys in order, skipping those that are gone
// by the time their turn comes.
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
