package controller

import (
	"fmt"
	"slices"

	"dahlialock/internal/explore"
	"dahlialock/internal/transport"
)

// Choices returns the possible next events of the world.
func (w *storeWorld) Choices() []explore.Choice {
	w.moves = w.moves[:0]
	if next := w.next(); next == nil {
		w.addMove(0, "time passes", w.tick)
	} else {
		w.addArrival(0, next)
		w.addDeliveryMoves(next)
	}
	w.addFaultMoves()
	var choices []explore.Choice
	for _, move := range w.moves {
		choices = append(choices, move.Choice)
	}
	return choices
}

// Take executes one of the choices.
func (w *storeWorld) Take(choice int) {
	w.Choices()
	w.moves[choice].do()
}

func (w *storeWorld) addMove(cost int, label string, do func()) {
	choice := explore.Choice{Label: func() string { return label }, Cost: cost}
	w.moves = append(w.moves, storeMove{Choice: choice, do: do})
}

// addArrival adds the arrival of an item as a choice. The label is computed only on demand.
func (w *storeWorld) addArrival(cost int, item *inFlight) {
	choice := explore.Choice{Label: item.label, Cost: cost}
	w.moves = append(w.moves, storeMove{Choice: choice, do: func() { w.arrive(item) }})
}

func (i *inFlight) label() string {
	if i.write != nil {
		return "a write of " + i.to + " completes"
	}
	_, message, _ := transport.Decode(i.packed[4:])
	return fmt.Sprintf("%s receives %T%+v from %s", i.to, message, message, i.from)
}

// addDeliveryMoves adds the alternatives to the arrival of the next item: a reordering, a delay,
// a loss or a duplicate.
func (w *storeWorld) addDeliveryMoves(next *inFlight) {
	w.addReorderings(next)
	w.addMove(1, "the next is delayed", func() {
		for _, item := range w.items {
			laterWrite := next.write != nil && item.write != nil && item.to == next.to
			if item == next || laterWrite {
				item.delayed, item.ticks = true, exploreDelayTicks
			}
		}
	})
	if next.write == nil && w.budget.losses > 0 {
		w.addMove(1, "the next is lost", func() {
			w.budget.losses--
			w.items = slices.DeleteFunc(w.items, func(item *inFlight) bool { return item == next })
		})
	}
	if next.write == nil && w.budget.duplicates > 0 {
		w.addMove(1, "the next arrives twice", func() {
			w.budget.duplicates--
			again := *next
			again.delayed, again.ticks = true, exploreDelayTicks
			w.items = append(w.items, &again)
			w.arrive(next)
		})
	}
}

// addReorderings adds the arrival of each item other than the next. The writes of a store
// complete in order.
func (w *storeWorld) addReorderings(next *inFlight) {
	wrote := map[string]bool{}
	for _, item := range w.items {
		if item.write != nil && wrote[item.to] {
			continue
		}
		wrote[item.to] = wrote[item.to] || item.write != nil
		if item != next && !item.delayed {
			w.addArrival(1, item)
		}
	}
}

// addFaultMoves adds the publications and faults that the budget allows.
func (w *storeWorld) addFaultMoves() {
	if w.budget.appends > 0 {
		w.addMove(1, "a message is published", func() {
			w.budget.appends--
			w.append("late", uint64(w.budget.appends)+1)
		})
	}
	for _, store := range w.stores {
		if store.up {
			w.addFaultMovesOf(store)
		}
	}
}

func (w *storeWorld) addFaultMovesOf(store *exploreStore) {
	mayLose := w.lost < w.state.Tolerance
	if w.budget.restarts > 0 {
		w.addMove(1, store.name+" is restarted", func() {
			w.budget.restarts--
			store.restart()
		})
	}
	if w.budget.wipes > 0 && mayLose {
		w.addMove(1, store.name+" loses its disk", func() {
			w.budget.wipes--
			w.lost++
			store.end()
			store.snapshot, store.entries, store.disk = nil, nil, explore.Key{}
			store.start()
		})
	}
	if w.budget.removals > 0 && mayLose {
		w.addMove(1, store.name+" is removed", func() {
			w.budget.removals--
			w.lost++
			store.remove()
		})
	}
	if w.budget.retirements > 0 {
		w.addMove(1, store.name+" is retired", func() {
			w.budget.retirements--
			w.retire(store)
		})
	}
}
