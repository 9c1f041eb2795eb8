package gateway

import (
	"time"

	"dahlialock/internal/statemachine"
)

// route is the destination of requests for a partition.
type route struct {
	address string
	// incarnation is that of the leader, epoch that of the partition. A restart or a takeover therefore
	// results in a different route.
	incarnation uint64
	epoch       uint64
	// complete is set if the leader has all records, so that it can answer.
	complete bool
}

// routeTo returns the current route to a partition, or the zero route if the leader is unknown.
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

// mustResend reports whether a request that was sent by this route must be sent again by the current
// route.
func (r route) mustResend(current route) bool {
	return current != (route{}) && r != current || statemachine.Mutated("all-sent-again-at-news")
}

// mustResubscribe reports whether the gateway must subscribe to high watermarks again. It must if the
// route of a partition in use has changed since the last time, and whenever there are trackers.
func (g *Gateway) mustResubscribe() bool {
	if len(g.trackers) > 0 {
		return true
	}
	for name := range g.routed.topicCounts {
		if g.routed.highWatermarkRoutes[name].mustResend(g.routeTo(name)) {
			return true
		}
	}
	return false
}

// resendRouted sends appends and fetches of routed topics again if the routes of their partitions have
// changed.
func (g *Gateway) resendRouted(now time.Time, effects *statemachine.Effects) {
	for _, item := range statemachine.Sorted(g.routed.appends) {
		if item.sentRoute.mustResend(g.routeTo(item.partition)) && now.Sub(item.sentAt) > 20*time.Millisecond {
			g.sendRoutedAppend(now, item, effects)
		}
	}
	g.rerouteFetches(now, effects)
}

// leaderOf returns the address and the name of the store that is the leader of a partition.
func (g *Gateway) leaderOf(name string) (address, store string, found bool) {
	placement, placed := g.viewClient.Placements[name]
	if !placed {
		return "", "", false
	}
	member, known := g.viewClient.Members[placement.Leader]
	return member.Address, placement.Leader, known
}

// handlePlacementsChanged sends unanswered requests to the new leaders of the partitions, and
// schedules a new subscription to high watermarks if one is needed.
func (g *Gateway) handlePlacementsChanged(now time.Time, effects *statemachine.Effects) {
	for _, item := range statemachine.Sorted(g.appends) {
		if senderState, known := g.senders[item.key]; known && now.Sub(item.sentAt) > 50*time.Millisecond {
			g.sendAppend(now, senderState, item, effects)
		}
	}
	g.resendRouted(now, effects)
	if g.mustResubscribe() {
		g.timers.ArmSooner(timerHighWatermarks, now)
	}
}
