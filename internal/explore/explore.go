// Package explore is a bounded model checker: it visits every state that a small system of
// real state machines, called a world, can reach within bounds. A world lists its choices
// (deliver a message, complete a write, end a process, let time pass) and applies one of
// them; the search tries all of them in turn. State machines contain closures and can't be
// copied, so the search restores a state by replaying the same choices from the initial state.
// It does not expand a state again that it has visited with at least as much depth and budget
// left. Choices may have a cost: with a budget the search covers all schedules that
// deviate from the default schedule by at most that cost, which allows deep runs.
package explore

import (
	"fmt"
	"strings"
)

// Choice is a possible next step and its cost, which is charged to the budget. Label is
// called only to print a path.
type Choice struct {
	Label func() string
	Cost  int
}

// World is a small deterministic system: equal choices from the initial state give equal
// worlds.
type World interface {
	// Choices lists the possible next steps in a fixed order; the default step comes first.
	Choices() []Choice
	// Take applies the choice with this index.
	Take(choice int)
	// Key returns the fingerprint of the state; states with equal keys behave the same from then on.
	Key() Key
	// Violation returns an error if the current state violates an invariant.
	Violation() error
	// Finish ends all faults, runs the world to completion, and returns an error if its
	// final state is wrong. The world is not used afterwards.
	Finish() error
}

// Bounds limit a search: the number of consecutive choices, the sum of their costs and, as
// a safeguard, the number of states. Finish selects the states from which the world is run
// to completion.
type Bounds struct {
	Depth  int
	Budget int
	States int
	Finish FinishPolicy
}

// FinishPolicy selects the states from which the world is run to completion.
type FinishPolicy int

// FinishNone selects no state, FinishLast the states at which the search backtracks, FinishAll every state.
const (
	FinishNone FinishPolicy = iota
	FinishLast
	FinishAll
)

// Result summarizes a search. Whole reports that the bound on states did not cut it short.
type Result struct {
	States      int
	Transitions int
	Depth       int
	Finished    int
	Complete    bool
	Violation   error
	Path        []string
}

// String returns the counts and, if an invariant is violated, the path to the violation.
func (r Result) String() string {
	counts := fmt.Sprintf("%d states, %d transitions, depth %d, %d brought to their end",
		r.States, r.Transitions, r.Depth, r.Finished)
	if !r.Complete {
		counts += ", cut short"
	}
	if r.Violation == nil {
		return counts
	}
	return fmt.Sprintf("%s\nbroken: %s\nafter:\n  %s", counts, r.Violation, strings.Join(r.Path, "\n  "))
}

// remaining is the depth and the budget that remained when a state was visited.
type remaining struct {
	depth  int
	budget int
}

type searcher struct {
	begin  func() World
	bounds Bounds
	seen   map[Key][]remaining
	result Result
	path   []int
}

// Run visits all states within the bounds. It stops at the first violation and then
// searches for a shorter path to one.
func Run(begin func() World, bounds Bounds) Result {
	result := search(begin, bounds)
	for result.Violation != nil && len(result.Path) > 1 {
		shorter := bounds
		shorter.Depth = len(result.Path) - 1
		next := search(begin, shorter)
		if next.Violation == nil {
			break
		}
		result = next
	}
	return result
}

func search(begin func() World, bounds Bounds) Result {
	walk := &searcher{begin: begin, bounds: bounds, seen: map[Key][]remaining{}, result: Result{Complete: true}}
	walk.visit(begin(), bounds.Budget)
	return walk.result
}

// visit continues the search from a world that is in the state of the current path.
func (w *searcher) visit(world World, budget int) {
	w.result.Depth = max(w.result.Depth, len(w.path))
	if w.fail(world.Violation()) || !w.shouldVisit(world.Key(), budget) {
		return
	}
	choices := world.Choices()
	last := len(w.path) >= w.bounds.Depth || w.bounds.Finish != FinishNone && budget == 0 && onlyDefaultIsFree(choices)
	taken := false
	for number, choice := range choices {
		if last || choice.Cost > budget {
			continue
		}
		if taken {
			world = w.replay()
		}
		taken = true
		w.path = append(w.path, number)
		w.result.Transitions++
		world.Take(number)
		w.visit(world, budget-choice.Cost)
		if w.result.Violation != nil {
			return
		}
		w.path = w.path[:len(w.path)-1]
	}
	if w.bounds.Finish == FinishAll || w.bounds.Finish == FinishLast && !taken {
		if taken {
			world = w.replay()
		}
		w.result.Finished++
		w.fail(world.Finish())
	}
}

// onlyDefaultIsFree reports whether only the default choice is free. With no budget left there is
// then a single schedule, so Finish can replace the rest of the search.
func onlyDefaultIsFree(choices []Choice) bool {
	for _, choice := range choices[1:] {
		if choice.Cost == 0 {
			return false
		}
	}
	return true
}

// shouldVisit reports whether to visit a state: not if it was visited before with at least as much
// depth and budget left, and not if it exceeds the bound on states.
func (w *searcher) shouldVisit(key Key, budget int) bool {
	present := remaining{depth: w.bounds.Depth - len(w.path), budget: budget}
	earlier, found := w.seen[key]
	for _, each := range earlier {
		if each.depth >= present.depth && each.budget >= present.budget {
			return false
		}
	}
	if !found {
		if w.bounds.States > 0 && w.result.States >= w.bounds.States {
			w.result.Complete = false
			return false
		}
		w.result.States++
	}
	w.seen[key] = append(earlier, present)
	return true
}

func (w *searcher) fail(broken error) bool {
	if broken == nil {
		return false
	}
	w.result.Violation = broken
	w.result.Path = w.labels()
	return true
}

// labels replays the current path and returns the label of each choice.
func (w *searcher) labels() []string {
	var labels []string
	world := w.begin()
	for _, choice := range w.path {
		labels = append(labels, world.Choices()[choice].Label())
		world.Take(choice)
	}
	return labels
}

// replay replays the current path in a new world.
func (w *searcher) replay() World {
	world := w.begin()
	for _, choice := range w.path {
		world.Take(choice)
	}
	return world
}
