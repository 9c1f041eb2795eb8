// Ways to partitions: to which store, in which of its lives and in which epoch, what
// waits for an answer was sent. News of other things send nothing again.

package gateway

import (
	"time"

	"dahlialock/internal/statemachine"
)

// way is where a partition is asked, and whether it can answer.
type way struct {
	address     string
	incarnation uint64
	epoch       uint64
	complete    bool
}

// wayTo is the present way to a partition; the zero way where there is none.
func (g *Gateway) wayTo(name string) way {
	place, placed := g.follower.Placements[name]
	first, known := g.follower.Members[place.Leader]
	if !placed || !known {
		return way{}
	}
	return way{address: first.Address, incarnation: first.Incarnation, epoch: place.Epoch, complete: place.Complete}
}

// changed tells whether something that went one way should go another now.
func (w way) changed(present way) bool {
	return present != (way{}) && w != present || statemachine.Mutated("all-sent-again-at-news")
}

// waysChanged tells whether heads are to be asked for anew: a partition that topics
// here lie in has another way than when they were last asked for.
func (g *Gateway) waysChanged() bool {
	if len(g.trackers) > 0 {
		return true
	}
	for name := range g.routed.partitions {
		if g.routed.followed[name].changed(g.wayTo(name)) {
			return true
		}
	}
	return false
}

// resendRouted sends what waits for a store to the partition's new first.
func (g *Gateway) resendRouted(now time.Time, effects *statemachine.Effects) {
	for _, item := range statemachine.Sorted(g.routed.appends) {
		if item.sentBy.changed(g.wayTo(item.partition)) && now.Sub(item.sentAt) > 20*time.Millisecond {
			g.sendRouted(now, item, effects)
		}
	}
	g.rerouteFetches(now, effects)
}
