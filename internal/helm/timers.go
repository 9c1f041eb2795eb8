// Timers names the moments at which a machine wants to run again. Keys are
// kept with their moment, and expired keys come out in order of moment and
// then of key, so that a run never depends on the order of a map.
package helm

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
func (timers *Timers) Arm(key string, at time.Time) {
	timers.moments[key] = at
}

// ArmSooner sets the moment unless an earlier one is already set.
func (timers *Timers) ArmSooner(key string, at time.Time) {
	if present, found := timers.moments[key]; found && !at.Before(present) {
		return
	}
	timers.moments[key] = at
}

// Disarm forgets a key.
func (timers *Timers) Disarm(key string) {
	delete(timers.moments, key)
}

// Armed tells whether a key waits.
func (timers *Timers) Armed(key string) bool {
	_, found := timers.moments[key]
	return found
}

// Next is the earliest moment, or the zero time if none is armed.
func (timers *Timers) Next() time.Time {
	var next time.Time
	for _, at := range timers.moments {
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

// Expired takes out and returns the keys that are due.
func (timers *Timers) Expired(now time.Time) []string {
	var keys []string
	for key, at := range timers.moments {
		if !at.After(now) {
			keys = append(keys, key)
		}
	}
	sort.Slice(keys, func(left, right int) bool {
		leftAt, rightAt := timers.moments[keys[left]], timers.moments[keys[right]]
		if !leftAt.Equal(rightAt) {
			return leftAt.Before(rightAt)
		}
		return keys[left] < keys[right]
	})
	for _, key := range keys {
		delete(timers.moments, key)
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
