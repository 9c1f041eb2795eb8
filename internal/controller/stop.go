package controller

import (
	"time"

	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// Stop asks a controller to stop in good order, as a command of the host. The controller
// first leaves the voters and the replicas of the control state by agreement, as its
// machine may be taken away with it. It stops once nothing that it stores is needed, and
// in any case before the platform ends the process.
type Stop struct{}

// defaultStopGracePeriod is how long a daemon that was asked to stop may go on running if
// no setting says otherwise.
const defaultStopGracePeriod = 6 * time.Second

// beginStop asks the other controllers to let this one leave.
func (c *Controller) beginStop(now time.Time, effects *statemachine.Effects) {
	if c.stopDeadline.IsZero() {
		c.stopDeadline = now.Add(c.stopTimeout())
		c.timers.Arm(timerStop, c.stopDeadline)
	}
	c.node.Leave(now, effects)
}

// stopTimeout leaves a quarter of the grace period for the end of the process itself.
func (c *Controller) stopTimeout() time.Duration {
	gracePeriod := c.settings.StopGracePeriod
	if gracePeriod == 0 {
		gracePeriod = defaultStopGracePeriod
	}
	return gracePeriod * 3 / 4
}

// finishStop stops the daemon once it has left, or its time is over, and sends the other
// controllers a GracefulLeave, so that they needn't detect its absence.
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
