package gateway

import (
	"time"

	"dahlialock/internal/statemachine"
)

// refreshWaiter continues a request that waits for a newer configuration.
type refreshWaiter func(now time.Time, effects *statemachine.Effects)

// refreshThen refreshes the control state and then calls the given function, at the latest after
// refreshTimeLimit. All requests that wait at the same time share one poll and its time limit.
func (g *Gateway) refreshThen(now time.Time, then refreshWaiter) {
	if len(g.refreshWaiters) == 0 {
		g.Counts.Refreshes++
		g.viewClient.PollNow(now)
	}
	g.refreshWaiters = append(g.refreshWaiters, then)
	g.timers.ArmSooner(timerRefresh, now.Add(g.refreshTimeLimit(now)))
}

// refreshTimeLimit returns how long a request may wait for a newer configuration. While the gateway
// is confirmed it handles other requests by the present one. A client sees which configuration handled a
// request, but not when, so a request that was sent long before another one must not show a newer one.
func (g *Gateway) refreshTimeLimit(now time.Time) time.Duration {
	if g.Confirmed(now) && !statemachine.Mutated("long-refresh") {
		return g.settings.RefreshWithin
	}
	return refreshTimeout
}

// completeRefresh continues all requests that wait for a refresh.
func (g *Gateway) completeRefresh(now time.Time, effects *statemachine.Effects) {
	waiters := g.refreshWaiters
	g.refreshWaiters = nil
	for _, continueRequest := range waiters {
		continueRequest(now, effects)
	}
}
