// Timers names the moments at which a machine wants to run again. Keys are
// kept with their moment, and expired keys come out in order of moment and
// then of key, so that a run never depends on the order of a map.

package statemachine

import (
	"cmp"
	"slices"
	"time"
)

// Timers is a small table of timers, at most one for each key. The owner of the
// timers gives Key a type of its own. Among timers that expire at the same moment,
// the order of the keys decides which comes first.
type Timers[Key cmp.Ordered] struct {
	moments map[Key]time.Time
}

// NewTimers returns a table without any armed timer.
func NewTimers[Key cmp.Ordered]() *Timers[Key] {
	return &Timers[Key]{moments: map[Key]time.Time{}}
}

// Arm sets the moment of a key, in place of an earlier one.
func (t *Timers[Key]) Arm(key Key, at time.Time) {
	t.moments[key] = at
}

// ArmSooner sets the moment unless an earlier one is already set.
func (t *Timers[Key]) ArmSooner(key Key, at time.Time) {
	if present, found := t.moments[key]; found && !at.Before(present) {
		return
	}
	t.moments[key] = at
}

// Disarm forgets a key.
func (t *Timers[Key]) Disarm(key Key) {
	delete(t.moments, key)
}

// Armed tells whether a key waits.
func (t *Timers[Key]) Armed(key Key) bool {
	_, found := t.moments[key]
	return found
}

// Next is the earliest moment, or the zero time if none is armed.
func (t *Timers[Key]) Next() time.Time {
	var next time.Time
	for _, at := range t.moments {
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

// Expired takes out and returns the keys that are due.
func (t *Timers[Key]) Expired(now time.Time) []Key {
	var keys []Key
	for key, at := range t.moments {
		if !at.After(now) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(left, right Key) int {
		if order := t.moments[left].Compare(t.moments[right]); order != 0 {
			return order
		}
		return cmp.Compare(left, right)
	})
	for _, key := range keys {
		delete(t.moments, key)
	}
	return keys
}

// Earliest is the first of several moments, leaving out zero times.
func Earliest(moments ...time.Time) time.Time {
	var earliest time.Time
	for _, at := range moments {
		if !at.IsZero() && (earliest.IsZero() || at.Before(earliest)) {
			earliest = at
		}
	}
	return earliest
}
