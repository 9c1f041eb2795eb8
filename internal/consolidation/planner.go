package consolidation

import (
	"slices"
	"time"

	"dahlialock/internal/config"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

const (
	// reportTimeout is the age above which a gateway's report is outdated. For a resting
	// gateway, which polls less often, membership.LowPriorityLongPollTimeout is added.
	reportTimeout = 3 * time.Second

	// movesPerSecond is the rate at which a gateway that is to rest moves its sessions away.
	movesPerSecond = 40

	// minAwake is how many gateways always stay awake, so that one of them may be lost.
	minAwake = 2

	// wakeUtilization is the session utilization of the awake gateways above which more
	// are woken, and restUtilization the utilization below which a gateway is rested.
	wakeUtilization = 0.75
	restUtilization = 0.55
)

// Observation is the state of the fleet on which a plan is based.
type Observation struct {
	Configuration config.Configuration
	// Members, Loads and LastReported are keyed by the member's name. LastReported is when the
	// member last reported its load.
	Members      map[string]membership.Member
	Loads        map[string]membership.Load
	LastReported map[string]time.Time
}

// Planner decides which gateways rest. It is not safe for concurrent use.
type Planner struct {
	// quietSince is the time since which fewer gateways are required than are awake, or
	// when one was last chosen to rest; zero while the load is not low.
	quietSince time.Time
	// resting holds the gateways that are to rest, including those that still move their
	// sessions away.
	resting map[string]bool
	// rates holds the observed rates of each alive gateway.
	rates map[string]*loadRate
}

// New returns a planner that has chosen no gateway to rest yet.
func New() *Planner {
	return &Planner{resting: map[string]bool{}, rates: map[string]*loadRate{}}
}

// Plan returns the directives for each alive gateway, keyed by the gateway's name.
func (p *Planner) Plan(now time.Time, observation Observation) map[string]membership.Directives {
	observed, current := p.observeFleet(now, observation)
	switch {
	case !observed.settings.Enabled:
		p.resting = map[string]bool{}
		p.quietSince = time.Time{}
	case current:
		p.updateResting(now, observed)
	}
	directives := map[string]membership.Directives{}
	for _, gateway := range observed.gateways {
		directives[gateway.member.Name] = observed.directivesFor(gateway)
	}
	return directives
}

// observeFleet collects the alive gateways with their rates, and reports whether all
// their reports are recent enough to decide on.
func (p *Planner) observeFleet(now time.Time, observation Observation) (observed *fleet, current bool) {
	drained := observation.Configuration.Draining
	observed = &fleet{
		settings: observation.Configuration.Consolidation,
		links:    linkDelays(observation.Configuration),
		idle:     func(name string) bool { return p.resting[name] || slices.Contains(drained, name) },
	}
	current = true
	for name, member := range statemachine.Sorted(observation.Members) {
		if member.Kind != membership.KindGateway || !member.Alive {
			delete(p.resting, name)
			delete(p.rates, name)
			continue
		}
		timeout := reportTimeout
		if member.Resting {
			timeout += membership.LowPriorityLongPollTimeout
			p.resting[name] = true
		}
		lastReported := observation.LastReported[name]
		if now.Sub(lastReported) > timeout {
			current = false
		}
		load := observation.Loads[name]
		observed.add(gatewayState{member: member, load: load, rate: p.observeRate(name, lastReported, load)})
	}
	return observed, current
}

// observeRate updates the rates of a gateway from its newest load and returns them.
func (p *Planner) observeRate(name string, reportedAt time.Time, load membership.Load) loadRate {
	rate, found := p.rates[name]
	if !found || rate.restarted(load) {
		rate = &loadRate{at: reportedAt, load: load}
		p.rates[name] = rate
		return *rate
	}
	rate.update(reportedAt, load)
	return *rate
}

// updateResting wakes gateways if too few are awake, or chooses one to rest once fewer
// gateways have been sufficient for the stabilization window.
func (p *Planner) updateResting(now time.Time, observed *fleet) {
	awake := observed.awake("")
	required := max(observed.required(observed.sessions, observed.processor), minAwake)
	if len(awake) < required || !observed.survivesZoneLoss(awake, observed.sessions) {
		p.quietSince = time.Time{}
		p.wake(observed, max(required-len(awake), 1))
		return
	}
	// A gateway is rested only if the others suffice for a higher load, so that a few more
	// sessions don't wake it again.
	grownSessions := int(float64(observed.sessions) * wakeUtilization / restUtilization)
	grownProcessor := observed.processor * wakeUtilization / restUtilization
	if len(awake) <= max(observed.required(grownSessions, grownProcessor), minAwake) {
		p.quietSince = time.Time{}
		return
	}
	if p.quietSince.IsZero() {
		p.quietSince = now
	}
	if now.Sub(p.quietSince) < observed.settings.StabilizationWindow {
		return
	}
	p.quietSince = now
	if name, found := observed.bestRestCandidate(awake, grownSessions); found {
		p.resting[name] = true
	}
}

// wake wakes up to count resting gateways, each in the zone with the fewest awake ones.
func (p *Planner) wake(observed *fleet, count int) {
	awakeByZone := countByZone(observed.awake(""))
	for range count {
		name, zone := "", ""
		for _, gateway := range observed.gateways {
			candidate := gateway.member
			if p.resting[candidate.Name] && (name == "" || awakeByZone[candidate.Zone] < awakeByZone[zone]) {
				name, zone = candidate.Name, candidate.Zone
			}
		}
		if name == "" {
			return
		}
		delete(p.resting, name)
		awakeByZone[zone]++
	}
}
