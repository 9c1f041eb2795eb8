package explore

import (
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// steps is a world of two counters that can be incremented, the second one at a cost.
type steps struct {
	first, second int
	forbidden     [2]int
}

func (s *steps) Choices() []Choice {
	first := func() string { return "first" }
	second := func() string { return "second" }
	return []Choice{{Label: first}, {Label: second, Cost: 1}}
}

func (s *steps) Take(choice int) {
	if choice == 0 {
		s.first++
	} else {
		s.second++
	}
}

func (s *steps) Key() Key { return KeyOf(time.Time{}, nil, s.first, s.second) }

func (s *steps) Violation() error {
	if [2]int{s.first, s.second} == s.forbidden {
		return errors.New("forbidden")
	}
	return nil
}

func (s *steps) Finish() error { return nil }

func TestEachStateIsWalkedOnce(t *testing.T) {
	begin := func() World { return &steps{forbidden: [2]int{-1, -1}} }
	result := Run(begin, Bounds{Depth: 4, Budget: 4, Finish: FinishAll})
	assert.Equal(t, result.States, 1+2+3+4+5)
	assert.Equal(t, result.Transitions, 2*(1+2+3+4))
	assert.Equal(t, result.Finished, result.States)
	assert.Equal(t, result.Depth, 4)
	result = Run(begin, Bounds{Depth: 4, Budget: 1})
	assert.Equal(t, result.States, 5+4)
	// Once the budget is used up, the world is finished immediately.
	result = Run(begin, Bounds{Depth: 4, Budget: 1, Finish: FinishLast})
	assert.Equal(t, result.Finished, 5)
}

func TestTheShortestWayToABrokenPromiseIsTold(t *testing.T) {
	begin := func() World { return &steps{forbidden: [2]int{2, 1}} }
	result := Run(begin, Bounds{Depth: 6, Budget: 2})
	assert.Error(t, result.Violation, "forbidden")
	assert.Equal(t, len(result.Path), 3)
	assert.Equal(t, strings.Count(result.String(), "first"), 2)
	result = Run(begin, Bounds{Depth: 6, Budget: 0})
	assert.NilError(t, result.Violation)
}

func TestMomentsCountByTheirDistance(t *testing.T) {
	type clock struct{ at time.Time }
	now := time.Unix(1_700_000_000, 5)
	later := now.Add(time.Hour)
	key := func(now, at time.Time) Key { return KeyOf(now, nil, clock{at: at}) }
	assert.Equal(t, key(now, now.Add(time.Second)), key(later, later.Add(time.Second)))
	assert.Equal(t, key(now, now.Add(-time.Minute)), key(now, now.Add(-time.Hour)))
	assert.Assert(t, key(now, now) != key(now, now.Add(time.Nanosecond)))
	assert.Assert(t, key(now, time.Time{}) != key(now, now))
}

func TestMapsCountInOrder(t *testing.T) {
	first, second := map[string]int{}, map[string]int{}
	for _, name := range []string{"a", "b", "c", "d"} {
		first[name] = len(name)
	}
	for _, name := range []string{"d", "c", "b", "a"} {
		second[name] = len(name)
	}
	assert.Equal(t, KeyOf(time.Time{}, nil, first), KeyOf(time.Time{}, nil, second))
	second["a"]++
	assert.Assert(t, KeyOf(time.Time{}, nil, first) != KeyOf(time.Time{}, nil, second))
}
