package statemachine

import (
	"cmp"
	"slices"
	"time"
)

// Timers is a small table of timers, at most one for each key. The owner of the
// timers gives Key a type of its own. Timers expire in order of their moments, and
// those of the same moment in order of their keys, so that a run never depends on
// the order of a map.
type Timers[Key cmp.Ordered] struct {
	moments map[Key]time.Time
}

// NewTimers returns a table without any armed timer.
func NewTimers[Key cmp.Ordered]() *Timers[Key] {
	return &Timers[Key]{moments: map[Key]time.Time{}}
}

// Arm sets the moment at which a key expires, replacing an earlier setting.
func (t *Timers[Key]) Arm(key Key, at time.Time) {
	t.moments[key] = at
}

// ArmSooner sets the moment at which a key expires unless it expires sooner already.
func (t *Timers[Key]) ArmSooner(key Key, at time.Time) {
	if present, found := t.moments[key]; found && !at.Before(present) {
		return
	}
	t.moments[key] = at
}

// Disarm removes the timer of a key.
func (t *Timers[Key]) Disarm(key Key) {
	delete(t.moments, key)
}

// Armed reports whether a key has a timer.
func (t *Timers[Key]) Armed(key Key) bool {
	_, found := t.moments[key]
	return found
}

// Next returns the earliest moment, or the zero time if no timer is armed.
func (t *Timers[Key]) Next() time.Time {
	var next time.Time
	for _, at := range t.moments {
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

// Expired removes the timers that are due at now and returns their keys.
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

// Earliest returns the earliest of several moments; zero times are left out.
func Earliest(moments ...time.Time) time.Time {
	var earliest time.Time
	for _, at := range moments {
		if !at.IsZero() && (earliest.IsZero() || at.Before(earliest)) {
			earliest = at
		}
	}
	return earliest
}
