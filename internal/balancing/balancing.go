package balancing

import (
	"cmp"
	"math"
	"slices"
)

const (
	// A gateway starts to move sessions away when it has more than startRatio times its
	// fair share and exceeds the share by more than minExcess sessions. It stops at
	// stopRatio times its fair share.
	startRatio = 1.2
	stopRatio  = 1.05
	minExcess  = 6

	// fullZoneRatio is the utilization of a zone's capacity above which sessions are
	// balanced over all zones instead of within each zone.
	fullZoneRatio = 0.9

	// A gateway is directed to move its excess within moveSeconds, at a rate that is
	// bounded by minMovesPerSecond and maxMovesPerSecond.
	moveSeconds       = 2
	minMovesPerSecond = 5
	maxMovesPerSecond = 30

	// maxTargets bounds the number of targets of one directive. With few targets each of
	// them receives enough sessions to report a changed load soon.
	maxTargets = 3
)

// Gateway is the last reported load of one gateway.
type Gateway struct {
	Name string
	Zone string
	// Sessions is the number of client sessions that the gateway serves.
	Sessions int
	// FreeCapacity is how many more sessions the gateway can serve. It may be negative.
	FreeCapacity int
	// Accepting is set if the gateway currently accepts sessions from other gateways.
	Accepting bool
}

// capacity is the total number of sessions that the gateway can serve.
func (g Gateway) capacity() int { return g.Sessions + max(0, g.FreeCapacity) }

// Directive asks a gateway to move sessions to other gateways.
type Directive struct {
	// KeepSessions is the number of sessions at which the gateway stops moving them.
	KeepSessions int
	// MovesPerSecond bounds the rate at which sessions are moved.
	MovesPerSecond int
	// Targets are the names of the gateways to which the sessions are moved in turn.
	Targets []string
}

// Balancer decides which gateways move sessions away, and to which targets. It is not
// safe for concurrent use.
type Balancer struct {
	// overloaded holds the gateways that have exceeded the start threshold and have not
	// yet dropped to the stop threshold since.
	overloaded map[string]bool
}

// New returns a balancer that considers no gateway overloaded yet.
func New() *Balancer { return &Balancer{overloaded: map[string]bool{}} }

// Plan returns a directive for each gateway that has to move sessions away, keyed by the
// gateway's name. The caller passes only gateways whose last report is recent. A gateway
// that is not passed gets no directive, is no target, and loses its hysteresis state.
func (b *Balancer) Plan(gateways []Gateway) map[string]Directive {
	directives := map[string]Directive{}
	for _, group := range groupsOf(gateways) {
		b.planGroup(group, directives)
	}
	b.dropAbsent(gateways)
	return directives
}

// dropAbsent drops the hysteresis state of all gateways except the given ones.
func (b *Balancer) dropAbsent(gateways []Gateway) {
	present := map[string]bool{}
	for _, gateway := range gateways {
		present[gateway.Name] = true
	}
	for name := range b.overloaded {
		if !present[name] {
			delete(b.overloaded, name)
		}
	}
}

// planGroup moves sessions from the overloaded gateways of a group to the underloaded
// ones, the most overloaded gateway first. Sessions that one gateway moves to a target
// reduce the target's deficit for the next gateway, so that several gateways together do
// not overload a target.
func (b *Balancer) planGroup(group []member, directives map[string]Directive) {
	slices.SortFunc(group, func(left, right member) int {
		return cmp.Or(cmp.Compare(right.excess(), left.excess()), cmp.Compare(left.Name, right.Name))
	})
	for position := range group {
		source := group[position]
		if !b.updateOverloaded(source) {
			continue
		}
		if directive, found := assignTargets(source, group); found {
			directives[source.Name] = directive
		}
	}
}

// updateOverloaded applies the hysteresis to a gateway and reports whether it has to
// move sessions away.
func (b *Balancer) updateOverloaded(source member) bool {
	threshold := math.Max(source.fairShare*startRatio, source.fairShare+minExcess)
	if b.overloaded[source.Name] {
		threshold = source.fairShare * stopRatio
	}
	b.overloaded[source.Name] = source.Accepting && float64(source.Sessions) > threshold
	return b.overloaded[source.Name]
}

// assignTargets assigns the excess of a gateway to the members of its group with the
// largest deficits and reduces those deficits. It reports false if the gateway has no
// excess, or if no member has a deficit.
func assignTargets(source member, group []member) (Directive, bool) {
	remaining := source.Sessions - int(math.Ceil(source.fairShare))
	granted := 0
	var targets []string
	for range maxTargets {
		target := largestDeficit(group)
		if target == nil || remaining <= 0 {
			break
		}
		count := min(remaining, target.deficit)
		target.deficit -= count
		remaining -= count
		granted += count
		targets = append(targets, target.Name)
	}
	if granted == 0 {
		return Directive{}, false
	}
	return Directive{
		KeepSessions:   source.Sessions - granted,
		MovesPerSecond: min(max(granted/moveSeconds, minMovesPerSecond), maxMovesPerSecond),
		Targets:        targets,
	}, true
}
