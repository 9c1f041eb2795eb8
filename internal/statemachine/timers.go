package statemachine

import (
	"cmp"
	"slices"
	"time"
)

// Timers is a small table of timers, at most one per key. Each machine that uses it
// defines its own type for Key. Timers expire in the order of their expiry times, and
// timers with the same expiry time in the order of their keys, so that a run never
// depends on the iteration order of a map.
type Timers[Key cmp.Ordered] struct {
	expiries map[Key]time.Time
}

// NewTimers returns a table without any armed timer.
func NewTimers[Key cmp.Ordered]() *Timers[Key] {
	return &Timers[Key]{expiries: map[Key]time.Time{}}
}

// Arm sets the expiry time of a key's timer and replaces an earlier setting.
func (t *Timers[Key]) Arm(key Key, at time.Time) {
	t.expiries[key] = at
}

// ArmSooner sets the expiry time of a key's timer unless the timer already expires sooner.
func (t *Timers[Key]) ArmSooner(key Key, at time.Time) {
	if present, found := t.expiries[key]; found && !at.Before(present) {
		return
	}
	t.expiries[key] = at
}

// Disarm removes the timer of a key.
func (t *Timers[Key]) Disarm(key Key) {
	delete(t.expiries, key)
}

// Armed reports whether a key has a timer.
func (t *Timers[Key]) Armed(key Key) bool {
	_, found := t.expiries[key]
	return found
}

// Next returns the earliest expiry time, or the zero time if no timer is armed.
func (t *Timers[Key]) Next() time.Time {
	var next time.Time
	for _, at := range t.expiries {
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

// Expired removes the timers that are due at now and returns their keys in order of expiry.
func (t *Timers[Key]) Expired(now time.Time) []Key {
	var keys []Key
	for key, at := range t.expiries {
		if !at.After(now) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(left, right Key) int {
		if order := t.expiries[left].Compare(t.expiries[right]); order != 0 {
			return order
		}
		return cmp.Compare(left, right)
	})
	for _, key := range keys {
		delete(t.expiries, key)
	}
	return keys
}

// Earliest returns the earliest of several times and ignores zero times.
func Earliest(times ...time.Time) time.Time {
	var earliest time.Time
	for _, at := range times {
		if !at.IsZero() && (earliest.IsZero() || at.Before(earliest)) {
			earliest = at
		}
	}
	return earliest
}
