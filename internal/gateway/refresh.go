package gateway

import (
	"dahlialock/internal/statemachine"
	"time"
)

type refreshWaiter struct {
	until time.Time
	then  func(now time.Time, effects *statemachine.Effects)
}

// refreshThen asks for news once, for all requests that met an unknown space meanwhile,
// and then lets them go on.
func (g *Gateway) refreshThen(now time.Time, then func(now time.Time, effects *statemachine.Effects)) {
	if len(g.refreshWaiters) == 0 {
		g.Counts.Refreshes++
		g.viewClient.PollNow(now)
	}
	until := now.Add(refreshTimeout)
	g.refreshWaiters = append(g.refreshWaiters, refreshWaiter{until: until, then: then})
	g.timers.ArmSooner(timerRefresh, until)
}

func (g *Gateway) completeRefresh(now time.Time, effects *statemachine.Effects) {
	waiters := g.refreshWaiters
	g.refreshWaiters = nil
	for _, waiter := range waiters {
		waiter.then(now, effects)
	}
}
