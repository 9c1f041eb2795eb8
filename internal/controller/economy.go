package controller

import (
	"slices"
	"time"

	"dahlialock/internal/balancing"
	"dahlialock/internal/config"
	"dahlialock/internal/consolidation"
	"dahlialock/internal/logevent"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// loadTimeout is the age above which a gateway's load report is ignored in balancing sessions.
const loadTimeout = 2 * time.Second

// runEconomy puts idle gateways to rest and balances sessions, under the lease of the economy
// role.
func (c *Controller) runEconomy(now time.Time, effects *statemachine.Effects) {
	configuration := c.configuration()
	c.node.RequestRoleLease(now, c.economyLease, effects)
	// In the warm-up period only some gateways have reported their sessions, and after a failure
	// of all gateways the clients are still reconnecting. The number of sessions, and so each
	// gateway's fair share, would be estimated far too low.
	if !c.economyLease.Valid(now) || c.warmingUp(now, warmupPeriod) {
		return
	}
	directives := c.planner.Plan(now, consolidation.Observation{
		Configuration: configuration,
		Members:       c.state.Members,
		Loads:         c.loads,
		LastReported:  c.lastPolled,
	})
	c.addBalancing(now, configuration, directives)
	c.issueDirectives(now, directives, effects)
}

// addBalancing adds directives that balance sessions between the gateways with a recent load
// report. Gateways that are resting, about to rest or draining receive no sessions.
func (c *Controller) addBalancing(
	now time.Time, configuration config.Configuration, directives map[string]membership.Directives,
) {
	var gateways []balancing.Gateway
	for name, load := range statemachine.Sorted(c.loads) {
		member, known := c.state.Members[name]
		if !known || member.Kind != membership.KindGateway || !member.Alive {
			continue
		}
		if now.Sub(c.lastPolled[name]) > loadTimeout {
			continue
		}
		idle := member.Resting || directives[name].Rest || slices.Contains(configuration.Draining, name)
		gateways = append(gateways, balancing.Gateway{
			Name:         name,
			Zone:         member.Zone,
			Sessions:     load.Sessions,
			FreeCapacity: load.FreeCapacity,
			Accepting:    load.Ready && !idle,
		})
	}
	for name, directive := range c.balancer.Plan(gateways) {
		merged := directives[name]
		merged.KeepSessions = directive.KeepSessions
		merged.MovesPerSecond = directive.MovesPerSecond
		merged.Targets = directive.Targets
		directives[name] = merged
	}
}

// issueDirectives sends each gateway its directives if they have changed, and records in the
// control state which gateways are resting. A gateway that has directives and for which none are
// planned any more gets empty directives, which cancel the earlier ones.
func (c *Controller) issueDirectives(
	now time.Time, planned map[string]membership.Directives, effects *statemachine.Effects,
) {
	for name := range statemachine.Sorted(c.directives) {
		if _, found := planned[name]; !found {
			planned[name] = membership.Directives{}
		}
	}
	command := Command{}
	for name, directives := range statemachine.Sorted(planned) {
		earlier := c.directives[name]
		c.directives[name] = directives
		if !earlier.Equal(directives) {
			c.answerPollOf(now, name, effects)
		}
		if change, changed := c.restChange(name, directives); changed {
			command.RestChanges = append(command.RestChanges, change)
			emitRestChange(change, effects)
		}
	}
	if !command.empty() {
		c.submit(now, command, effects)
	}
}

// restChange returns the change to record if a gateway has started or stopped resting. A gateway
// counts as resting once its directives tell it to rest and its load report confirms that it
// does.
func (c *Controller) restChange(name string, directives membership.Directives) (RestChange, bool) {
	member := c.state.Members[name]
	resting := directives.Rest && c.loads[name].Resting
	if member.Resting == resting || !member.Alive {
		return RestChange{}, false
	}
	return RestChange{Name: name, Incarnation: member.Incarnation, Resting: resting}, true
}

func emitRestChange(change RestChange, effects *statemachine.Effects) {
	if change.Resting {
		effects.Emit(logevent.GatewayRested, "gateway", change.Name)
	} else {
		effects.Emit(logevent.GatewayWoken, "gateway", change.Name)
	}
}
