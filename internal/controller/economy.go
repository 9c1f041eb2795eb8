// The duties that look at what gateways report: which of them rest, and how callers
// are spread over the others.

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

// loadFresh is how old a report may be on which callers are moved.
const loadFresh = 2 * time.Second

// economize lets the economy duty act, under its own lease.
func (c *Controller) economize(now time.Time, effects *statemachine.Effects) {
	configuration := c.configuration()
	c.node.RequestRoleLease(now, c.lease, effects)
	// Right after a take-over few have reported, and after a loss of all the crowd
	// still comes: what looks like too many then is a share of too few.
	if !c.lease.Valid(now) || now.Sub(c.began) < settleFor {
		return
	}
	decided := c.economist.Decide(now, consolidation.Observation{
		Configuration: configuration, Members: c.state.Members, Loads: c.loads, Heard: c.heard,
	})
	c.balance(now, configuration, decided)
	c.giveOrders(now, decided, effects)
}

// balance adds orders that spread callers evenly over the gateways which nobody asked
// to rest and whose reports are fresh.
func (c *Controller) balance(now time.Time, configuration config.Configuration, decided map[string]membership.Directives) {
	var gateways []balancing.Gateway
	for name, load := range statemachine.Sorted(c.loads) {
		member, known := c.state.Members[name]
		if !known || member.Kind != membership.KindGateway || !member.Alive || now.Sub(c.heard[name]) > loadFresh {
			continue
		}
		gateways = append(gateways, balancing.Gateway{
			Name: name, Zone: member.Zone, Origins: load.Sessions, Room: load.FreeCapacity,
			Accepts: load.Ready && !member.Resting && !decided[name].Rest && !slices.Contains(configuration.Draining, name),
		})
	}
	for name, order := range c.balancer.Plan(gateways) {
		present := decided[name]
		present.KeepSessions, present.MovesPerSecond, present.Targets = order.Keep, order.Pace, order.Targets
		decided[name] = present
	}
}

// giveOrders tells gateways what is asked of them, where that changed, and has the
// state name those that rest.
func (c *Controller) giveOrders(now time.Time, decided map[string]membership.Directives, effects *statemachine.Effects) {
	command := Command{}
	for name := range statemachine.Sorted(c.orders) {
		if _, found := decided[name]; !found {
			decided[name] = membership.Directives{}
		}
	}
	for name, orders := range statemachine.Sorted(decided) {
		earlier := c.orders[name]
		c.orders[name] = orders
		if !earlier.Equal(orders) {
			if waiting, found := c.held[name]; found {
				c.give(now, waiting, effects)
			}
		}
		member := c.state.Members[name]
		if rests := orders.Rest && c.loads[name].Resting; member.Resting != rests && member.Alive {
			command.Rests = append(command.Rests, Rest{Name: name, Incarnation: member.Incarnation, Resting: rests})
			if rests {
				effects.Emit(logevent.GatewayRested, "gateway", name)
			} else {
				effects.Emit(logevent.GatewayWoken, "gateway", name)
			}
		}
	}
	if !command.empty() {
		c.submit(now, command, effects)
	}
}
