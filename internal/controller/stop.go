package controller

import (
	"time"

	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// Stop is the host's command to shut a controller down gracefully. The controller first has
// itself replaced as a voter and as a replica of the control state, since its machine may be
// removed together with its disk. It stops once its stored data is no longer needed, and in any
// case before the platform kills the process.
type Stop struct{}

// defaultStopGracePeriod is the default of [Settings.StopGracePeriod].
const defaultStopGracePeriod = 6 * time.Second

// beginStop starts the shutdown: this controller begins to leave the voters and the backups.
func (c *Controller) beginStop(now time.Time, effects *statemachine.Effects) {
	if c.stopDeadline.IsZero() {
		c.stopDeadline = now.Add(c.stopTimeout())
		c.timers.Arm(timerStop, c.stopDeadline)
	}
	c.node.Leave(now, effects)
}

// stopTimeout returns the time within which the controller must stop. A quarter of the grace
// period is reserved for the exit of the process.
func (c *Controller) stopTimeout() time.Duration {
	gracePeriod := c.settings.StopGracePeriod
	if gracePeriod == 0 {
		gracePeriod = defaultStopGracePeriod
	}
	return gracePeriod * 3 / 4
}

// finishStop stops the daemon once it has left or stopDeadline is reached. It sends the other
// controllers a GracefulLeave, so that they need not detect a failure.
func (c *Controller) finishStop(now time.Time, effects *statemachine.Effects) {
	if c.stopDeadline.IsZero() || !c.node.LeaveCompleted() && now.Before(c.stopDeadline) {
		return
	}
	self := c.settings.Self
	for _, other := range statemachine.Sorted(c.viewClient.Members) {
		if other.Kind == membership.KindController && other.Name != self.Name {
			effects.Send(other.Address, membership.GracefulLeave{Name: self.Name, Incarnation: self.Incarnation})
		}
	}
	effects.Stop = true
}
