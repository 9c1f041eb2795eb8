package gateway

import (
	"time"

	"dahlialock/internal/statemachine"
)

// refreshWaiter is a request that waits for a newer configuration.
type refreshWaiter struct {
	until time.Time
	then  func(now time.Time, effects *statemachine.Effects)
}

// refreshThen polls the control state, once for all requests that wait meanwhile, and continues
// with them when it has answered or after refreshTimeout.
func (g *Gateway) refreshThen(now time.Time, then func(now time.Time, effects *statemachine.Effects)) {
	if len(g.refreshWaiters) == 0 {
		g.Counts.Refreshes++
		g.viewClient.PollNow(now)
	}
	until := now.Add(refreshTimeout)
	g.refreshWaiters = append(g.refreshWaiters, refreshWaiter{until: until, then: then})
	g.timers.ArmSooner(timerRefresh, until)
}

// completeRefresh continues with all requests that wait for a refresh.
func (g *Gateway) completeRefresh(now time.Time, effects *statemachine.Effects) {
	waiters := g.refreshWaiters
	g.refreshWaiters = nil
	for _, waiter := range waiters {
		waiter.then(now, effects)
	}
}
