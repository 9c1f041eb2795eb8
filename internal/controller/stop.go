// Stopping in good order: a controller that is asked to end first leaves the voters
// and the copies of the control state by agreement, in case its machine goes with
// it. It ends once nothing that it holds is needed, and in any case before the platform
// loses patience.

package controller

import (
	"time"

	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// Stop asks a daemon to end in good order.
type Stop struct{}

// defaultStopGracePeriod is how long a daemon that was asked to end is let run if nobody says.
const defaultStopGracePeriod = 6 * time.Second

// beginStop asks the other controllers to let this one go.
func (c *Controller) beginStop(now time.Time, effects *statemachine.Effects) {
	if c.stopDeadline.IsZero() {
		c.stopDeadline = now.Add(c.stopTimeout())
		c.timers.Arm("stop", c.stopDeadline)
	}
	c.node.Leave(now, effects)
}

// stopTimeout leaves a quarter of the grace for the end itself.
func (c *Controller) stopTimeout() time.Duration {
	grace := c.settings.StopGracePeriod
	if grace == 0 {
		grace = defaultStopGracePeriod
	}
	return grace * 3 / 4
}

// finishStop ends the daemon once it may go, or its time is up.
func (c *Controller) finishStop(now time.Time, effects *statemachine.Effects) {
	if c.stopDeadline.IsZero() || !c.node.Left() && now.Before(c.stopDeadline) {
		return
	}
	for _, other := range statemachine.Sorted(c.viewClient.Members) {
		if other.Kind == membership.KindController && other.Name != c.settings.Self.Name {
			effects.Send(other.Address, membership.GracefulLeave{Name: c.settings.Self.Name, Incarnation: c.settings.Self.Incarnation})
		}
	}
	effects.Stop = true
}
