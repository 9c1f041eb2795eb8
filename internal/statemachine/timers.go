// Timers names the moments at which a machine wants to run again. Keys are
// kept with their moment, and expired keys come out in order of moment and
// then of key, so that a run never depends on the order of a map.

package statemachine

import (
	"sort"
	"time"
)

// Timers is a small table of named moments.
type Timers struct {
	moments map[string]time.Time
}

// NewTimers gives an empty table.
func NewTimers() *Timers {
	return &Timers{moments: map[string]time.Time{}}
}

// Arm sets the moment of a key, in place of an earlier one.
func (t *Timers) Arm(key string, at time.Time) {
	t.moments[key] = at
}

// ArmSooner sets the moment unless an earlier one is already set.
func (t *Timers) ArmSooner(key string, at time.Time) {
	if present, found := t.moments[key]; found && !at.Before(present) {
		return
	}
	t.moments[key] = at
}

// Disarm forgets a key.
func (t *Timers) Disarm(key string) {
	delete(t.moments, key)
}

// Armed tells whether a key waits.
func (t *Timers) Armed(key string) bool {
	_, found := t.moments[key]
	return found
}

// Next is the earliest moment, or the zero time if none is armed.
func (t *Timers) Next() time.Time {
	var next time.Time
	for _, at := range t.moments {
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

// Expired takes out and returns the keys that are due.
func (t *Timers) Expired(now time.Time) []string {
	var keys []string
	for key, at := range t.moments {
		if !at.After(now) {
			keys = append(keys, key)
		}
	}
	sort.Slice(keys, func(left, right int) bool {
		leftAt, rightAt := t.moments[keys[left]], t.moments[keys[right]]
		if !leftAt.Equal(rightAt) {
			return leftAt.Before(rightAt)
		}
		return keys[left] < keys[right]
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
