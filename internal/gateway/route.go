// Ways to partitions: to which store, in which of its lives and in which epoch, what
// waits for an answer was sent. News of other things send nothing again.

package gateway

import (
	"time"

	"dahlialock/internal/statemachine"
)

// route is where a partition is asked, and whether it can answer.
type route struct {
	address     string
	incarnation uint64
	epoch       uint64
	complete    bool
}

// routeTo is the present way to a partition; the zero way where there is none.
func (g *Gateway) routeTo(name string) route {
	placement, placed := g.viewClient.Placements[name]
	leader, known := g.viewClient.Members[placement.Leader]
	if !placed || !known {
		return route{}
	}
	return route{address: leader.Address, incarnation: leader.Incarnation, epoch: placement.Epoch, complete: placement.Complete}
}

// changed tells whether something that went one way should go another now.
func (r route) changed(present route) bool {
	return present != (route{}) && r != present || statemachine.Mutated("all-sent-again-at-news")
}

// routesChanged tells whether heads are to be asked for anew: a partition that topics
// here lie in has another way than when they were last asked for.
func (g *Gateway) routesChanged() bool {
	if len(g.trackers) > 0 {
		return true
	}
	for name := range g.routed.partitions {
		if g.routed.followRoutes[name].changed(g.routeTo(name)) {
			return true
		}
	}
	return false
}

// resendRouted sends what waits for a store to the partition's new first.
func (g *Gateway) resendRouted(now time.Time, effects *statemachine.Effects) {
	for _, item := range statemachine.Sorted(g.routed.appends) {
		if item.sentBy.changed(g.routeTo(item.partition)) && now.Sub(item.sentAt) > 20*time.Millisecond {
			g.sendRouted(now, item, effects)
		}
	}
	g.rerouteFetches(now, effects)
}
