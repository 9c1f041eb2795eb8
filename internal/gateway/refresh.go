package gateway

import (
	"time"

	"dahlialock/internal/statemachine"
)

// refreshWaiter is a request that waits for a newer configuration.
type refreshWaiter struct {
	deadline time.Time
	then     func(now time.Time, effects *statemachine.Effects)
}

// refreshThen refreshes the control state and then calls the given function, at the latest after
// refreshTimeout. All requests that wait at the same time share one poll.
func (g *Gateway) refreshThen(now time.Time, then func(now time.Time, effects *statemachine.Effects)) {
	if len(g.refreshWaiters) == 0 {
		g.Counts.Refreshes++
		g.viewClient.PollNow(now)
	}
	until := now.Add(refreshTimeout)
	g.refreshWaiters = append(g.refreshWaiters, refreshWaiter{deadline: until, then: then})
	g.timers.ArmSooner(timerRefresh, until)
}

// completeRefresh continues all requests that wait for a refresh.
func (g *Gateway) completeRefresh(now time.Time, effects *statemachine.Effects) {
	waiters := g.refreshWaiters
	g.refreshWaiters = nil
	for _, waiter := range waiters {
		waiter.then(now, effects)
	}
}
