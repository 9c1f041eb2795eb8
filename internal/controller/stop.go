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

// defaultGrace is how long a daemon that was asked to end is let run if nobody says.
const defaultGrace = 6 * time.Second

// beginStop asks the other controllers to let this one go.
func (c *Controller) beginStop(now time.Time, effects *statemachine.Effects) {
	if c.stopBy.IsZero() {
		c.stopBy = now.Add(c.stopLimit())
		c.timers.Arm("stop", c.stopBy)
	}
	c.node.Leave(now, effects)
}

// stopLimit leaves a quarter of the grace for the end itself.
func (c *Controller) stopLimit() time.Duration {
	grace := c.settings.Grace
	if grace == 0 {
		grace = defaultGrace
	}
	return grace * 3 / 4
}

// endStop ends the daemon once it may go, or its time is up.
func (c *Controller) endStop(now time.Time, effects *statemachine.Effects) {
	if c.stopBy.IsZero() || !c.node.Left() && now.Before(c.stopBy) {
		return
	}
	for _, other := range statemachine.Sorted(c.follower.Members) {
		if other.Kind == membership.KindController && other.Name != c.settings.Self.Name {
			effects.Send(other.Address, membership.GracefulLeave{Name: c.settings.Self.Name, Incarnation: c.settings.Self.Incarnation})
		}
	}
	effects.Stop = true
}
