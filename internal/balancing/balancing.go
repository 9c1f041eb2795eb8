package balancing

import (
	"cmp"
	"math"
	"slices"
)

const (
	// startRatio and minExcess bound when a gateway starts to move sessions away: above
	// startRatio times its fair share, and at least minExcess sessions above it. It stops
	// at stopRatio times its fair share.
	startRatio = 1.2
	stopRatio  = 1.05
	minExcess  = 6

	// fullZoneRatio is the part of a zone's capacity in use beyond which sessions are
	// spread over all zones.
	fullZoneRatio = 0.9

	// A gateway moves its excess within moveSeconds, at a rate between
	// minMovesPerSecond and maxMovesPerSecond.
	moveSeconds       = 2
	minMovesPerSecond = 5
	maxMovesPerSecond = 30

	// maxTargets bounds the targets of one directive. With few targets each of them
	// receives enough sessions to report a changed load soon.
	maxTargets = 3
)

// Gateway is the load of one gateway as it was reported last.
type Gateway struct {
	Name string
	Zone string
	// Sessions is the number of sessions of clients that the gateway serves.
	Sessions int
	// FreeCapacity is how many more sessions the gateway can serve. It may be negative.
	FreeCapacity int
	// Accepting is set if the gateway may be given sessions now.
	Accepting bool
}

// capacity is how many sessions the gateway can serve in all.
func (g Gateway) capacity() int { return g.Sessions + max(0, g.FreeCapacity) }

// Directive asks a gateway to move sessions to other gateways.
type Directive struct {
	// KeepSessions is the number of sessions at which the gateway stops moving any.
	KeepSessions int
	// MovesPerSecond bounds the rate at which sessions are moved.
	MovesPerSecond int
	// Targets are the names of the gateways that take the sessions in turn.
	Targets []string
}

// Balancer decides which gateways move sessions away, and to which targets. It may not
// be called from several goroutines at once.
type Balancer struct {
	// overloaded holds the gateways that have exceeded the start threshold and have not
	// come down to the stop threshold since.
	overloaded map[string]bool
}

// New makes a balancer that takes no gateway for overloaded yet.
func New() *Balancer { return &Balancer{overloaded: map[string]bool{}} }

// Plan returns a directive for each gateway that has to move sessions away, by the
// gateway's name. The caller leaves out gateways whose last report is not recent: a
// gateway that is not among the given ones is neither asked to move sessions nor a
// target, and its hysteresis state is dropped.
func (b *Balancer) Plan(gateways []Gateway) map[string]Directive {
	directives := map[string]Directive{}
	for _, group := range groupsOf(gateways) {
		b.planGroup(group, directives)
	}
	b.dropAbsent(gateways)
	return directives
}

// dropAbsent drops the state of gateways that are not reported any more.
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
// ones, the most overloaded gateway first. What a target is granted by one gateway is
// not granted by the next, so that no target is flooded from several sides.
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

// assignTargets grants the excess of a gateway to the members of its group with the
// largest deficits and reduces those deficits. It reports false if there is nothing to
// move, or no gateway to move it to.
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
