package consolidation

import (
	"cmp"
	"math"
	"slices"
	"time"

	"dahlialock/internal/config"
	"dahlialock/internal/membership"
)

const (
	// maxProcessor is the processor time, in seconds per second, above which a gateway
	// counts as fully used. One goroutine owns the gateway's state, so a gateway can't use
	// several processors for it.
	maxProcessor = 0.6

	// distantDelay is the delay, as fleet.delay returns it, from which a gateway counts as
	// distant, and defaultZoneDelay the delay between two zones for which none was measured
	// or configured.
	distantDelay     = 300 * time.Microsecond
	defaultZoneDelay = 2 * distantDelay
)

// zonePair is an ordered pair of zones.
type zonePair struct{ from, to string }

// gatewayState is an alive gateway with its last reported load and its rates.
type gatewayState struct {
	member membership.Member
	load   membership.Load
	rate   loadRate
}

// fleet is the set of alive gateways for which a plan is made.
type fleet struct {
	settings config.Consolidation
	// links holds the configured delays between zones, in both directions.
	links map[zonePair]time.Duration
	// gateways are in the order of their names.
	gateways []gatewayState
	// sessions and processor are sums over all gateways; processor is in seconds per second.
	sessions  int
	processor float64
	// idle reports whether a gateway is to rest or is drained. It reads the planner's
	// state, so its result changes while the plan is made.
	idle func(name string) bool
}

func (f *fleet) add(added gatewayState) {
	f.gateways = append(f.gateways, added)
	f.sessions += added.load.Sessions
	f.processor += added.rate.processor
}

// directivesFor directs a gateway to rest if the planner has chosen it or the operators drain
// it, and to move its sessions away as long as it has any.
func (f *fleet) directivesFor(gateway gatewayState) membership.Directives {
	directives := membership.Directives{Rest: f.idle(gateway.member.Name)}
	if directives.Rest && gateway.load.Sessions > 0 {
		directives.Drain = true
		directives.MovesPerSecond = movesPerSecond
		directives.Targets = f.targetsFor(gateway)
	}
	return directives
}

// targetsFor lists the gateways to which a gateway's sessions may move, sorted by
// distance and then by free capacity, the largest first.
func (f *fleet) targetsFor(source gatewayState) []string {
	var targets []gatewayState
	for _, target := range f.awake(source.member.Name) {
		if target.load.Ready {
			targets = append(targets, target)
		}
	}
	slices.SortStableFunc(targets, func(left, right gatewayState) int {
		return cmp.Or(
			cmp.Compare(f.distanceClass(source, left), f.distanceClass(source, right)),
			cmp.Compare(right.load.FreeCapacity, left.load.FreeCapacity),
		)
	})
	var names []string
	for _, target := range targets {
		names = append(names, target.member.Name)
	}
	return names
}

// distanceClass is 0 within a zone and grows with the delay to other zones.
func (f *fleet) distanceClass(source, target gatewayState) int {
	if source.member.Zone == target.member.Zone {
		return 0
	}
	return 1 + int(f.delay(source, target)/distantDelay)
}

// delay is the delay between two gateways: the round trip that either of them measured, else
// the one-way delay that the operators configured between their zones, else a default. Round
// trips and one-way delays are compared without conversion.
func (f *fleet) delay(from, to gatewayState) time.Duration {
	if measured, found := from.load.RoundTripTimes[to.member.Name]; found {
		return measured
	}
	if measured, found := to.load.RoundTripTimes[from.member.Name]; found {
		return measured
	}
	if from.member.Zone == to.member.Zone {
		return 0
	}
	if configured, found := f.links[zonePair{from: from.member.Zone, to: to.member.Zone}]; found {
		return configured
	}
	return defaultZoneDelay
}

// awake lists the gateways that are not idle, without the one named except.
func (f *fleet) awake(except string) []gatewayState {
	var found []gatewayState
	for _, gateway := range f.gateways {
		if name := gateway.member.Name; name != except && !f.idle(name) {
			found = append(found, gateway)
		}
	}
	return found
}

// required is how many gateways must be awake for the given sessions and processor time:
// as many as keep the utilization below wakeUtilization and maxProcessor, plus the
// configured spare gateways.
func (f *fleet) required(sessions int, processor float64) int {
	bySessions := int(math.Ceil(float64(sessions) / (float64(f.settings.SessionsPerGateway) * wakeUtilization)))
	byProcessor := int(math.Ceil(processor / maxProcessor))
	return max(bySessions, byProcessor, 1) + f.settings.SpareGateways
}

// survivesZoneLoss reports whether the given gateways can serve a number of sessions after
// the loss of any one zone. It is false for gateways that are all in one zone.
func (f *fleet) survivesZoneLoss(awake []gatewayState, sessions int) bool {
	awakeByZone := countByZone(awake)
	if len(awakeByZone) < 2 {
		return false
	}
	for _, count := range awakeByZone {
		if (len(awake)-count)*f.settings.SessionsPerGateway < sessions {
			return false
		}
	}
	return true
}

// countByZone returns the number of gateways in each zone.
func countByZone(gateways []gatewayState) map[string]int {
	counts := map[string]int{}
	for _, gateway := range gateways {
		counts[gateway.member.Zone]++
	}
	return counts
}

// linkDelays returns the configured delays between zones, in both directions.
func linkDelays(configuration config.Configuration) map[zonePair]time.Duration {
	delays := map[zonePair]time.Duration{}
	for _, link := range configuration.Links {
		delays[zonePair{from: link.From, to: link.To}] = link.Delay
		delays[zonePair{from: link.To, to: link.From}] = link.Delay
	}
	return delays
}
