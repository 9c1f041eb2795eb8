// The credit of fetches. Only so many are on their way to a store at a time: answers
// come no faster than the link takes them, and neither do the next questions. One
// for which nobody waits any more keeps its credit until its answer has come.

package gateway

import (
	"time"

	"dahlialock/internal/statemachine"
)

const (
	// fetchesMost is how many fetches are on their way to one store.
	fetchesMost = 8
	// abandonedFor is for how long the answer to a fetch for which nobody waits any
	// more may be on its way.
	abandonedFor = time.Second
)

// abandoned is a fetch for which nobody waits any more.
type abandoned struct {
	at    time.Time
	store string
}

// underway counts the fetches that are on their way, by the store's address.
func (g *Gateway) underway() map[string]int {
	count := map[string]int{}
	for _, asked := range g.routed.fetches {
		count[asked.sentBy.address]++
	}
	for _, gone := range g.routed.abandoned {
		count[gone.store]++
	}
	return count
}

// abandon notes that nobody waits for a topic's fetch any more.
func (g *Gateway) abandon(now time.Time, followed *topic) {
	asked, running := g.routed.fetches[followed.fetch]
	if !running {
		return
	}
	delete(g.routed.fetches, followed.fetch)
	g.routed.abandoned[followed.fetch] = abandoned{at: now, store: asked.sentBy.address}
	g.timers.ArmSooner("routed", now.Add(abandonedFor))
}

// fetchQueued fetches topics that waited for the credit, in the order in which they
// came, unless nobody waits for them any more.
func (g *Gateway) fetchQueued(now time.Time, effects *statemachine.Effects) {
	if len(g.routed.queue) == 0 {
		return
	}
	count, waiting := g.underway(), g.routed.queue
	g.routed.queue = nil
	for _, next := range waiting {
		store := g.wayTo(next.partition).address
		switch {
		case g.routed.topics[next.name] != next:
		case count[store] >= fetchesMost:
			g.routed.queue = append(g.routed.queue, next)
		default:
			next.queued = false
			count[store]++
			g.fetchTopic(now, next, effects)
		}
	}
}

// dropAbandoned gives the credit of answers back that never will come.
func (g *Gateway) dropAbandoned(now time.Time, effects *statemachine.Effects) {
	for id, gone := range g.routed.abandoned {
		if !gone.at.Add(abandonedFor).After(now) {
			delete(g.routed.abandoned, id)
		} else {
			g.timers.ArmSooner("routed", gone.at.Add(abandonedFor))
		}
	}
	g.fetchQueued(now, effects)
}
