// Package explore walks every state that a small world of real state machines can
// reach, up to a bound. A world offers its choices (deliver this message, let this
// write last, let that process end, let time pass) and takes one; the walk takes all of
// them in turn. State machines hold closures and can't be copied, so a state is made
// anew by taking the same choices from the beginning; a state that was seen before,
// with at least as much left to spend, is not walked again. Choices may cost: with
// a budget the walk takes all schedules that differ from the ordinary one in so
// many places, which reaches far into a long run.
package explore

import (
	"fmt"
	"strings"
)

// Choice is one thing that may happen next, and what it costs of the budget. Label
// is asked for only where a path is told.
type Choice struct {
	Label func() string
	Cost  int
}

// World is a small system with all that decides what happens next. Equal choices
// from the beginning give equal worlds.
type World interface {
	// Choices lists what may happen next, in a fixed order; the ordinary one first.
	Choices() []Choice
	// Take lets one of the choices happen.
	Take(choice int)
	// Key names the state; two states with one key have the same future.
	Key() Key
	// Broken tells which promise the present state breaks.
	Broken() error
	// Finish lets all trouble end and tells what is wrong with what comes of it. The
	// world is not used after.
	Finish() error
}

// Bounds end a walk: so many choices in a row, so much of the budget, and, as a
// safeguard, so many states. Finish says from which states the world is brought to
// its end.
type Bounds struct {
	Depth  int
	Budget int
	States int
	Finish Ending
}

// Ending says which states are brought to their end.
type Ending int

// The endings: none; those at which the walk turns back; every state.
const (
	FinishNone Ending = iota
	FinishLast
	FinishAll
)

// Result is what a walk has seen. Whole says that no bound on states cut it short.
type Result struct {
	States      int
	Transitions int
	Depth       int
	Finished    int
	Whole       bool
	Broken      error
	Path        []string
}

// String gives the counts, and the path to what is broken.
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

// left is what a state was walked with.
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

// Run walks all states within the bounds. It stops at the first broken promise, and
// then looks for a shorter way to one.
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

// visit walks on from a world that is in the state of the present path.
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

// settled tells whether only the ordinary choice is left to somebody who has nothing
// more to spend: the world's own end is then as good as a walk.
func settled(choices []Choice) bool {
	for _, choice := range choices[1:] {
		if choice.Cost == 0 {
			return false
		}
	}
	return true
}

// enter tells whether a state is walked: not if it was, with as much left to spend.
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

// labels takes the present path once more and tells what happens on it.
func (w *walk) labels() []string {
	var labels []string
	world := w.begin()
	for _, choice := range w.path {
		labels = append(labels, world.Choices()[choice].Label())
		world.Take(choice)
	}
	return labels
}

// again makes the state of the present path anew.
func (w *walk) again() World {
	world := w.begin()
	for _, choice := range w.path {
		world.Take(choice)
	}
	return world
}
