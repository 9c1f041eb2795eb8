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
	// Broken returns an error if the current state violates an invariant.
	Broken() error
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
	Finish Ending
}

// Ending selects the states from which the world is run to completion.
type Ending int

// FinishNone selects no state, FinishLast the states at which the search backtracks, FinishAll every state.
const (
	FinishNone Ending = iota
	FinishLast
	FinishAll
)

// Result summarizes a search. Whole reports that the bound on states did not cut it short.
type Result struct {
	States      int
	Transitions int
	Depth       int
	Finished    int
	Whole       bool
	Broken      error
	Path        []string
}

// String returns the counts and, if an invariant is violated, the path to the violation.
func (r Result) String() string {
	counts := fmt.Sprintf("%d states, %d transitions, depth %d, %d brought to their end", r.States, r.Transitions, r.Depth, r.Finished)
	if !r.Whole {
		counts += ", cut short"
	}
	if r.Broken == nil {
		return counts
	}
	return fmt.Sprintf("%s\nbroken: %s\nafter:\n  %s", counts, r.Broken, strings.Join(r.Path, "\n  "))
}

// left is the depth and the budget that remained when a state was visited.
type left struct {
	depth  int
	budget int
}

type walk struct {
	begin  func() World
	bounds Bounds
	seen   map[Key][]left
	result Result
	path   []int
}

// Run visits all states within the bounds. It stops at the first violation and then
// searches for a shorter path to one.
func Run(begin func() World, bounds Bounds) Result {
	result := once(begin, bounds)
	for result.Broken != nil && len(result.Path) > 1 {
		shorter := bounds
		shorter.Depth = len(result.Path) - 1
		next := once(begin, shorter)
		if next.Broken == nil {
			break
		}
		result = next
	}
	return result
}

func once(begin func() World, bounds Bounds) Result {
	walk := &walk{begin: begin, bounds: bounds, seen: map[Key][]left{}, result: Result{Whole: true}}
	walk.visit(begin(), bounds.Budget)
	return walk.result
}

// visit continues the search from a world that is in the state of the current path.
func (w *walk) visit(world World, budget int) {
	w.result.Depth = max(w.result.Depth, len(w.path))
	if w.breaks(world.Broken()) || !w.enter(world.Key(), budget) {
		return
	}
	choices := world.Choices()
	last := len(w.path) >= w.bounds.Depth || w.bounds.Finish != FinishNone && budget == 0 && settled(choices)
	taken := false
	for number, choice := range choices {
		if last || choice.Cost > budget {
			continue
		}
		if taken {
			world = w.again()
		}
		taken = true
		w.path = append(w.path, number)
		w.result.Transitions++
		world.Take(number)
		w.visit(world, budget-choice.Cost)
		if w.result.Broken != nil {
			return
		}
		w.path = w.path[:len(w.path)-1]
	}
	if w.bounds.Finish == FinishAll || w.bounds.Finish == FinishLast && !taken {
		if taken {
			world = w.again()
		}
		w.result.Finished++
		w.breaks(world.Finish())
	}
}

// settled reports whether only the default choice is free. With no budget left there is
// then a single schedule, so Finish can replace the rest of the search.
func settled(choices []Choice) bool {
	for _, choice := range choices[1:] {
		if choice.Cost == 0 {
			return false
		}
	}
	return true
}

// enter reports whether to visit a state: not if it was visited before with at least as much
// depth and budget left, and not if it exceeds the bound on states.
func (w *walk) enter(key Key, budget int) bool {
	present := left{depth: w.bounds.Depth - len(w.path), budget: budget}
	earlier, found := w.seen[key]
	for _, each := range earlier {
		if each.depth >= present.depth && each.budget >= present.budget {
			return false
		}
	}
	if !found {
		if w.bounds.States > 0 && w.result.States >= w.bounds.States {
			w.result.Whole = false
			return false
		}
		w.result.States++
	}
	w.seen[key] = append(earlier, present)
	return true
}

func (w *walk) breaks(broken error) bool {
	if broken == nil {
		return false
	}
	w.result.Broken = broken
	w.result.Path = w.labels()
	return true
}

// labels replays the current path and returns the label of each choice.
func (w *walk) labels() []string {
	var labels []string
	world := w.begin()
	for _, choice := range w.path {
		labels = append(labels, world.Choices()[choice].Label())
		world.Take(choice)
	}
	return labels
}

// again replays the current path in a new world.
func (w *walk) again() World {
	world := w.begin()
	for _, choice := range w.path {
		world.Take(choice)
	}
	return world
}
