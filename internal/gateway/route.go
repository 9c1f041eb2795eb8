package gateway

import (
	"time"

	"dahlialock/internal/statemachine"
)

// route is where requests for a partition are sent, and whether its leader can answer.
type route struct {
	address string
	// incarnation is the leader's run and epoch the partition's, so that a restart or a takeover
	// makes another route.
	incarnation uint64
	epoch       uint64
	// complete is set if the leader has all records.
	complete bool
}

// routeTo returns the present route to a partition, the zero route if there is none.
func (g *Gateway) routeTo(name string) route {
	placement, placed := g.viewClient.Placements[name]
	leader, known := g.viewClient.Members[placement.Leader]
	if !placed || !known {
		return route{}
	}
	return route{
		address:     leader.Address,
		incarnation: leader.Incarnation,
		epoch:       placement.Epoch,
		complete:    placement.Complete,
	}
}

// changed returns whether something that was sent by this route is to be sent by the present one.
func (r route) changed(present route) bool {
	return present != (route{}) && r != present || statemachine.Mutated("all-sent-again-at-news")
}

// routesChanged returns whether high watermarks are to be subscribed to again: a partition in use
// here has another route than at the last time.
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

// resendRouted sends appends and fetches of routed topics to the new leaders of their partitions.
func (g *Gateway) resendRouted(now time.Time, effects *statemachine.Effects) {
	for _, item := range statemachine.Sorted(g.routed.appends) {
		if item.sentBy.changed(g.routeTo(item.partition)) && now.Sub(item.sentAt) > 20*time.Millisecond {
			g.sendRouted(now, item, effects)
		}
	}
	g.rerouteFetches(now, effects)
}

// leaderOf returns the address and the name of the store that leads a partition.
func (g *Gateway) leaderOf(name string) (address, store string, found bool) {
	placement, placed := g.viewClient.Placements[name]
	if !placed {
		return "", "", false
	}
	member, known := g.viewClient.Members[placement.Leader]
	return member.Address, placement.Leader, known
}

// placementsChanged sends what waits for a store to the new leaders of the partitions.
func (g *Gateway) placementsChanged(now time.Time, effects *statemachine.Effects) {
	for _, item := range statemachine.Sorted(g.appends) {
		if from, known := g.senders[item.key]; known && now.Sub(item.sentAt) > 50*time.Millisecond {
			g.sendAppend(now, from, item, effects)
		}
	}
	g.resendRouted(now, effects)
	if g.routesChanged() {
		g.timers.ArmSooner(timerFollow, now)
	}
}
